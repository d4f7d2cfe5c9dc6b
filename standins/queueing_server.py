"""Stand-in for a server with few slots and a short queue."""

from __future__ import annotations

__all__ = ["QueueingServerStandIn"]

import asyncio
from typing import Any

from .platform_server import HEALTH_PATH, PlatformServerStandIn

NEVER_S = 3_600.0


class QueueingServerStandIn(PlatformServerStandIn):
    """A server that runs ``slots`` requests at a time and queues ``queue_length`` more.

    :param work_s: how long it runs a request.
    :param answers_when_full: whether it refuses a request that it cannot queue. If not,
        it never responds on that connection.
    :ivar hung: requests that it never responds to.
    :ivar refused: requests that it refused for want of room.
    :ivar most_held: most requests that it ran and queued at a time.
    :ivar received_attempts: attempts that it ran or queued.
    """

    def __init__(
        self,
        server: str,
        service: str,
        keyed: bool,
        work_s: float,
        answers_when_full: bool,
        slots: int = 3,
        queue_length: int = 12,
    ) -> None:
        super().__init__(server, service, keyed)
        self.hung = 0
        self.refused = 0
        self.most_held = 0
        self.received_attempts: set[str] = set()
        self._run_s = work_s
        self._answers_when_full = answers_when_full
        self._places = slots + queue_length
        self._held = 0
        self._slots = asyncio.Semaphore(slots)

    async def _handle_request(self, request: Any, writer: asyncio.StreamWriter) -> bool:
        key = request.headers.get("x-shard-key")
        is_other_owners = self.keyed and not (key and self.holds_key(int(key)))
        if request.target.startswith(("/-/", HEALTH_PATH)) or is_other_owners:
            return await super()._handle_request(request, writer)
        if self._held >= self._places:
            return await self._turn_away(request, writer)
        self.received_attempts.add(request.headers.get("x-attempt-id", ""))
        self._held += 1
        self.most_held = max(self.most_held, self._held)
        try:
            async with self._slots:
                await asyncio.sleep(self._run_s)
                return await super()._handle_request(request, writer)
        finally:
            self._held -= 1

    async def _turn_away(self, request: Any, writer: asyncio.StreamWriter) -> bool:
        if not self._answers_when_full:
            self.hung += 1
            await asyncio.sleep(NEVER_S)
            return False
        self.refused += 1
        fault, self.fault = self.fault, "overloaded"
        try:
            return await super()._handle_request(request, writer)
        finally:
            self.fault = fault
