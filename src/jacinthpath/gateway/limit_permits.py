"""Divides the request rate that a server accepts among the hosts.

The leader issues one permit for each request, so a limit may be lower than the number
of hosts, and the hosts that need it get it. A host that the leader has not heard of
keeps an equal share for itself, which the leader then leaves out: both together stay
within the limit while hosts are cut off from the leader, or while nobody leads.
"""

from __future__ import annotations

__all__ = ["GRANTED", "OwnShare", "Permit", "PermitIssuer"]

import math
from random import Random
from typing import NamedTuple

MIN_RATE_PER_S = 0.1
"""A server with a lower limit is still sent a request every ten seconds, whose response
tells whether the limit holds."""

BURST_S = 1.0
"""Permits that are not used are kept for this long, but at least one of them is."""

HOST_TIMEOUT_S = 1.5
"""The leader uses the share of a host that it has heard of within this time."""

OWN_SHARE_DELAY_S = 2.5
"""A host uses its share itself once the leader has not counted it for this long. It is
longer than :data:`HOST_TIMEOUT_S`, so that nobody's share is used twice."""

TURN_S = 0.5
"""How long a host's turn lasts. Turns that are not used are lost, so that the shares of
many hosts cannot add up to a burst."""

MAX_RETRY_S = 2.5
"""Longest time after which a refused caller is asked to return."""

MAX_BUCKETS = 1_000


class Permit(NamedTuple):
    """Whether a request may be sent to a server that has named a limit.

    :param retry_s: time after which the caller should return if it may not.
    :param next_s: time after which the next permit can be issued to anyone.
    """

    granted: bool
    retry_s: float = 0.0
    next_s: float = 0.0


GRANTED = Permit(True)


class _Bucket:
    """A token bucket, and when the callers that were refused have been asked to return.

    It starts empty, since an earlier leader may just have issued a permit.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._updated_s = now_s
        self._last_return_s = float("-inf")

    def take(self, rate_per_s: float, now_s: float) -> Permit:
        """Take a token, or return when there will be one."""
        self._refill(rate_per_s, now_s)
        if self._tokens >= 1:
            self._tokens -= 1
            return GRANTED
        next_s = (1 - self._tokens) / rate_per_s
        return Permit(False, self._plan_return(next_s, rate_per_s, now_s), next_s)

    def _refill(self, rate_per_s: float, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        capacity = max(1.0, BURST_S * rate_per_s)
        self._tokens = min(capacity, self._tokens + rate_per_s * elapsed_s)
        self._updated_s = now_s

    def _plan_return(self, next_s: float, rate_per_s: float, now_s: float) -> float:
        """Return the wait of a refused caller.

        Each is asked to return one token later than the one before, so that they do not
        all come for the same token.
        """
        return_s = max(now_s + next_s, self._last_return_s + 1 / rate_per_s)
        self._last_return_s = min(return_s, now_s + MAX_RETRY_S)
        return self._last_return_s - now_s


class PermitIssuer:
    """Issues permits for the shares of all hosts that the leader has heard of.

    Only a leader whose lease is confirmed may use it. Times are seconds on the boot
    clock.

    :param host: name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._heard_s: dict[str, float] = {}
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def record_host(self, host: str, now_s: float) -> None:
        """Record that a host leaves its share to this leader."""
        self._heard_s[host] = now_s

    def issue(
        self,
        server: str,
        started_ms: int,
        limit_per_s: float,
        host_count: int,
        now_s: float,
    ) -> Permit:
        """Issue a permit for one request.

        :param started_ms: start of the server's incarnation.
        :param host_count: number of registered hosts.
        """
        bucket = self._buckets.get((server, started_ms))
        if bucket is None:
            bucket = self._buckets[server, started_ms] = _Bucket(now_s)
            if len(self._buckets) > MAX_BUCKETS:
                del self._buckets[next(iter(self._buckets))]
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        return bucket.take(rate_per_s * self._share(host_count, now_s), now_s)

    def _share(self, host_count: int, now_s: float) -> float:
        """Return the share of the limit that is this leader's to issue."""
        self._heard_s[self._host] = now_s
        self._heard_s = {
            host: heard_s
            for host, heard_s in self._heard_s.items()
            if now_s - heard_s < HOST_TIMEOUT_S
        }
        return len(self._heard_s) / max(host_count, len(self._heard_s))


class OwnShare:
    """The share of each limit that a host uses while no leader counts it.

    The host may send one request in each of its turns, which are as far apart as its
    share demands and begin at a random time, or at one that the hosts agree on.
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random()
        self._last_turns: dict[str, int] = {}

    def take(
        self,
        server: str,
        limit_per_s: float,
        host_count: int,
        now_s: float,
        phase: float | None = None,
    ) -> Permit:
        """Use the turn of this host, or return when the next one begins.

        :param phase: where in the interval between two turns they begin, from 0 to 1;
            a random place by default.
        """
        interval_s = max(1, host_count) / max(limit_per_s, MIN_RATE_PER_S)
        position = now_s / interval_s + (self._phase if phase is None else phase)
        turn = math.floor(position)
        elapsed_s = (position - turn) * interval_s
        if elapsed_s < TURN_S and self._last_turns.get(server) != turn:
            self._last_turns[server] = turn
            return GRANTED
        next_s = interval_s - elapsed_s
        return Permit(False, min(next_s, MAX_RETRY_S), next_s)
