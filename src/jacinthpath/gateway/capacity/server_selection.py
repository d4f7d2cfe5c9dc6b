"""Selects the server at which a request of a group may start at once."""

from __future__ import annotations

__all__ = ["ServerSelection"]

from collections.abc import Mapping
from random import Random

from .server_slots import ServerSlots
from .slot_ledger import SlotLedger
from .slots import SlotRequest


class ServerSelection:
    """Compares the servers of one group.

    :param servers: servers of the group by name.
    :param ledger: leases in use.
    :param random: breaks ties between servers.
    """

    def __init__(
        self, servers: Mapping[str, ServerSlots], ledger: SlotLedger, random: Random
    ) -> None:
        self._servers = servers
        self._ledger = ledger
        self._random = random

    def has_server(self, request: SlotRequest) -> bool:
        """Return whether the group has a server that a request may use at all."""
        if request.server:
            is_excluded = request.server in request.excluded
            return request.server in self._servers and not is_excluded
        return any(name not in request.excluded for name in self._servers)

    def choose(self, request: SlotRequest, now_s: float) -> ServerSlots | None:
        """Return the server with the shortest expected time that has room."""
        if request.server:
            server = self._servers[request.server]
            return server if self.may_start(request, server, now_s) else None
        best, best_rank, ties = None, (False, 0.0), 0
        for server in self._servers.values():
            # A server with a rate limit is cold, or has asked for fewer requests.
            rank = server.bucket is not None, server.expected_s
            if best is not None and rank > best_rank:
                continue
            if not self.may_start(request, server, now_s):
                continue
            ties = ties + 1 if best is not None and rank == best_rank else 1
            if ties == 1 or self._random.random() * ties < 1:
                best, best_rank = server, rank
        return best

    def may_start(
        self, request: SlotRequest, server: ServerSlots, now_s: float
    ) -> bool:
        """Return whether a server has room for a request."""
        if not server.has_room(now_s):
            return False
        if not request.may_wait and not server.has_free_slot():
            # It would wait at the server, while another group may have a free slot.
            return False
        if not request.server:
            return server.capacity.server not in request.excluded
        in_use = self._ledger.in_use_by_flow(request.server, request.flow)
        return server.has_room_for_flow(request.flow, in_use, now_s)
