"""Chooses which of the requests that wait gets a free place of a server."""

from __future__ import annotations

__all__ = ["SlotChooser"]

from collections.abc import Callable

from .flow_use import FlowUse
from .server_slots import ServerSlots
from .slot_queue import SlotClass, SlotQueue, WaitingRequest
from .slot_waits import WaitEstimator
from .slots import SlotRequest

SAFE_DURATIONS = 2.0
"""Nearly all requests take less than this many times the expected duration."""

LEAST_OWED_IF_SAFE = 3.0
LEAST_OWED = 1.0
"""Grants that a priority must be owed to go before a more urgent one. At a server where
the more urgent one may well miss its objective, fewer are enough."""

MayStart = Callable[[SlotRequest, ServerSlots, float], bool]
"""Returns whether a server has room for a request at a time."""


class SlotChooser:
    """Applies the order of those that wait, and the shares of less urgent work.

    :param may_start: whether a server has room for a request.
    """

    def __init__(
        self,
        queue: SlotQueue,
        waits: WaitEstimator,
        flow_use: FlowUse,
        may_start: MayStart,
    ) -> None:
        self._queue = queue
        self._waits = waits
        self._flow_use = flow_use
        self._may_start = may_start

    def next_for(self, server: ServerSlots, now_s: float) -> WaitingRequest | None:
        """Choose the request that a place of a server is granted to."""
        scopes = [server.capacity.server, ""]
        firsts: dict[int, WaitingRequest] = {}
        classes = {one for scope in scopes for one in self._queue.classes(scope)}
        for slot_class in sorted(classes):
            if slot_class.priority in firsts:
                continue
            found = self._first_of(scopes, slot_class, server, now_s)
            if found is not None:
                firsts[slot_class.priority] = found
        if len(firsts) < 2:
            return next(iter(firsts.values()), None)
        return firsts[self._choose_priority(list(firsts), firsts, server, now_s)]

    def _choose_priority(
        self,
        priorities: list[int],
        firsts: dict[int, WaitingRequest],
        server: ServerSlots,
        now_s: float,
    ) -> int:
        """Return the most urgent priority, or a less urgent one that is owed its share.

        :param priorities: those of ``firsts``, the most urgent first.
        :param firsts: first waiting request of each priority.
        """
        most_urgent, *others = priorities
        first = firsts[most_urgent]
        left_s = first.objective_s - now_s
        is_safe = left_s >= SAFE_DURATIONS * server.expected_s
        least_owed = LEAST_OWED_IF_SAFE if is_safe else LEAST_OWED
        chosen = most_urgent
        for index, priority in enumerate(others, start=1):
            traffic = self._waits.traffic(firsts[priority].scope)
            if any(
                traffic.is_served_better(priority, other, now_s)
                for other in priorities[:index]
            ):
                continue
            # Each priority that waits accrues its share, also if another one is chosen.
            owed = traffic.accrue_share(priority, now_s)
            if owed >= least_owed and chosen == most_urgent:
                chosen = priority
        return chosen

    def _first_of(
        self,
        scopes: list[str],
        slot_class: SlotClass,
        server: ServerSlots,
        now_s: float,
    ) -> WaitingRequest | None:
        def may_start(waiting: WaitingRequest) -> bool:
            return self._may_start(waiting.request, server, now_s)

        found = [
            self._queue.first(scope, slot_class, may_start)
            for scope in scopes
            if slot_class in self._queue.classes(scope)
        ]
        return min(
            (one for one in found if one is not None),
            key=lambda one: (
                self._flow_use.count(one.scope, one.request.flow),
                one.arrival,
            ),
            default=None,
        )
