"""What a leader may do, and how long its grants outlast it.

A leader may move keys only while no successor can exist. Past that it repeats what is
granted, so that an outage of the store costs no key. Times are seconds on the boot
clock.
"""

from __future__ import annotations

__all__ = [
    "CLOCK_DRIFT",
    "MARGIN_S",
    "ORDER_S",
    "RENEWAL_S",
    "LeaderAuthority",
    "ended_bound_s",
    "former_bound_s",
]

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


class LeaderAuthority:
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
