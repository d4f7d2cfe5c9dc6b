"""Tracks whether the store responds for each part of it that a host watches."""

from __future__ import annotations

__all__ = ["RETRY_DELAY_S", "StoreHealth"]

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, TypeVar

from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog

RETRY_DELAY_S = 0.4

FOLLOWER_RETRY_DELAY_S = 1.0
"""Delay after repeated failures on a host that the leader keeps up to date. If the
leader fails meanwhile, a configuration still comes into force within two seconds."""

MAX_PEER_STORE_AGE_S = 2.0
"""If the store responded to a peer within this time, it was not down."""

Result = TypeVar("Result")


class StoreHealth:
    """Tracks since when each part fails, and delays the retries."""

    def __init__(self, view: ClusterView, events: EventLog, random: Random) -> None:
        self._view = view
        self._events = events
        self._random = random
        self._failing_since_s: dict[str, float] = {}
        self._recovered = asyncio.Event()

    def failing_parts(self) -> tuple[str, ...]:
        """Return the parts that fail."""
        return tuple(self._failing_since_s)

    def stop_tracking(self, part: str) -> None:
        """Leave out a part that is no longer watched in the store."""
        self._failing_since_s.pop(part, None)

    def record_response(self, part: str) -> float:
        """Record a response; after an outage, defer the removal of servers.

        Nothing is deferred if a peer reached the store lately: then only this host was
        cut off.

        :return: the time of the response, to be recorded for the part once its content
            has been applied.
        """
        self._view.record_store_contact()
        since_s = self._failing_since_s.pop(part, None)
        if since_s is not None:
            self._end_outage(part, since_s)
        return boottime_s()

    def _end_outage(self, part: str, since_s: float) -> None:
        self.resend_watches()
        now_s = boottime_s()
        peers_reach_store = self._view.peer_store_age_s() < MAX_PEER_STORE_AGE_S
        if not peers_reach_store:
            self._view.directory.defer_removals(now_s)
        self._events.log_process_event(
            "store_regained",
            part=part,
            lost_s=round(now_s - since_s, 2),
            peers_reached_it=peers_reach_store,
        )

    def resend_watches(self) -> None:
        """Let the watches that are waiting be sent again."""
        self._recovered.set()
        self._recovered = asyncio.Event()

    async def record_failure(
        self, part: str, error: Exception, following: bool
    ) -> None:
        """Record a failure and wait until the part may be retried.

        :param following: whether the leader keeps this host up to date meanwhile.
        """
        delay_s = RETRY_DELAY_S
        if part not in self._failing_since_s:
            self._failing_since_s[part] = boottime_s()
            self._events.log_process_event("store_lost", part=part, error=str(error))
        elif following:
            delay_s = FOLLOWER_RETRY_DELAY_S
        await asyncio.sleep(delay_s * (0.5 + self._random.random()))

    async def run_until_recovered(
        self, watch: Coroutine[Any, Any, Result]
    ) -> Result | None:
        """Run a watch until it ends or a part that failed gets a response.

        The store may never respond to a watch that it received during an outage.

        :return: ``None`` when the watch has to be sent again.
        """
        recovered = asyncio.ensure_future(self._recovered.wait())
        pending = asyncio.ensure_future(watch)
        try:
            await asyncio.wait(
                {recovered, pending}, return_when=asyncio.FIRST_COMPLETED
            )
            return pending.result() if pending.done() else None
        finally:
            recovered.cancel()
            pending.cancel()
