"""Servers as their entries in the store describe them."""

from __future__ import annotations

__all__ = ["ServerDelta", "ServerDirectory"]

from typing import NamedTuple

import xxhash

from .model import Backend

RETURN_S = 2.5
"""Entries that lapse in an outage of the store are back about two seconds after it
(platform page); what is missing after this is gone."""

MASS_SHARE = 0.6
"""When this share of all entries vanishes within :data:`MASS_WINDOW_S`, the store is
suspected rather than the servers."""

MASS_WINDOW_S = 1.0


KEPT_DIGESTS = 8
"""Hosts ask several times a second, so they are a few changes behind at most."""


class ServerDelta(NamedTuple):
    """What differs between two lists of servers.

    :param backends: servers that are new or have changed.
    :param removed: identities of those that are gone.
    """

    backends: tuple[Backend, ...]
    removed: tuple[str, ...]


class _Missing(NamedTuple):
    backend: Backend
    gone_at_s: float


class ServerDirectory:
    """Follows entries through outages of the store. Times are boot-clock seconds."""

    def __init__(self) -> None:
        self._present: dict[str, Backend] = {}
        self._by_service: dict[str, dict[str, Backend]] = {}
        self._missing: dict[str, _Missing] = {}
        self._removed_s: list[float] = []
        self._doubt_until_s = float("-inf")
        self.draining_since_s: dict[str, float] = {}
        self.version = 0
        self.revision = 0
        self._digest = 0
        self._digest_version = -1
        self._kept: dict[int, dict[str, Backend]] = {}

    def defer_removals(self, now_s: float) -> None:
        """Record that the store has just answered again after an outage.

        Doubt that lasts is not extended: each part of the store that is followed
        comes back on its own.
        """
        if now_s < self._doubt_until_s:
            return
        self._doubt_until_s = now_s + RETURN_S
        self._missing = {
            server: missing._replace(gone_at_s=self._doubt_until_s)
            for server, missing in self._missing.items()
        }

    def put(self, backend: Backend, now_s: float) -> None:
        """Record an entry; an older one than is known is ignored."""
        self.revision = max(self.revision, backend.revision)
        known = self._present.get(backend.server)
        if known is not None and known.revision > backend.revision:
            return
        self._missing.pop(backend.server, None)
        if backend.draining:
            self.draining_since_s.setdefault(backend.server, now_s)
        else:
            self.draining_since_s.pop(backend.server, None)
        self._store(backend)
        if (
            known is None
            or known._replace(
                revision=backend.revision, warmup_left_s=backend.warmup_left_s
            )
            != backend
        ):
            self.version += 1

    def remove(self, server: str, revision: int, now_s: float) -> None:
        """Record that an entry was removed."""
        self.revision = max(self.revision, revision)
        known = self._present.get(server)
        if known is None or known.revision > revision:
            return
        if server in self._missing:
            return
        self._removed_s = [
            at_s for at_s in self._removed_s if now_s - at_s < MASS_WINDOW_S
        ]
        self._removed_s.append(now_s)
        self._missing[server] = _Missing(known, self._doubt_until_s)
        if len(self._removed_s) >= max(3, MASS_SHARE * len(self._present)):
            self.defer_removals(now_s)
        self.expire(now_s)

    def replace_all(
        self,
        backends: list[Backend],
        revision: int,
        now_s: float,
        may_be_outage: bool = True,
    ) -> None:
        """Take a complete list; what is not in it was removed.

        :param may_be_outage: whether removals may stem from an outage; a peer that
            passes its list on has settled that already.
        """
        self.revision = max(self.revision, revision)
        listed = {backend.server for backend in backends}
        for backend in backends:
            self.put(backend, now_s)
        for server in [*self._present]:
            if server in listed:
                continue
            if may_be_outage:
                self.remove(server, revision, now_s)
            else:
                self._drop(server, revision, now_s)
        self.expire(now_s)

    def apply_delta(self, change: ServerDelta, revision: int, now_s: float) -> None:
        """Take what a peer has settled; see :meth:`delta_since`."""
        self.revision = max(self.revision, revision)
        for backend in change.backends:
            self.put(backend, now_s)
        for server in change.removed:
            if server in self._present:
                self._drop(server, revision, now_s)
        self.expire(now_s)

    def digest(self) -> int:
        """Return a digest of the servers and what matters of their entries."""
        if self._digest_version != self.version:
            rows = sorted(_identity(backend) for backend in self._present.values())
            self._digest = xxhash.xxh64_intdigest(repr(rows).encode())
            self._digest_version = self.version
            self._keep()
        return self._digest

    def delta_since(self, digest: int) -> ServerDelta | None:
        """Return what has changed since the list with a digest.

        :return: ``None`` if that list is not kept.
        """
        present = self._present
        self.digest()
        before = self._kept.get(digest)
        if before is None:
            return None
        changed = [
            backend
            for server, backend in present.items()
            if server not in before or _identity(before[server]) != _identity(backend)
        ]
        removed = [server for server in before if server not in present]
        return ServerDelta(tuple(changed), tuple(removed))

    def expire(self, now_s: float) -> None:
        """Drop the entries that stayed missing."""
        for server, missing in [*self._missing.items()]:
            if now_s >= missing.gone_at_s:
                del self._missing[server]
                self._discard(server)
                self.draining_since_s.pop(server, None)
                self.version += 1

    def find(self, server: str) -> Backend | None:
        """Return a server that is present or only doubted."""
        return self._present.get(server)

    def slots_of(self, server: str) -> int | None:
        """Return how many requests a server runs at a time, if it is known."""
        known = self._present.get(server)
        return known.slots if known is not None else None

    def servers_of(self, service: str) -> list[Backend]:
        """Return the servers of a service, also those that drain."""
        return [*self._by_service.get(service, {}).values()]

    def all(self) -> dict[str, Backend]:
        """Return all servers by identity."""
        return self._present

    def _drop(self, server: str, revision: int, now_s: float) -> None:
        """Let an entry expire that is not newer than the news of its removal."""
        known = self._present[server]
        if known.revision <= revision:
            self._missing[server] = _Missing(known, now_s)

    def _keep(self) -> None:
        """Remember the present list under its digest."""
        self._kept.pop(self._digest, None)
        self._kept[self._digest] = dict(self._present)
        while len(self._kept) > KEPT_DIGESTS:
            del self._kept[next(iter(self._kept))]

    def _store(self, backend: Backend) -> None:
        self._discard(backend.server)
        self._present[backend.server] = backend
        self._by_service.setdefault(backend.service, {})[backend.server] = backend

    def _discard(self, server: str) -> None:
        known = self._present.pop(server, None)
        if known is not None:
            del self._by_service[known.service][server]


def _identity(backend: Backend) -> tuple[str, str, int, bool]:
    """Return what matters of an entry to those that follow it."""
    return backend.server, backend.address, backend.started_ms, backend.draining
