"""Order of the requests that wait for a slot.

Requests are ordered by class (see :class:`SlotClass`), within a class by what their
flow uses and how many of its requests go before, then by arrival. So a flow with most
of the requests takes turns with the others.
"""

from __future__ import annotations

__all__ = ["SlotClass", "SlotQueue", "WaitingRequest"]

from collections.abc import Callable, Iterator
from typing import NamedTuple

from .slots import SlotId, SlotRequest

FlowUse = Callable[[str, int], int]
"""Returns what a flow uses in a scope, in slots. A scope is the only server that a
request may use, or empty for the requests that may use any server of the group."""


class SlotClass(NamedTuple):
    """Class of a request. The lowest is served first.

    :param is_late: whether it can no longer meet its objective.
    :param is_new: whether its caller has not been refused before.
    """

    priority: int
    is_late: bool
    is_new: bool


class WaitingRequest(NamedTuple):
    """A request that waits.

    :param arrival: counts the requests that have waited.
    :param objective_s: when its latency objective is missed.
    :param deadline_s: when its lease expires: at its deadline, or after the longest
        time for a lease.
    :param latest_start_s: after this time it can no longer be served in time.
    """

    request: SlotRequest
    slot_class: SlotClass
    arrival: int
    objective_s: float
    deadline_s: float
    latest_start_s: float

    @property
    def scope(self) -> str:
        """The server that it has to have, empty if any will do."""
        return self.request.server


_Flows = dict[int, dict[SlotId, WaitingRequest]]


class _ScopeQueue:
    """The requests of one scope that wait."""

    def __init__(self) -> None:
        self.classes: dict[SlotClass, _Flows] = {}
        self.counts: dict[SlotClass, int] = {}

    def add(self, waiting: WaitingRequest) -> None:
        flows = self.classes.setdefault(waiting.slot_class, {})
        flow = flows.setdefault(waiting.request.flow, {})
        flow[waiting.request.slot] = waiting
        count = self.counts.get(waiting.slot_class, 0)
        self.counts[waiting.slot_class] = count + 1

    def replace(self, waiting: WaitingRequest) -> None:
        flow = self.classes[waiting.slot_class][waiting.request.flow]
        flow[waiting.request.slot] = waiting

    def remove(self, waiting: WaitingRequest) -> None:
        flows = self.classes[waiting.slot_class]
        flow = flows[waiting.request.flow]
        del flow[waiting.request.slot]
        if not flow:
            del flows[waiting.request.flow]
        self.counts[waiting.slot_class] -= 1
        if not flows:
            del self.classes[waiting.slot_class]
            del self.counts[waiting.slot_class]


class SlotQueue:
    """Requests that wait, by the server that they have to have.

    :param flow_use: what a flow uses, in slots.
    """

    def __init__(self, flow_use: FlowUse) -> None:
        self._flow_use = flow_use
        self._waiting: dict[SlotId, WaitingRequest] = {}
        self._by_scope: dict[str, _ScopeQueue] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def find(self, slot: SlotId) -> WaitingRequest | None:
        """Return a request if it waits."""
        return self._waiting.get(slot)

    def scopes(self) -> list[str]:
        """Return the scopes in which requests wait."""
        return list(self._by_scope)

    def has_any(self, scope: str) -> bool:
        """Return whether a request waits in a scope."""
        return scope in self._by_scope

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that does not wait yet."""
        self._waiting[waiting.request.slot] = waiting
        self._by_scope.setdefault(waiting.scope, _ScopeQueue()).add(waiting)

    def set_deadline(
        self, waiting: WaitingRequest, deadline_s: float, latest_start_s: float
    ) -> None:
        """Change the deadline of a request that waits; it keeps its place."""
        changed = waiting._replace(deadline_s=deadline_s, latest_start_s=latest_start_s)
        self._waiting[waiting.request.slot] = changed
        self._by_scope[waiting.scope].replace(changed)

    def remove(self, slot: SlotId) -> WaitingRequest | None:
        """Remove a request, and return it if it waited."""
        waiting = self._waiting.pop(slot, None)
        if waiting is None:
            return None
        queue = self._by_scope[waiting.scope]
        queue.remove(waiting)
        if not queue.classes:
            del self._by_scope[waiting.scope]
        return waiting

    def classes(self, scope: str) -> list[SlotClass]:
        """Return the classes that wait in a scope, the most urgent first."""
        queue = self._by_scope.get(scope)
        return sorted(queue.classes) if queue else []

    def count_flow(self, scope: str, flow: int) -> int:
        """Return how many requests of a flow wait in a scope."""
        queue = self._by_scope.get(scope)
        if queue is None:
            return 0
        return sum(len(flows.get(flow, ())) for flows in queue.classes.values())

    def count_more_urgent(
        self, scope: str, slot_class: SlotClass, same_priority: bool = False
    ) -> int:
        """Return how many requests of more urgent classes wait in a scope.

        :param same_priority: whether to count only those of the same priority.
        """
        queue = self._by_scope.get(scope)
        if queue is None:
            return 0
        return sum(
            count
            for other, count in queue.counts.items()
            if other < slot_class
            and (not same_priority or other.priority == slot_class.priority)
        )

    def count_before(self, scope: str, slot_class: SlotClass, flow: int) -> int:
        """Return how many requests of its own class a new request would follow."""
        queue = self._by_scope.get(scope)
        if queue is None or slot_class not in queue.classes:
            return 0
        flows = queue.classes[slot_class]
        turn = self._flow_use(scope, flow) + len(flows.get(flow, ()))
        return sum(
            min(len(waiting), max(0, turn + 1 - self._flow_use(scope, other)))
            for other, waiting in flows.items()
        )

    def first(
        self,
        scope: str,
        slot_class: SlotClass,
        may_start: Callable[[WaitingRequest], bool],
    ) -> WaitingRequest | None:
        """Return the first request of a class that may start.

        :param may_start: whether a request may start.
        """
        best, best_rank = None, None
        queue = self._by_scope[scope]
        for flow, requests in queue.classes[slot_class].items():
            arrival = next(iter(requests.values())).arrival
            rank = self._flow_use(scope, flow), len(requests), arrival
            if best_rank is not None and rank >= best_rank:
                continue
            found = next((one for one in requests.values() if may_start(one)), None)
            if found is not None:
                best, best_rank = found, rank
        return best

    def ordered(self, scope: str) -> Iterator[WaitingRequest]:
        """Return the requests of a scope in the order in which they are served."""
        for slot_class in self.classes(scope):
            ranked = []
            for flow, requests in self._by_scope[scope].classes[slot_class].items():
                use = self._flow_use(scope, flow)
                for turn, waiting in enumerate(requests.values(), start=use):
                    ranked.append((turn, waiting.arrival, waiting))
            ranked.sort()
            for _, _, waiting in ranked:
                yield waiting

    def last(self) -> WaitingRequest | None:
        """Return the request that arrived last in the least urgent class."""
        ranks = ((one.slot_class, one.arrival) for one in self._waiting.values())
        worst = max(ranks, default=None)
        if worst is None:
            return None
        waiting = self._waiting.values()
        return next(one for one in waiting if one.arrival == worst[1])
