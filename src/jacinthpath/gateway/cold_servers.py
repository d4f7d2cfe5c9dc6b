"""Servers that are cold: for some seconds they take only a few requests a second."""

from __future__ import annotations

__all__ = ["MAX_COLD_S", "ColdPeriod", "ColdServers"]

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

MAX_COLD_S = 3_600.0
"""A server that says it is cold for longer is taken to be cold for this long."""

RAISE_TOLERANCE_S = 0.25
"""Entries are read at varying times after they were written, so the end of one period
is computed anew with each of them. A smaller difference is not sent to other hosts."""

LONG_PERIOD_S = 10.0
"""A longer period is extended only once half of it has passed, so that a server that
always claims a long one does not cause a message with each entry."""

LOWER_TOLERANCE_S = 1.5
"""A smaller reduction is ignored: an entry may have been read that much later than the
one before."""

LOWER_DELAY_S = 2.0
"""A period is not shortened for this long after it began: an entry or response that
says so may be older than what began it."""

OWN_OBSERVATION_S = 1.0
"""A period that this host has observed itself holds for this long against a shorter one
of a peer, which may not have heard of it."""

MAX_PERIODS = 2_000
"""Periods that are remembered; beyond it the one changed longest ago is dropped."""


class ColdPeriod(NamedTuple):
    """Until when one incarnation of a server is cold.

    :param until_s: time on this host's boot clock.
    :param order: rises with each change for the incarnation, so that hosts with
        different clocks agree on which of two periods is newer.
    """

    server: str
    started_ms: int
    until_s: float
    order: int


class ColdServers:
    """The last cold period of each server, as observed by this host or a peer.

    Periods that have ended are kept, so that the digest does not change by the passing
    of time alone.
    """

    def __init__(self) -> None:
        self._periods: dict[str, ColdPeriod] = {}
        self._observed_s: dict[str, float] = {}
        self._unreported: set[str] = set()
        self._digest: int | None = None

    def remaining_s(self, server: str, started_ms: int, now_s: float) -> float:
        """Return for how much longer an incarnation of a server is cold."""
        known = self._find(server, started_ms)
        return max(0.0, known.until_s - now_s) if known is not None else 0.0

    def all(self) -> tuple[ColdPeriod, ...]:
        """Return the last period of each server, also those that have ended."""
        return tuple(self._periods.values())

    def digest(self) -> int:
        """Return a digest of the periods, 0 if there are none."""
        if self._digest is None:
            rows = sorted(
                (one.server, one.started_ms, one.order)
                for one in self._periods.values()
            )
            self._digest = xxhash.xxh64_intdigest(repr(rows).encode()) if rows else 0
        return self._digest

    def record(
        self, server: str, started_ms: int, until_s: float, now_s: float
    ) -> bool:
        """Record that this host has learned that a server is cold until a time.

        A known period of the same incarnation is extended, and never shortened.

        :return: whether the cold state has changed.
        """
        if not math.isfinite(until_s):
            return False
        until_s = min(until_s, now_s + MAX_COLD_S)
        known = self._periods.get(server)
        if until_s <= now_s or (known is not None and known.started_ms > started_ms):
            return False
        if known is None or known.started_ms < started_ms:
            self._keep_own(ColdPeriod(server, started_ms, until_s, 1), now_s)
            return True
        if until_s <= known.until_s + _raise_tolerance_s(until_s - now_s):
            return False
        order = known.order + 1
        self._keep_own(known._replace(until_s=until_s, order=order), now_s)
        return True

    def observe(
        self, server: str, started_ms: int, left_s: float, now_s: float
    ) -> bool:
        """Record for how much longer a server says that it is cold.

        Unlike :meth:`record`, this may also shorten the known period.

        :return: whether the cold state has changed.
        """
        if not 0 <= left_s < math.inf:
            return False
        until_s = now_s + left_s
        known = self._find(server, started_ms)
        if known is None or until_s >= known.until_s:
            return self.record(server, started_ms, until_s, now_s)
        begun_s = self._observed_s.get(server, float("-inf"))
        if (
            known.until_s - until_s <= LOWER_TOLERANCE_S
            or now_s - begun_s < LOWER_DELAY_S
        ):
            return False
        self._keep(known._replace(until_s=until_s, order=known.order + 1))
        self._unreported.add(server)
        return True

    def merge(self, period: ColdPeriod, now_s: float) -> bool:
        """Merge a period that another host has reported to this leader.

        :return: whether the cold state has changed.
        """
        known = self._periods.get(period.server)
        if known is None or (known.started_ms, known.order) < (
            period.started_ms,
            period.order,
        ):
            self._keep(period)
            self._observed_s[period.server] = now_s
            return True
        if (known.started_ms, known.order) != (period.started_ms, period.order):
            return False
        # Two hosts have observed different changes at the same time.
        return self.record(period.server, period.started_ms, period.until_s, now_s)

    def merge_all(
        self, periods: Iterable[ColdPeriod], now_s: float
    ) -> list[ColdPeriod]:
        """Merge the whole set of a peer, mostly the leader.

        What this host knows better is reported to the leader next.

        :return: the periods that are new to this host.
        """
        changed = []
        listed = set()
        for period in periods:
            listed.add(period.server)
            known = self._periods.get(period.server)
            if known is not None and self._outlasts(known, period, now_s):
                self._keep_unreported(known, period)
                continue
            is_known = known is not None and _identity(known) == _identity(period)
            if is_known:
                period = period._replace(until_s=max(known.until_s, period.until_s))
            elif period.until_s > now_s or known is not None:
                changed.append(period)
            self._keep(period)
            self._unreported.discard(period.server)
        self._settle_unlisted(listed, now_s)
        return changed

    def unreported(self, now_s: float) -> tuple[ColdPeriod, ...]:
        """Return what the leader does not know yet, as far as known here."""
        self._unreported &= self._periods.keys()
        return tuple(
            period
            for period in map(self._periods.__getitem__, sorted(self._unreported))
            if period.until_s > now_s or period.order > 1
        )

    def mark_reported(self, periods: Iterable[ColdPeriod]) -> None:
        """Record that the leader has taken a report."""
        for period in periods:
            known = self._periods.get(period.server)
            if known is not None and _identity(known) == _identity(period):
                self._unreported.discard(period.server)

    def mark_all_unreported(self, now_s: float) -> None:
        """Report all periods that have not ended: another host leads."""
        self._unreported |= {
            server for server, period in self._periods.items() if period.until_s > now_s
        }

    def _find(self, server: str, started_ms: int) -> ColdPeriod | None:
        known = self._periods.get(server)
        if known is None or known.started_ms != started_ms:
            return None
        return known

    def _outlasts(self, known: ColdPeriod, period: ColdPeriod, now_s: float) -> bool:
        """Return whether a known period holds against that of a peer."""
        if known.until_s <= now_s:
            return False
        if _identity(known) > _identity(period):
            return True
        if known.started_ms < period.started_ms:
            return False
        observed_s = self._observed_s.get(known.server, float("-inf"))
        is_recent = now_s - observed_s < OWN_OBSERVATION_S
        return is_recent and known.until_s > period.until_s + RAISE_TOLERANCE_S

    def _keep_unreported(self, known: ColdPeriod, period: ColdPeriod) -> None:
        """Keep a period that a peer has not heard of, as a change of the peer's."""
        if known.started_ms == period.started_ms and known.order <= period.order:
            self._keep(known._replace(order=period.order + 1))
        self._unreported.add(known.server)

    def _settle_unlisted(self, listed: set[str], now_s: float) -> None:
        """Drop ended periods that a peer does not list, and report the others."""
        for server in self._periods.keys() - listed:
            if self._periods[server].until_s > now_s:
                self._unreported.add(server)
            else:
                self._drop(server)

    def _keep_own(self, period: ColdPeriod, now_s: float) -> None:
        self._keep(period)
        self._observed_s[period.server] = now_s
        self._unreported.add(period.server)

    def _keep(self, period: ColdPeriod) -> None:
        self._digest = None
        self._periods.pop(period.server, None)
        self._periods[period.server] = period
        if len(self._periods) > MAX_PERIODS:
            self._drop(next(iter(self._periods)))

    def _drop(self, server: str) -> None:
        self._digest = None
        del self._periods[server]
        self._observed_s.pop(server, None)
        self._unreported.discard(server)


def _raise_tolerance_s(left_s: float) -> float:
    """Return by how much a period has to be extended to be worth a message."""
    return left_s / 2 if left_s > LONG_PERIOD_S else RAISE_TOLERANCE_S


def _identity(period: ColdPeriod) -> tuple[int, int]:
    """Return what tells a period of a server from its others."""
    return period.started_ms, period.order
