"""When a range of keys may be granted, and to whom.

The leader keeps one :class:`Holding` for each range. A holding changes its server
only after the keys were released at a higher fence at the holder's address, or when
no grant that may have been sent can still be in force. A new life of the holder has
to answer a release too: it may have taken a repeated grant that was meant for the
life before it. Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["Authority", "Holding", "Ownership"]

from collections.abc import Iterable, Mapping

from .assignment import (
    Assignment,
    FormerLeader,
    MovingKey,
    OwnedRange,
    merge_adjacent,
    moving_key,
)
from .model import Backend

CLOCK_DRIFT = 0.02
"""A server's clock that measures a hold may run this much slow (platform page)."""

HOLD_S = 2.5
"""Hold while the store answers: a silent server's keys return after this."""

RENEWAL_S = 0.6
"""Grants are repeated this often, so that at any time enough of a hold is left for
a successor to take over."""

EXTENSION_S = 10.0
"""How long a leader that cannot confirm itself repeats its grants: outages of the
store last up to nine seconds on the platform's days."""

QUIET_HOLD_S = 5.0
"""Hold once the store is quiet: a leader that dies in an outage leaves its successor
this time, and the keys of a server that dies with it wait for it."""

ORDER_S = 0.4
"""A grant without an answer is given up after this; its connection is reset then."""

MARGIN_S = 0.3
"""Time by which a move needs authority to outlast its decision."""

QUIET_S = 1.2
"""Without a confirmation for this long the store counts as quiet."""


class Authority:
    """What a leader may do, by the age of its last confirmed lease.

    :param ttl_s: time to live of the lease.
    :param confirmed_s: when the last renewal that was answered had been sent.

    A leader that is ``resigning`` moves nothing more, but repeats what is granted.
    """

    def __init__(self, ttl_s: float, confirmed_s: float) -> None:
        self.ttl_s = ttl_s
        self.confirmed_s = confirmed_s
        self.resigning = False

    def confirm(self, sent_s: float) -> None:
        """Record a renewal that was answered."""
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def may_move(self, now_s: float) -> bool:
        """Return whether no successor can exist yet."""
        if self.resigning:
            return False
        return now_s < self.confirmed_s + self.ttl_s - MARGIN_S

    def may_renew(self, now_s: float) -> bool:
        """Return whether a successor still waits for the grants of this leader."""
        return now_s < self.confirmed_s + self.ttl_s + EXTENSION_S

    def hold_s(self, now_s: float, hold_max_s: float) -> float:
        """Return the hold to grant: long once the store is quiet.

        A leader that resigns may end before a successor is elected.
        """
        quiet = self.resigning or now_s - self.confirmed_s > QUIET_S
        return min(QUIET_HOLD_S if quiet else HOLD_S, hold_max_s)


def ended_bound_s(now_s: float) -> float:
    """Return when all grants of a leader have run out that has ended by ``now_s``."""
    return now_s + ORDER_S + QUIET_HOLD_S * (1 + CLOCK_DRIFT) + MARGIN_S


def former_bound_s(now_s: float, ttl_s: float) -> float:
    """Return when all grants of earlier leaders have run out.

    An earlier leader was last confirmed before ``now_s`` and may repeat grants for
    its lease and the extension.
    """
    return ended_bound_s(now_s + ttl_s + EXTENSION_S)


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
        moving_since_s: Mapping[MovingKey, float],
    ) -> None:
        self.fence = assignment.fence
        self.leaders = assignment.leaders
        self.holdings: dict[str, list[Holding]] = {
            service: [Holding(owned, former_until_s) for owned in ranges]
            for service, ranges in assignment.ranges.items()
        }
        for service, holding in self.all_holdings():
            owned = holding.owned
            since_s = moving_since_s.get(moving_key(service, owned))
            if owned.target and since_s is not None:
                lapsed_s = since_s + owned.lapse_s * (1 + CLOCK_DRIFT) + MARGIN_S
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
                    backend.born_ms,
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
                holding.owned = owned._replace(target=target, lapse_s=lapse_s)
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
                target.born_ms,
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
            same = backend.born_ms == owned.born_ms
            if same and backend.address == owned.address:
                continue
            self.fence += 1
            holding.owned = owned._replace(
                address=backend.address, born_ms=backend.born_ms, fence=self.fence
            )
            # Repeated grants of the former fence may be in force at the new life, so
            # their bound stays.
            holding.granted = False
            holding.answered_s = float("-inf")
            changed = True
        return changed


def adopted(assignment: Assignment, leader: FormerLeader) -> Assignment:
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
