"""Whether each part of the store that a host follows answers."""

from __future__ import annotations

__all__ = ["RETRY_S", "StoreHealth"]

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, TypeVar

from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog

RETRY_S = 0.4

RETRY_FOLLOWING_S = 1.0
"""Pause after repeated failures of a host that learns the same from the leader. Should
the leader end meanwhile, a configuration still comes into force within two seconds."""

PEER_FRESH_S = 2.0
"""When a peer heard of the store within this time, the store was not down."""

Answer = TypeVar("Answer")


class StoreHealth:
    """Notes which parts fail since when, and paces what is asked again."""

    def __init__(self, view: ClusterView, events: EventLog, random: Random) -> None:
        self._view = view
        self._events = events
        self._random = random
        self._failing: dict[str, float] = {}
        self._regained = asyncio.Event()

    def is_lost(self) -> bool:
        """Return whether any part does not answer."""
        return bool(self._failing)

    def forget(self, part: str) -> None:
        """Leave a part out that is not followed in the store any more."""
        self._failing.pop(part, None)

    def answered(self, part: str) -> None:
        """Record an answer; raise doubt about servers after an outage."""
        self._view.record_store_contact()
        if part == "servers":
            self._view.record_servers_contact()
        since_s = self._failing.pop(part, None)
        if since_s is None:
            return
        self._regained.set()
        self._regained = asyncio.Event()
        now_s = boottime_s()
        only_here = self._view.peer_store_age_s() < PEER_FRESH_S
        if not only_here:
            self._view.directory.defer_removals(now_s)
        self._events.process(
            "store_regained",
            part=part,
            lost_s=round(now_s - since_s, 2),
            peers_reached_it=only_here,
        )

    async def failed(self, part: str, error: Exception, following: bool) -> None:
        """Record a failure and wait until the part may be asked again.

        :param following: whether the leader keeps this host up to date meanwhile.
        """
        pause_s = RETRY_S
        if part not in self._failing:
            self._failing[part] = boottime_s()
            self._events.process("store_lost", part=part, error=str(error))
        elif following:
            pause_s = RETRY_FOLLOWING_S
        await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def until_regained(self, watch: Coroutine[Any, Any, Answer]) -> Answer | None:
        """Run a watch until it is answered or another call shows the store is back.

        A watch that the store took while it was silent is never answered.

        :return: ``None`` when the watch has to be sent again.
        """
        regained = asyncio.ensure_future(self._regained.wait())
        watching = asyncio.ensure_future(watch)
        try:
            await asyncio.wait(
                {regained, watching}, return_when=asyncio.FIRST_COMPLETED
            )
            return watching.result() if watching.done() else None
        finally:
            regained.cancel()
            watching.cancel()
