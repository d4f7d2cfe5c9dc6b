"""Directory of the servers registered in the store."""

from __future__ import annotations

__all__ = ["ServerDelta", "ServerDirectory"]

from typing import NamedTuple

import xxhash

from .model import Backend

REMOVAL_DELAY_S = 2.5
"""Entries that expire during an outage of the store are back about two seconds after it
(platform page); an entry still missing after this delay is removed."""

MASS_REMOVAL_RATIO = 0.6
"""When the removals within :data:`MASS_REMOVAL_WINDOW_S` reach this fraction of the
entries still listed, and at least three, the store is suspected rather than the
servers."""

MASS_REMOVAL_WINDOW_S = 1.0


KEPT_SNAPSHOTS = 8
"""Hosts ask several times a second, so they are at most a few changes behind."""


class ServerDelta(NamedTuple):
    """Difference between two lists of servers.

    :param backends: servers that were added or changed.
    :param removed: ids of the servers that were removed.
    """

    backends: tuple[Backend, ...]
    removed: tuple[str, ...]


class _PendingRemoval(NamedTuple):
    backend: Backend
    due_s: float


class ServerDirectory:
    """Tracks servers' entries across outages of the store.

    Times are seconds of the boot clock.
    """

    def __init__(self) -> None:
        self._present: dict[str, Backend] = {}
        self._by_service: dict[str, dict[str, Backend]] = {}
        self._pending_removals: dict[str, _PendingRemoval] = {}
        self._recent_removals_s: list[float] = []
        self._deferred_until_s = float("-inf")
        self.draining_since_s: dict[str, float] = {}
        self.version = 0
        self.revision = 0
        self._digest = 0
        self._digest_version = -1
        self._snapshots: dict[int, dict[str, Backend]] = {}

    def defer_removals(self, now_s: float) -> None:
        """Delay removals after an outage of the store, observed or suspected.

        A delay in progress is not extended: the watches of the store recover one by
        one, and each of them calls this.
        """
        if now_s < self._deferred_until_s:
            return
        self._deferred_until_s = now_s + REMOVAL_DELAY_S
        self._pending_removals = {
            server: pending._replace(due_s=self._deferred_until_s)
            for server, pending in self._pending_removals.items()
        }

    def put(self, backend: Backend, now_s: float) -> None:
        """Record an entry unless a newer revision is known."""
        self.revision = max(self.revision, backend.revision)
        current = self._present.get(backend.server)
        if current is not None and current.revision > backend.revision:
            return
        self._pending_removals.pop(backend.server, None)
        if backend.draining:
            self.draining_since_s.setdefault(backend.server, now_s)
        else:
            self.draining_since_s.pop(backend.server, None)
        self._insert(backend)
        if (
            current is None
            or current._replace(
                revision=backend.revision, warmup_left_s=backend.warmup_left_s
            )
            != backend
        ):
            self.version += 1

    def remove(self, server: str, revision: int, now_s: float) -> None:
        """Record the removal of an entry, immediate unless removals are delayed."""
        self.revision = max(self.revision, revision)
        current = self._present.get(server)
        if current is None or current.revision > revision:
            return
        if server in self._pending_removals:
            return
        self._recent_removals_s = [
            at_s
            for at_s in self._recent_removals_s
            if now_s - at_s < MASS_REMOVAL_WINDOW_S
        ]
        self._recent_removals_s.append(now_s)
        self._pending_removals[server] = _PendingRemoval(
            current, self._deferred_until_s
        )
        if len(self._recent_removals_s) >= max(
            3, MASS_REMOVAL_RATIO * len(self._present)
        ):
            self.defer_removals(now_s)
        self.expire(now_s)

    def replace_all(
        self,
        backends: list[Backend],
        revision: int,
        now_s: float,
        may_be_outage: bool = True,
    ) -> None:
        """Replace all entries; a server that is not in the list was removed.

        :param may_be_outage: whether the removals may be due to an outage of the store;
            a peer that sends its list has already ruled that out.
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
                self._schedule_removal(server, revision, now_s)
        self.expire(now_s)

    def apply_delta(self, delta: ServerDelta, revision: int, now_s: float) -> None:
        """Apply a delta from a peer, without delay; see :meth:`delta_since`."""
        self.revision = max(self.revision, revision)
        for backend in delta.backends:
            self.put(backend, now_s)
        for server in delta.removed:
            if server in self._present:
                self._schedule_removal(server, revision, now_s)
        self.expire(now_s)

    def digest(self) -> int:
        """Return a digest of the servers' ids, addresses, start times and states."""
        if self._digest_version != self.version:
            rows = sorted(_digest_fields(backend) for backend in self._present.values())
            self._digest = xxhash.xxh64_intdigest(repr(rows).encode())
            self._digest_version = self.version
            self._keep_snapshot()
        return self._digest

    def delta_since(self, digest: int) -> ServerDelta | None:
        """Return the changes since the list with this digest.

        :return: ``None`` if that list is no longer kept.
        """
        present = self._present
        self.digest()
        before = self._snapshots.get(digest)
        if before is None:
            return None
        changed = [
            backend
            for server, backend in present.items()
            if server not in before
            or _digest_fields(before[server]) != _digest_fields(backend)
        ]
        removed = [server for server in before if server not in present]
        return ServerDelta(tuple(changed), tuple(removed))

    def expire(self, now_s: float) -> None:
        """Drop the servers whose pending removal is due."""
        for server, pending in [*self._pending_removals.items()]:
            if now_s >= pending.due_s:
                del self._pending_removals[server]
                self._delete(server)
                self.draining_since_s.pop(server, None)
                self.version += 1

    def find(self, server: str) -> Backend | None:
        """Return a server that is present or whose removal is pending."""
        return self._present.get(server)

    def slots_of(self, server: str) -> int | None:
        """Return how many requests a server runs at a time, ``None`` if unknown."""
        current = self._present.get(server)
        return current.slots if current is not None else None

    def servers_of(self, service: str) -> list[Backend]:
        """Return the servers of a service, including draining ones."""
        return [*self._by_service.get(service, {}).values()]

    def all(self) -> dict[str, Backend]:
        """Return all servers by id."""
        return self._present

    def _schedule_removal(self, server: str, revision: int, now_s: float) -> None:
        """Remove an entry at the next expiry unless it is newer than its removal."""
        current = self._present[server]
        if current.revision <= revision:
            self._pending_removals[server] = _PendingRemoval(current, now_s)

    def _keep_snapshot(self) -> None:
        """Keep a snapshot of the present list under its digest."""
        self._snapshots.pop(self._digest, None)
        self._snapshots[self._digest] = dict(self._present)
        while len(self._snapshots) > KEPT_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]

    def _insert(self, backend: Backend) -> None:
        self._delete(backend.server)
        self._present[backend.server] = backend
        self._by_service.setdefault(backend.service, {})[backend.server] = backend

    def _delete(self, server: str) -> None:
        current = self._present.pop(server, None)
        if current is not None:
            del self._by_service[current.service][server]


def _digest_fields(backend: Backend) -> tuple[str, str, int, bool]:
    """Return the fields of an entry that hosts which follow this one must know."""
    return backend.server, backend.address, backend.started_ms, backend.draining
