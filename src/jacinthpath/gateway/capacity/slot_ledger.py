"""Leases of slots in use, by server and by flow, each of which expires by itself."""

from __future__ import annotations

__all__ = ["Lease", "SlotLedger"]

import heapq
from typing import NamedTuple

from .slots import SlotId


class Lease(NamedTuple):
    """A slot of a server in use.

    :param scope: server that the request had to have, empty if any would do.
    :param concurrency: requests at the server, with this one, when it was granted.
    :param granted_s: when it was granted.
    :param expected_end_s: when the server is expected to have responded.
    :param expires_s: when the slot becomes free without being returned.
    """

    slot: SlotId
    server: str
    scope: str
    flow: int
    concurrency: int
    granted_s: float
    expected_end_s: float
    expires_s: float


class SlotLedger:
    """Leases in use. Times are seconds on the boot clock."""

    def __init__(self) -> None:
        self._leases: dict[SlotId, Lease] = {}
        self._by_server: dict[str, dict[SlotId, Lease]] = {}
        self._by_flow: dict[tuple[str, int], int] = {}
        self._expiries: list[tuple[float, SlotId]] = []

    def __len__(self) -> int:
        return len(self._leases)

    def find(self, slot: SlotId) -> Lease | None:
        """Return the lease of a request, if it has one."""
        return self._leases.get(slot)

    def in_use(self, server: str) -> int:
        """Return the number of leases at a server."""
        return len(self._by_server.get(server, ()))

    def oldest_grant_s(self, server: str) -> float:
        """Return when the oldest lease at a server was granted, infinite for none."""
        leases = self._by_server.get(server)
        return next(iter(leases.values())).granted_s if leases else float("inf")

    def in_use_by_flow(self, scope: str, flow: int) -> int:
        """Return the number of leases of a flow among requests of one scope."""
        return self._by_flow.get((scope, flow), 0)

    def expected_ends_s(self, server: str) -> list[float]:
        """Return when the leases at a server are expected to end, earliest first."""
        leases = self._by_server.get(server, {})
        return sorted(lease.expected_end_s for lease in leases.values())

    def add(self, lease: Lease) -> None:
        """Keep a new lease."""
        self._leases[lease.slot] = lease
        self._by_server.setdefault(lease.server, {})[lease.slot] = lease
        key = lease.scope, lease.flow
        self._by_flow[key] = self._by_flow.get(key, 0) + 1
        heapq.heappush(self._expiries, (lease.expires_s, lease.slot))

    def end(self, slot: SlotId) -> Lease | None:
        """End a lease.

        :return: the lease, or ``None`` if there is none (any more).
        """
        lease = self._leases.pop(slot, None)
        if lease is None:
            return None
        self._drop_from_server(lease)
        self._drop_from_flow(lease)
        self._compact()
        return lease

    def expire(self, now_s: float) -> list[Lease]:
        """End the leases that have expired, and return them."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, slot = heapq.heappop(self._expiries)
            lease = self._leases.get(slot)
            if lease is not None and lease.expires_s == expires_s:
                self.end(slot)
                expired.append(lease)
        return expired

    def forget_server(self, server: str) -> list[Lease]:
        """End all leases at a server, and return them."""
        forgotten = list(self._by_server.get(server, {}).values())
        for lease in forgotten:
            self.end(lease.slot)
        return forgotten

    def next_expiry_s(self) -> float:
        """Return the time of the next expiry, infinite if there is no lease."""
        return self._expiries[0][0] if self._expiries else float("inf")

    def _drop_from_server(self, lease: Lease) -> None:
        leases = self._by_server[lease.server]
        del leases[lease.slot]
        if not leases:
            del self._by_server[lease.server]

    def _drop_from_flow(self, lease: Lease) -> None:
        key = lease.scope, lease.flow
        self._by_flow[key] -= 1
        if not self._by_flow[key]:
            del self._by_flow[key]

    def _compact(self) -> None:
        """Drop the expiries of returned leases once they are the larger part."""
        if len(self._expiries) > 2 * len(self._leases) + 64:
            leases = self._leases.values()
            self._expiries = [(lease.expires_s, lease.slot) for lease in leases]
            heapq.heapify(self._expiries)
