"""The server that may be sent to for a key."""

from __future__ import annotations

__all__ = ["OwnerLookup", "ServerChoice"]

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from .assignment import OwnedRange, range_move_id
from .clock import boottime_s
from .cluster_view import ClusterView
from .model import Backend
from .pool import ServerPool

MOVE_WAIT_S = 0.3
"""A range that is handed over is served again within this time; what takes longer
is refused at once."""

DRAIN_USE_SHARE = 0.6
"""Share of the drain time for which a draining owner is still sent to, counted from
when its report was seen; the report itself is older."""

MOVED_RETRY_S = 0.3
NO_OWNER_RETRY_S = 0.8


class ServerChoice(NamedTuple):
    """A server to send to, or why there is none.

    :param reason: empty when there is a server.
    :param wait_s: when the caller should come back if there is none.
    """

    backend: Backend | None
    reason: str = ""
    wait_s: float = 0.0


class OwnerLookup:
    """Finds owners of keys.

    :param drain_s: time for which a draining server still takes requests.
    """

    def __init__(self, view: ClusterView, pool: ServerPool, drain_s: float) -> None:
        self._view = view
        self._pool = pool
        self._drain_s = drain_s

    def owner_of(self, service: str, key: int) -> OwnedRange | None:
        """Return the range that holds a key, whether it is moving or not."""
        index = self._view.owners.get(service)
        return index.find(key) if index else None

    async def find(
        self, service: str, key: int, left_s: Callable[[], float]
    ) -> ServerChoice:
        """Return the owner of a key; wait briefly for a hand-over to end.

        :param left_s: returns the time that the caller still waits.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + min(MOVE_WAIT_S, left_s())
        while True:
            owned = self.owner_of(service, key)
            if owned is None:
                return ServerChoice(None, "no-owner", NO_OWNER_RETRY_S)
            if not owned.target:
                return self._usable(owned)
            waits_s = until_s - loop.time()
            if self._moving_for_s(service, owned) > MOVE_WAIT_S or waits_s <= 0:
                wait_s = self._until_moved_s(service, owned)
                return ServerChoice(None, "key-moving", wait_s)
            await self.wait_for_update(waits_s)

    async def wait_for_update(self, limit_s: float) -> None:
        """Wait until a belief changes, for a limited time."""
        changed = self._view.changed
        try:
            async with asyncio.timeout(limit_s):
                await changed.wait()
        except TimeoutError:
            return

    def _usable(self, owned: OwnedRange) -> ServerChoice:
        now_s = boottime_s()
        directory = self._view.directory
        backend = directory.find(owned.server)
        if backend is None:
            return ServerChoice(None, "owner-gone", NO_OWNER_RETRY_S)
        since_s = directory.draining_since_s.get(owned.server)
        if since_s is not None and now_s - since_s > DRAIN_USE_SHARE * self._drain_s:
            return ServerChoice(None, "owner-draining", MOVED_RETRY_S)
        if self._pool.is_unreachable(backend, now_s):
            return ServerChoice(None, "owner-unreachable", NO_OWNER_RETRY_S)
        return ServerChoice(backend)

    def _moving_for_s(self, service: str, owned: OwnedRange) -> float:
        now_s = boottime_s()
        since_s = self._view.moving_since_s.get(range_move_id(service, owned), now_s)
        return now_s - since_s

    def _until_moved_s(self, service: str, owned: OwnedRange) -> float:
        """Return how long a move may still take that waits for a hold to run out."""
        left_s = owned.remaining_hold_s - self._moving_for_s(service, owned)
        return max(MOVED_RETRY_S, left_s)
