"""Lookup of the server that may receive requests for a key."""

from __future__ import annotations

__all__ = ["OwnerLookup", "ServerChoice"]

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from .assignment import OwnedRange, range_move_id
from .capacity.slot_client import SlotLease
from .clock import boottime_s
from .cluster_view import ClusterView
from .model import Backend
from .pool import ServerPool
from .waiting import wait_for_event

MOVE_WAIT_S = 0.3
"""A range that moves with a handover is served again within this time; requests for a
range that has been moving for longer are refused at once."""

DRAIN_USE_RATIO = 0.6
"""Fraction of the drain time for which a draining owner still receives requests. It is
counted from when this host saw the draining state, which began earlier."""

MOVING_RETRY_S = 0.3
NO_OWNER_RETRY_S = 0.8


class ServerChoice(NamedTuple):
    """A server to send to, or the reason why there is none.

    :param reason: empty if there is a server.
    :param wait_s: time after which the caller should retry if there is none.
    :param is_planned: whether there will be room for this caller then, and not before.
    :param lease: slot of the server that is used, ``None`` if none was lent.
    """

    backend: Backend | None
    reason: str = ""
    wait_s: float = 0.0
    is_planned: bool = False
    lease: SlotLease | None = None


class OwnerLookup:
    """Finds the owners of keys.

    :param drain_s: time for which a draining server still accepts requests.
    """

    def __init__(self, view: ClusterView, pool: ServerPool, drain_s: float) -> None:
        self._view = view
        self._pool = pool
        self._drain_s = drain_s

    def owner_of(self, service: str, key: int) -> OwnedRange | None:
        """Return the range that contains a key, whether or not it is moving."""
        index = self._view.owners.get(service)
        return index.find(key) if index else None

    async def find(
        self, service: str, key: int, remaining_s: Callable[[], float]
    ) -> ServerChoice:
        """Return the owner of a key; wait briefly for a handover to end.

        :param remaining_s: returns the time that the caller still waits.
        """
        if self._is_all_evacuated(service):
            return ServerChoice(None, "servers-evacuated", NO_OWNER_RETRY_S)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + min(MOVE_WAIT_S, remaining_s())
        while True:
            owned = self.owner_of(service, key)
            if owned is None:
                return ServerChoice(None, "no-owner", NO_OWNER_RETRY_S)
            if not owned.target:
                return self.check_owner(owned)
            wait_limit_s = until_s - loop.time()
            if self._move_age_s(service, owned) > MOVE_WAIT_S or wait_limit_s <= 0:
                wait_s = self._remaining_move_s(service, owned)
                return ServerChoice(None, "key-moving", wait_s)
            await self.wait_for_update(wait_limit_s)

    async def wait_for_update(self, timeout_s: float) -> None:
        """Wait until the view of the cluster changes, for at most ``timeout_s``."""
        await wait_for_event(self._view.changed, timeout_s)

    def check_owner(self, owned: OwnedRange) -> ServerChoice:
        """Return the owner of a range, or why it gets no requests."""
        now_s = boottime_s()
        directory = self._view.directory
        backend = directory.find(owned.server)
        if backend is None:
            return ServerChoice(None, "owner-gone", NO_OWNER_RETRY_S)
        since_s = directory.draining_since_s.get(owned.server)
        if since_s is not None and now_s - since_s > DRAIN_USE_RATIO * self._drain_s:
            return ServerChoice(None, "owner-draining", MOVING_RETRY_S)
        if self._view.evacuated.is_closed(backend.data_centre, now_s):
            return ServerChoice(None, "owner-evacuated", MOVING_RETRY_S)
        pause_s = self._pool.pause_left_s(backend, now_s)
        if pause_s:
            return ServerChoice(None, "owner-paused", pause_s)
        if self._pool.is_unreachable(backend, now_s):
            return ServerChoice(None, "owner-unreachable", NO_OWNER_RETRY_S)
        return ServerChoice(backend)

    def _is_all_evacuated(self, service: str) -> bool:
        """Return whether all servers of a service are in evacuated data centres."""
        if not self._view.evacuated or self._view.open_servers(service):
            return False
        return bool(self._view.directory.servers_of(service))

    def _move_age_s(self, service: str, owned: OwnedRange) -> float:
        now_s = boottime_s()
        since_s = self._view.moving_since_s.get(range_move_id(service, owned), now_s)
        return now_s - since_s

    def _remaining_move_s(self, service: str, owned: OwnedRange) -> float:
        """Return how long a move that waits for a grant to expire may still take."""
        remaining_s = owned.remaining_hold_s - self._move_age_s(service, owned)
        return max(MOVING_RETRY_S, remaining_s)
