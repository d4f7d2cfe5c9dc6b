"""Applies the entries of servers; one that cannot be applied costs no other."""

from __future__ import annotations

__all__ = ["ServerEntries", "ServersNotApplied"]

from collections.abc import Callable
from functools import partial

from ..errors import JacinthpathError
from ..json_documents import describe
from .clock import boottime_s
from .directory import ServerDelta, ServerDirectory
from .events import EventLog
from .model import Backend
from .store import Item


class ServersNotApplied(JacinthpathError):
    """No entry of a list of servers could be applied."""


class ServerEntries:
    """Applies entries and lists of entries to the directory, and logs the changes.

    :param decode: decoder of an entry.
    :param record_refused: called with the name of a document, its revision and the
        error when it cannot be read.
    :param record_error: called with the place and an error that nothing foresaw.
    :param record_warmup: called with an entry that tells for how much longer its server
        is cold, and with the entry's source.
    :param record_joined: called with an entry of the store for a new incarnation.
    :ivar failures: how often an entry could not be applied for such an error.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        events: EventLog,
        decode: Callable[[str, bytes, int], Backend],
        record_refused: Callable[[str, int, Exception], None],
        record_error: Callable[[str, Exception], None],
        record_warmup: Callable[[Backend, str], None],
        record_joined: Callable[[Backend], None],
    ) -> None:
        self.failures = 0
        self._directory = directory
        self._events = events
        self._decode = decode
        self._record_refused = record_refused
        self._record_error = record_error
        self._record_warmup = record_warmup
        self._record_joined = record_joined

    def apply(self, server: str, content: bytes, revision: int) -> bool:
        """Apply an entry of the store.

        :return: whether the server is new, or has begun or ceased to drain.
        """
        previous = self._directory.find(server)
        self._contain(partial(self._apply, server, content, revision))
        current = self._directory.find(server)
        return current is not None and (
            previous is None or previous.draining != current.draining
        )

    def replace_all(self, items: tuple[Item, ...], revision: int) -> None:
        """Apply the whole list of the store.

        :raises ServersNotApplied: no entry could be applied.
        """
        backends: list[Backend] = []
        failures = self.failures
        for item in items:
            server = item.key.partition("/")[2]
            self._contain(partial(self._append, backends, server, item))
        if self._directory.all():
            # Otherwise there is nothing to protect, and a host may start beside it.
            _check_some_applied(len(items), self.failures - failures)
        self._replace_all(backends, revision, may_be_outage=True)

    def replace_all_by_peer(self, backends: list[Backend], revision: int) -> None:
        """Apply the whole list of a peer.

        :raises ServersNotApplied: no entry could be applied.
        """
        self._replace_all(backends, revision, may_be_outage=False)

    def apply_delta(self, delta: ServerDelta, revision: int) -> None:
        """Apply a delta from a peer.

        :raises ServersNotApplied: no entry could be applied.
        """
        now_s = boottime_s()
        failures = self.failures
        for backend in delta.backends:
            self._contain(partial(self._put, backend, now_s, "peer"))
        remove = self._directory.schedule_removal
        for server in delta.removed:
            self._contain(partial(remove, server, revision, now_s))
        self._directory.expire(now_s)
        count = len(delta.backends) + len(delta.removed)
        _check_some_applied(count, self.failures - failures)
        if self.failures == failures:
            self._directory.record_revision(revision)

    def _replace_all(
        self, backends: list[Backend], revision: int, may_be_outage: bool
    ) -> None:
        directory = self._directory
        now_s = boottime_s()
        failures = self.failures
        directory.begin_list(backends, revision, now_s)
        source = "store" if may_be_outage else "peer"
        for backend in backends:
            self._contain(partial(self._put, backend, now_s, source))
        _check_some_applied(len(backends), self.failures - failures)
        remove = directory.remove_unlisted
        for server in directory.unlisted({backend.server for backend in backends}):
            self._contain(partial(remove, server, revision, now_s, may_be_outage))
        directory.expire(now_s)
        if self.failures == failures:
            directory.record_revision(revision)

    def _append(self, backends: list[Backend], server: str, item: Item) -> None:
        """Decode an entry of a list; one that raises stays as it is known."""
        known = self._directory.find(server)
        try:
            backend = self._try_decode(server, item.value, item.revision)
        except Exception:
            if known is not None:
                backends.append(known)
            raise
        if backend is not None:
            backends.append(backend)

    def _apply(self, server: str, content: bytes, revision: int) -> None:
        backend = self._try_decode(server, content, revision)
        if backend is not None:
            self._put(backend, boottime_s(), "store")

    def _try_decode(self, server: str, content: bytes, revision: int) -> Backend | None:
        """Decode an entry; return ``None`` if it is refused."""
        try:
            backend = self._decode(server, content, revision)
        except JacinthpathError as error:
            self._record_refused(f"server {describe(server)}", revision, error)
            return None
        return self._directory.keep_leaving(backend)

    def _put(self, backend: Backend, now_s: float, source: str) -> None:
        previous = self._directory.find(backend.server)
        self._directory.put(backend, now_s)
        self._log_change(previous, backend)
        if _tells_warmup(previous, backend, source):
            self._record_warmup(backend, source)
        is_newer = previous is None or previous.started_ms < backend.started_ms
        if is_newer and source == "store" and not self._directory.was_removed(backend):
            self._record_joined(backend)

    def _contain(self, apply: Callable[[], None]) -> None:
        """Apply an entry; an error that nothing foresaw costs this entry alone."""
        try:
            apply()
        except Exception as error:
            self.failures += 1
            self._record_error("server-entry", error)

    def _log_change(self, previous: Backend | None, current: Backend) -> None:
        if previous is not None and previous.started_ms == current.started_ms:
            if previous.draining == current.draining:
                return
            event = "server_draining" if current.draining else "server_ready"
        else:
            event = "server_seen"
        self._events.log_state_change(
            event,
            server=current.server,
            service=current.service,
            address=current.address,
            born_ms=current.started_ms,
            draining=current.draining,
            revision=current.revision,
        )


def _tells_warmup(previous: Backend | None, current: Backend, source: str) -> bool:
    """Return whether an entry tells how long its server is cold from now on.

    An entry that was applied before, or comes by way of a peer, was written some time
    ago. Of a new incarnation it is better than nothing.
    """
    if previous is None or previous.started_ms != current.started_ms:
        return previous is None or current.revision >= previous.revision
    return source == "store" and current.revision > previous.revision


def _check_some_applied(count: int, failures: int) -> None:
    """Check that not all entries of a list have failed.

    :raises ServersNotApplied: they have.
    """
    if count and failures >= count:
        raise ServersNotApplied(
            f"None of {count} entries of servers could be applied.",
            'Look for the event "unexpected_error" in the log.',
        )
