"""What a leader may do, and how long its grants outlast its lease.

A leader may move keys only while no successor can exist. After that it only renews
existing grants, so that no key becomes unserved in an outage of the store. Times are
seconds on the boot clock.
"""

from __future__ import annotations

__all__ = [
    "CLOCK_DRIFT",
    "GRANT_TIMEOUT_S",
    "GRANT_INTERVAL_S",
    "SAFETY_MARGIN_S",
    "LeaderAuthority",
    "last_expiry_if_running_s",
    "last_expiry_if_stopped_s",
]

CLOCK_DRIFT = 0.02
"""A server's clock may run slow by this share, which lengthens hold times (from the
platform's documentation)."""

HOLD_S = 2.5
"""Hold time while the store responds. The keys of a server that stops responding can be
moved after this time."""

GRANT_INTERVAL_S = 0.6
"""Interval between renewals of a grant, so that enough hold time is left at any moment
for a successor to take over."""

RENEWAL_EXTENSION_S = 10.0
"""How long after the end of its unconfirmed lease a leader goes on renewing grants:
outages of the store on the platform last up to nine seconds."""

OUTAGE_HOLD_S = 5.0
"""Hold time in an outage of the store. It gives the successor of a leader that fails in
the outage time to take over, but the keys of a server that fails with the leader stay
unserved for as long."""

GRANT_TIMEOUT_S = 0.4
"""Timeout of a grant command; its connection is reset then."""

SAFETY_MARGIN_S = 0.3
"""No move is started when the lease ends within this time. Bounds on the validity of
grants are extended by it too."""

OUTAGE_DETECTION_S = 1.2
"""The store is taken to be down when the lease was not confirmed for this long."""


class LeaderAuthority:
    """What a leader may do, by the age of the last confirmation of its lease.

    :param ttl_s: time to live of the lease.
    :param confirmed_s: send time of the last renewal that succeeded.

    A leader that is ``resigning`` starts no more moves, but renews existing grants.
    """

    def __init__(self, ttl_s: float, confirmed_s: float) -> None:
        self.ttl_s = ttl_s
        self.confirmed_s = confirmed_s
        self.resigning = False

    def record_lease_renewal(self, sent_s: float) -> None:
        """Record a successful renewal of the lease, by its send time."""
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def may_move_keys(self, now_s: float) -> bool:
        """Return whether keys may be moved: no successor can exist yet."""
        if self.resigning:
            return False
        return now_s < self.confirmed_s + self.ttl_s - SAFETY_MARGIN_S

    def may_renew_grants(self, now_s: float) -> bool:
        """Return whether existing grants may be renewed.

        Until then, a successor waits for the grants of this leader.
        """
        return now_s < self.confirmed_s + self.ttl_s + RENEWAL_EXTENSION_S

    def hold_s(self, now_s: float, max_hold_s: float) -> float:
        """Return the hold time to grant, which is longer in an outage of the store.

        It is also longer for a leader that resigns, since its process may end before a
        successor is elected.
        """
        in_outage = self.resigning or now_s - self.confirmed_s > OUTAGE_DETECTION_S
        return min(OUTAGE_HOLD_S if in_outage else HOLD_S, max_hold_s)


def last_expiry_if_stopped_s(now_s: float) -> float:
    """Return when the last grant of a leader expires that has stopped by ``now_s``."""
    return now_s + GRANT_TIMEOUT_S + OUTAGE_HOLD_S * (1 + CLOCK_DRIFT) + SAFETY_MARGIN_S


def last_expiry_if_running_s(now_s: float, ttl_s: float) -> float:
    """Return when the last grant of previous leaders expires if they may still run.

    Their leases were last confirmed before ``now_s``, and each may renew grants for the
    time of its lease and the extension.
    """
    return last_expiry_if_stopped_s(now_s + ttl_s + RENEWAL_EXTENSION_S)
