"""When a range of keys may be granted, and to whom.

The leader keeps one :class:`Holding` for each range. A holding changes its server
only after the keys were released at a higher fence at the holder's address, or when
no grant that may have been sent can still be in force. A new life of the holder has
to answer a release too: it may have taken a repeated grant that was meant for the
life before it. Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["Holding", "Ownership"]

from collections.abc import Iterable, Mapping

from .assignment import (
    Assignment,
    LeaderProcess,
    OwnedRange,
    RangeMoveId,
    merge_adjacent,
    range_move_id,
)
from .authority import CLOCK_DRIFT, MARGIN_S, ended_bound_s
from .model import Backend


class Holding:
    """A range with what is known about grants of it.

    :param owned: the range as it is written in the store.
    :param held_until_s: no grant that this leader sent is in force from then on.
    :param former_until_s: the same for the grants of earlier leaders.
    """

    __slots__ = (
        "answered_s",
        "asked_s",
        "failures",
        "former_until_s",
        "granted",
        "handover",
        "held_until_s",
        "owned",
        "released",
        "sending",
    )

    def __init__(self, owned: OwnedRange, former_until_s: float) -> None:
        self.owned = owned
        self.held_until_s = float("-inf")
        self.former_until_s = former_until_s
        self.answered_s = float("-inf")
        self.asked_s = float("-inf")
        self.granted = False
        self.failures = 0
        self.released = False
        self.handover = ""
        self.sending = False

    def grant_answered(self, now_s: float, hold_s: float) -> None:
        """Record that the server took a grant of the written fence.

        This life of the server refuses the grants of earlier leaders from now on; a
        later life would not, so their bound stays.
        """
        until_s = now_s + hold_s * (1 + CLOCK_DRIFT)
        self.held_until_s = max(self.held_until_s, until_s)
        self.granted = True
        self.answered_s = now_s
        self.failures = 0
        self.handover = ""

    def grant_uncertain(self, now_s: float, hold_s: float) -> None:
        """Record that a grant may have been taken, or may be taken later."""
        until_s = now_s + hold_s * (1 + CLOCK_DRIFT) + MARGIN_S
        self.held_until_s = max(self.held_until_s, until_s)
        self.failures += 1

    def grant_not_run(self) -> None:
        """Record that a grant did not reach the server."""
        self.failures += 1

    def release_answered(self, handover: str) -> None:
        """Record that the holder gave the keys up."""
        self.released = True
        self.handover = handover

    def may_leave(self, now_s: float) -> bool:
        """Return whether the keys may be granted to another server."""
        if self.sending:
            return False
        return self.released or now_s >= self.in_force_until_s()

    def in_force_until_s(self) -> float:
        """Return when no grant of the keys is in force any more."""
        return max(self.held_until_s, self.former_until_s)


class Ownership:
    """All holdings of the leader.

    :param assignment: what is written in the store.
    :param former_until_s: bound of the grants of earlier leaders.
    :param moving_since_s: when this host first saw a range moving. Such a range has
        not been granted since.
    """

    def __init__(
        self,
        assignment: Assignment,
        former_until_s: float,
        moving_since_s: Mapping[RangeMoveId, float],
    ) -> None:
        self.fence = assignment.fence
        self.leaders = assignment.leaders
        self.holdings: dict[str, list[Holding]] = {
            service: [Holding(owned, former_until_s) for owned in ranges]
            for service, ranges in assignment.ranges.items()
        }
        for service, holding in self.all_holdings():
            owned = holding.owned
            since_s = moving_since_s.get(range_move_id(service, owned))
            if owned.target and since_s is not None:
                lapsed_s = (
                    since_s + owned.remaining_hold_s * (1 + CLOCK_DRIFT) + MARGIN_S
                )
                holding.former_until_s = min(former_until_s, lapsed_s)

    def written(self) -> Assignment:
        """Return what the store has to hold for the present holdings."""
        ranges = {
            service: tuple(holding.owned for holding in holdings)
            for service, holdings in self.holdings.items()
        }
        return Assignment(self.fence, ranges, self.leaders)

    def former_leaders_ended(self, now_s: float) -> None:
        """Record that no earlier leader sends grants any more."""
        for _, holding in self.all_holdings():
            holding.former_until_s = min(holding.former_until_s, ended_bound_s(now_s))

    def all_holdings(self) -> Iterable[tuple[str, Holding]]:
        """Yield each service with each of its holdings."""
        for service, holdings in self.holdings.items():
            for holding in holdings:
                yield service, holding

    def found(self, service: str, ranges: Iterable[tuple[int, int, Backend]]) -> None:
        """Give a service that has no owners its first ones."""
        self.fence += 1
        self.holdings[service] = [
            Holding(
                OwnedRange(
                    first,
                    last,
                    backend.server,
                    backend.address,
                    backend.started_ms,
                    self.fence,
                ),
                float("-inf"),
            )
            for first, last, backend in ranges
        ]

    def begin_move(
        self, service: str, first: int, last: int, target: str, now_s: float
    ) -> bool:
        """Split ``first`` to ``last`` off its holding and mark it as moving.

        :return: whether it was; a range with an order on its way is left alone,
            since what comes of the order counts for all of its parts.
        """
        fence = self.fence + 1
        touched = [
            holding
            for holding in self.holdings[service]
            if first <= holding.owned.last and holding.owned.first <= last
        ]
        if any(holding.sending for holding in touched):
            return False
        holdings = []
        for holding in self.holdings[service]:
            holdings.extend(_split(holding, first, last))
        for holding in holdings:
            owned = holding.owned
            if first <= owned.first and owned.last <= last and not owned.target:
                lapse_s = max(0.0, holding.in_force_until_s() - now_s)
                holding.owned = owned._replace(target=target, remaining_hold_s=lapse_s)
                self.fence = fence
        self.holdings[service] = holdings
        return self.fence == fence

    def finish_moves(
        self, now_s: float, backends: Mapping[str, Backend]
    ) -> list[tuple[str, Holding]]:
        """Hand the ranges that may leave to their targets; return these."""
        finished = []
        for service, holding in self.all_holdings():
            owned = holding.owned
            target = backends.get(owned.target) if owned.target else None
            if target is None or not holding.may_leave(now_s):
                continue
            self.fence += 1
            holding.owned = OwnedRange(
                owned.first,
                owned.last,
                target.server,
                target.address,
                target.started_ms,
                self.fence,
            )
            holding.granted = holding.released = False
            holding.held_until_s = holding.former_until_s = float("-inf")
            holding.failures = 0
            holding.asked_s = float("-inf")
            finished.append((service, holding))
        return finished

    def renew_lives(self, backends: Mapping[str, Backend]) -> bool:
        """Raise the fence where a holder was started again under its id.

        :return: whether anything changed and has to be written.
        """
        changed = False
        for _, holding in self.all_holdings():
            owned = holding.owned
            backend = backends.get(owned.server)
            if backend is None or backend.draining or owned.target:
                continue
            same = backend.started_ms == owned.started_ms
            if same and backend.address == owned.address:
                continue
            self.fence += 1
            holding.owned = owned._replace(
                address=backend.address, started_ms=backend.started_ms, fence=self.fence
            )
            # Repeated grants of the former fence may be in force at the new life, so
            # their bound stays.
            holding.granted = False
            holding.answered_s = float("-inf")
            changed = True
        return changed


def adopted(assignment: Assignment, leader: LeaderProcess) -> Assignment:
    """Return the assignment that a successor writes: a higher fence, no move.

    :param leader: the successor itself.
    """
    fence = assignment.fence + 1
    ranges = {
        service: merge_adjacent(owned, fence)
        for service, owned in assignment.ranges.items()
    }
    others = tuple(one for one in assignment.leaders if one != leader)
    return Assignment(fence, ranges, (*others, leader))


def _split(holding: Holding, first: int, last: int) -> list[Holding]:
    """Cut a holding so that ``first`` to ``last`` is a holding of its own."""
    owned = holding.owned
    if owned.last < first or last < owned.first or owned.target:
        return [holding]
    cuts = [owned.first]
    cuts += [edge for edge in (first, last + 1) if owned.first < edge <= owned.last]
    if len(cuts) == 1:
        return [holding]
    parts = []
    for begin, end in zip(cuts, [*cuts[1:], owned.last + 1], strict=True):
        part = Holding(
            owned._replace(first=begin, last=end - 1), holding.former_until_s
        )
        part.held_until_s = holding.held_until_s
        part.granted = holding.granted
        part.answered_s = holding.answered_s
        part.failures = holding.failures
        parts.append(part)
    return parts
