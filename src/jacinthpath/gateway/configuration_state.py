"""The operator's configuration in force on this host, and how current it is."""

from __future__ import annotations

__all__ = ["ConfigurationState"]

import zlib
from collections.abc import Callable, Iterable

from ..errors import JacinthpathError
from .clock import boottime_s
from .content_delta import (
    MAX_CONTENT_BYTES,
    ContentHistory,
    Part,
    apply_parts,
    content_digest,
)
from .events import EventLog
from .model import RouteTable
from .route_index import RouteIndex


class ConfigurationState:
    """Puts configurations in force in the order of their versions.

    :param decode_routes: decoder of the operator's configuration.
    :param record_refused: called with the kind of document, its revision and the error
        when one cannot be read.
    :ivar routes: the routes in force, ``None`` before the first configuration.
    :ivar content: the operator's document as stored.
    :ivar revision: its newest revision in the store.
    :ivar refused_digest: names the newest content that could not be read, 0 if none.
    :ivar refused_unexpectedly: whether an error that its decoder does not declare was
        the reason.
    :ivar digest: names the content.
    :ivar accepts_parts: whether the next version may come as parts; after parts that
        did not apply, the whole is requested.
    """

    def __init__(
        self,
        events: EventLog,
        decode_routes: Callable[[bytes], RouteTable],
        record_refused: Callable[[str, int, Exception], None],
    ) -> None:
        self.routes: RouteIndex | None = None
        self.content = b""
        self.revision = 0
        self.digest = 0
        self.accepts_parts = True
        self._history = ContentHistory()
        self._compressed = b""
        self._events = events
        self._decode_routes = decode_routes
        self._record_refused = record_refused
        self._confirmed_s = float("-inf")
        self.refused_digest = 0
        self._refused_revision = 0

    @property
    def version(self) -> int:
        """Version of the operator, 0 before the first configuration."""
        return self.routes.table.version if self.routes else 0

    def age_s(self) -> float:
        """Return the time since the store confirmed that no newer one exists."""
        return boottime_s() - self._confirmed_s

    def refuses_newer(self) -> bool:
        """Return whether a newer configuration exists that could not be read."""
        return self._refused_revision > self.revision

    def record_confirmed(self, age_s: float = 0.0) -> None:
        """Record that the store confirmed the configuration ``age_s`` ago.

        While a newer document is refused, the one in force is not current.
        """
        if self.refuses_newer():
            return
        self._confirmed_s = max(self._confirmed_s, boottime_s() - age_s)

    def apply(self, content: bytes, revision: int, source: str) -> bool:
        """Put a configuration in force unless a newer one already is.

        Versions of the operator decide, since a restored store may give an older
        version a higher revision.

        :return: whether it came into force.
        """
        if content == self.content:
            self.revision = max(self.revision, revision)
            self._forget_refusal_before(self.revision)
            return False
        heard_s = boottime_s()
        try:
            routes = RouteIndex(self._decode_routes(content))
        except Exception as error:
            self._note_refusal(content, revision, error)
            self._record_refused("configuration", revision, error)
            return False
        version = routes.table.version
        if self.routes is not None:
            if (version, revision) <= (self.version, self.revision):
                self._forget_refusal_before(revision)
                return False
        self.routes = routes
        self.content, self.revision = content, revision
        self._forget_refusal_before(revision)
        self.digest = content_digest(content)
        self.accepts_parts = True
        self._history.add(self.digest, content)
        self._compressed = b""
        self._events.log_state_change(
            "configuration_in_force",
            version=version,
            revision=revision,
            routes=len(routes.table.routes),
            bytes=len(content),
            source=source,
            decode_ms=round(1000 * (boottime_s() - heard_s), 1),
            confirmed_ms=self._confirmed_ms(),
        )
        return True

    def apply_parts(
        self, parts: Iterable[Part], digest: int, revision: int, source: str
    ) -> bool:
        """Put the configuration in force that parts make from the one in force.

        :param digest: of the configuration that they should make.
        :return: whether it came into force.
        """
        if digest == self.digest:
            # The store was faster; the parts are of the version before.
            return self.apply(self.content, revision, source)
        try:
            content = apply_parts(self.content, parts, digest)
        except Exception as error:
            self._record_refused("configuration change", revision, error)
            self.accepts_parts = False
            return False
        return self.apply(content, revision, source)

    def apply_compressed(
        self, compressed: bytes, digest: int, revision: int, source: str
    ) -> bool:
        """Put a configuration in force that :meth:`compressed` has made.

        :param digest: of the configuration.
        :return: whether it came into force.
        """
        try:
            content = zlib.decompressobj().decompress(compressed, MAX_CONTENT_BYTES)
            if content_digest(content) != digest:
                raise ValueError("the compressed configuration is damaged")
        except (ValueError, zlib.error) as error:
            self._record_refused("compressed configuration", revision, error)
            return False
        return self.apply(content, revision, source)

    def parts_since(self, digest: int) -> tuple[Part, ...] | None:
        """Return what makes this version from an older one.

        :return: ``None`` if that one is not kept.
        """
        return self._history.parts_since(digest)

    def compressed(self) -> bytes:
        """Return the content, compressed once for all requesters."""
        if not self._compressed:
            self._compressed = zlib.compress(self.content, level=1)
        return self._compressed

    def _note_refusal(self, content: bytes, revision: int, error: Exception) -> None:
        if revision < self._refused_revision:
            return
        self._refused_revision = revision
        self.refused_digest = content_digest(content)
        self.refused_unexpectedly = not isinstance(error, JacinthpathError)

    def _forget_refusal_before(self, revision: int) -> None:
        """Forget what was refused once a newer document can be read."""
        if revision > self._refused_revision:
            self._refused_revision = self.refused_digest = 0
            self.refused_unexpectedly = False

    def _confirmed_ms(self) -> int | str:
        """Return how long ago the one in force before was last confirmed."""
        age_s = self.age_s()
        return "never" if age_s == float("inf") else round(1000 * age_s)
