"""Directory of the servers registered in the store."""

from __future__ import annotations

__all__ = ["ServerDelta", "ServerDirectory"]

from collections.abc import Collection
from typing import NamedTuple, TypeVar

import xxhash

from .model import Backend
from .revisions import era_of_revision

REMOVAL_DELAY_S = 2.5
"""Entries that expire during an outage of the store are back about two seconds after it
(according to the platform's documentation); an entry still missing after this delay
is removed."""

MASS_REMOVAL_RATIO = 0.6
"""When the removals within :data:`MASS_REMOVAL_WINDOW_S` reach this fraction of the
entries still listed, and at least three, the store is suspected rather than the
servers."""

MASS_REMOVAL_WINDOW_S = 1.0


MAX_DEPARTED = 2_000
"""Servers that are remembered after they left, so that an outdated entry does not bring
them back."""

REMOVED_MAY_SERVE_S = 30.0
"""Time after the removal of its entry for which a server may still hold keys."""

KEPT_SNAPSHOTS = 8
"""Hosts ask several times a second, so they are at most a few changes behind."""


Value = TypeVar("Value")


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


class _RemovedServer(NamedTuple):
    backend: Backend
    removed_s: float


class ServerDirectory:
    """Tracks servers' entries across outages of the store.

    Times are seconds of the boot clock.

    :ivar revision: newest revision of the store that the entries reflect. A host whose
        revision is higher has heard of all that is known here.
    """

    def __init__(self) -> None:
        self._present: dict[str, Backend] = {}
        self._by_service: dict[str, dict[str, Backend]] = {}
        self._pending_removals: dict[str, _PendingRemoval] = {}
        self._recent_removals_s: list[float] = []
        self._deferred_until_s = float("-inf")
        self.draining_since_s: dict[str, float] = {}
        self._leaving: dict[str, int] = {}
        self._observed_leaving: dict[str, int] = {}
        self._removed: dict[str, _RemovedServer] = {}
        self._outdated_revisions: dict[str, int] = {}
        self.version = 0
        self.revision = 0
        self._digest = 0
        self._digest_version = -1
        self._snapshots: dict[int, dict[str, Backend]] = {}

    def defer_removals(self, now_s: float) -> None:
        """Defer removals after an outage of the store, observed or suspected.

        A deferral in progress is not extended: the watches of the store recover one by
        one, and each of them calls this.
        """
        if now_s < self._deferred_until_s:
            return
        self._deferred_until_s = now_s + REMOVAL_DELAY_S
        self._pending_removals = {
            server: pending._replace(due_s=self._deferred_until_s)
            for server, pending in self._pending_removals.items()
        }

    def record_revision(self, revision: int) -> None:
        """Record the revision of the store that the entries reflect."""
        self.revision = max(self.revision, revision)

    def put(self, backend: Backend, now_s: float) -> None:
        """Record an entry unless a newer revision is known."""
        current = self._present.get(backend.server)
        if current is not None and current.revision > backend.revision:
            return
        if self._outdated_revisions.get(backend.server) == backend.revision:
            return
        self._pending_removals.pop(backend.server, None)
        backend = self.keep_leaving(backend)
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
        self.record_revision(backend.revision)

    def mark_leaving(self, server: str, started_ms: int, now_s: float) -> bool:
        """Record that an incarnation of a server has said that it is leaving.

        :return: whether its entry was not draining yet.
        """
        current = self._present.get(server)
        if current is None or current.started_ms != started_ms:
            return False
        self._observed_leaving[server] = started_ms
        if current.draining:
            return False
        _remember(self._leaving, server, started_ms)
        self.put(current._replace(draining=True), now_s)
        return True

    def keep_leaving(self, backend: Backend) -> Backend:
        """Keep an incarnation draining that was draining before.

        An entry that says otherwise is outdated: from a copy of the store, or from a
        peer that has not learned of the drain. Incarnations without a start time cannot
        be told apart.
        """
        if not backend.started_ms:
            return backend
        if backend.draining:
            _remember(self._leaving, backend.server, backend.started_ms)
        elif self._leaving.get(backend.server) == backend.started_ms:
            return backend._replace(draining=True)
        return backend

    def observed_leaving(self) -> list[Backend]:
        """Return the servers that are listed and have said that they are leaving.

        One that was started again under its id has not.
        """
        self._observed_leaving = {
            server: started_ms
            for server, started_ms in self._observed_leaving.items()
            if server in self._present
            and self._present[server].started_ms == started_ms
        }
        return [self._present[server] for server in self._observed_leaving]

    def remove(self, server: str, revision: int, now_s: float) -> None:
        """Record the removal of an entry, immediate unless removals are deferred."""
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

        :param may_be_outage: see :meth:`remove_unlisted`.
        """
        self.begin_list(backends, revision, now_s)
        for backend in backends:
            self.put(backend, now_s)
        for server in self.unlisted({backend.server for backend in backends}):
            self.remove_unlisted(server, revision, now_s, may_be_outage)
        self.expire(now_s)
        self.record_revision(revision)

    def begin_list(self, backends: list[Backend], revision: int, now_s: float) -> None:
        """Prepare for the entries of a whole list, which are put next.

        Its revision is recorded by :meth:`record_revision` when all are in force.
        """
        if self.revision and era_of_revision(revision) > era_of_revision(self.revision):
            self._prepare_for_restored(backends, now_s)

    def unlisted(self, listed: Collection[str]) -> list[str]:
        """Return the servers that are present and not in a list."""
        return [server for server in self._present if server not in listed]

    def remove_unlisted(
        self, server: str, revision: int, now_s: float, may_be_outage: bool
    ) -> None:
        """Record that a server is not in a whole list.

        :param may_be_outage: whether the removals may be due to an outage of the store;
            a peer that sends its list has already ruled that out.
        """
        if may_be_outage:
            self.remove(server, revision, now_s)
        else:
            self.schedule_removal(server, revision, now_s)

    def schedule_removal(self, server: str, revision: int, now_s: float) -> None:
        """Remove an entry at the next expiry unless it is newer than its removal."""
        current = self._present.get(server)
        if current is not None and current.revision <= revision:
            self._pending_removals[server] = _PendingRemoval(current, now_s)

    def apply_delta(self, delta: ServerDelta, revision: int, now_s: float) -> None:
        """Apply a delta from a peer, without deferring removals.

        See :meth:`delta_since`.
        """
        for backend in delta.backends:
            self.put(backend, now_s)
        for server in delta.removed:
            self.schedule_removal(server, revision, now_s)
        self.expire(now_s)
        self.record_revision(revision)

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
                removed = _RemovedServer(self._present[server], now_s)
                _remember(self._removed, server, removed)
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

    def listed_or_removed(self, now_s: float) -> list[Backend]:
        """Return all servers that are listed or were removed lately.

        A server whose entry expired while it was cut off from the store may still serve
        its keys.
        """
        removed = [
            one.backend
            for one in self._removed.values()
            if one.backend.server not in self._present
            and now_s - one.removed_s < REMOVED_MAY_SERVE_S
        ]
        return [*self._present.values(), *removed]

    def all(self) -> dict[str, Backend]:
        """Return all servers by id."""
        return self._present

    def was_removed(self, backend: Backend) -> bool:
        """Return whether this incarnation of the server was listed and removed."""
        removed = self._removed.get(backend.server)
        return removed is not None and removed.backend.started_ms == backend.started_ms

    def _prepare_for_restored(self, backends: list[Backend], now_s: float) -> None:
        """Prepare for the first list of a store that came back from an older copy.

        Servers that registered since the copy was made register again. Entries of
        servers that were removed since then are outdated until they change.
        """
        self.defer_removals(now_s)
        self._outdated_revisions = {
            backend.server: backend.revision
            for backend in backends
            if backend.server not in self._present and self.was_removed(backend)
        }

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


def _remember(memory: dict[str, Value], server: str, value: Value) -> None:
    """Set an entry of a bounded memory; the oldest one is dropped."""
    memory.pop(server, None)
    memory[server] = value
    if len(memory) > MAX_DEPARTED:
        del memory[next(iter(memory))]


def _digest_fields(backend: Backend) -> tuple[str, str, int, bool]:
    """Return the fields of an entry whose changes followers have to receive."""
    return backend.server, backend.address, backend.started_ms, backend.draining
