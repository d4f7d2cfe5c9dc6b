"""Whether a host's configuration is known to be current.

A confirmation is a proof that the store was read; its age travels in digests.
Only answers to own requests count, from the time the request was sent: an
unsolicited digest may have waited in a socket buffer while this host was
frozen.
"""

from __future__ import annotations

__all__ = ["Freshness", "FreshnessTracker", "choose_probers"]

import enum
from collections.abc import Collection, Mapping

from .hashing import rendezvous_rank

STALENESS_LIMIT_S = 5.0

# Hosts that call the store when confirmations stop, in each data centre: so
# few that the calls in an outage do not grow with the fleet.
PROBERS = 2
PROBE_AGE_S = 2.0
CLAIM_AGE_S = 2.0
OWN_FAILURE_S = 3.0
EVIDENCE_S = 8.0

# Reports are asked for again before they expire.
RENEWAL_S = 4.0


class Freshness(enum.Enum):
    """What is known about the configuration of this host.

    ``OUTAGE`` means that most data centres find the store down, so nothing can
    have changed; ``STALE`` that this host may have missed a change.
    """

    FRESH = "fresh"
    OUTAGE = "outage"
    STALE = "stale"


def choose_probers(data_centres: Mapping[str, str]) -> frozenset[str]:
    """Return the hosts that probe the store, a few of each data centre.

    :param data_centres: data centre of each live host.
    """
    chosen: dict[str, list[str]] = {}
    for host in rendezvous_rank("probe", data_centres):
        members = chosen.setdefault(data_centres[host], [])
        if len(members) < PROBERS:
            members.append(host)
    return frozenset(host for members in chosen.values() for host in members)


class FreshnessTracker:
    """Follows confirmations and reports of an outage.

    :param data_centre: data centre of the own host.
    :param limit_s: age of the newest confirmation from which it is stale.
    """

    def __init__(self, data_centre: str, limit_s: float = STALENESS_LIMIT_S) -> None:
        self._data_centre = data_centre
        self._limit_s = limit_s
        self._confirmed_at_s = float("-inf")
        self._failed_at_s = float("-inf")
        self._reports: dict[str, tuple[str, float]] = {}

    def store_read(self, at_s: float) -> None:
        """Note that the store was read.

        :param at_s: earliest time at which the answer can have been made.
        """
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)
        self._failed_at_s = float("-inf")

    def store_failed(self, now_s: float) -> None:
        """Note that the store did not answer a call of this host."""
        self._failed_at_s = now_s

    def learn(
        self,
        sender: str,
        data_centre: str,
        confirmed_age_s: float,
        store_down: bool,
        asked_at_s: float,
    ) -> None:
        """Take the digest that answered a request.

        :param data_centre: data centre of the sender.
        :param asked_at_s: when the request was sent.
        """
        confirmed_at_s = asked_at_s - confirmed_age_s
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)
        if store_down:
            self._reports[sender] = (data_centre, asked_at_s)
        else:
            self._reports.pop(sender, None)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest confirmation."""
        return now_s - self._confirmed_at_s

    def should_probe(self, now_s: float) -> bool:
        """Return whether a prober should call the store."""
        return self.age_s(now_s) > PROBE_AGE_S

    def finds_store_down(self, now_s: float) -> bool:
        """Return whether the own data centre finds the store down.

        The host's own call failed, or it has that from a host of its data
        centre; either counts only while confirmations are missing.
        """
        if self.age_s(now_s) <= CLAIM_AGE_S:
            return False
        if now_s - self._failed_at_s <= OWN_FAILURE_S:
            return True
        return self._data_centre in self._reporting(now_s).values()

    def state(self, now_s: float, data_centres: Collection[str]) -> Freshness:
        """Return the state of this host.

        :param data_centres: all data centres of the system, lost ones included.
        """
        if self.age_s(now_s) <= self._limit_s:
            return Freshness.FRESH
        outage = self._is_outage(now_s, data_centres)
        return Freshness.OUTAGE if outage else Freshness.STALE

    def missing_reports(self, now_s: float, data_centres: Collection[str]) -> set[str]:
        """Return the data centres to ask whether the store is down.

        Empty unless confirmations are missing and no majority has reported. The
        own data centre comes first, because its report is passed on.
        """
        if self.age_s(now_s) <= CLAIM_AGE_S:
            return set()
        if self._is_outage(now_s, data_centres, RENEWAL_S):
            return set()
        reported = self._reporting(now_s, RENEWAL_S).values()
        missing = set(data_centres) - set(reported)
        if self.finds_store_down(now_s):
            return missing - {self._data_centre}
        return missing & {self._data_centre}

    def _is_outage(
        self,
        now_s: float,
        data_centres: Collection[str],
        window_s: float = EVIDENCE_S,
    ) -> bool:
        reporting = self._reporting(now_s, window_s)
        down = set(reporting.values())
        if self.finds_store_down(now_s):
            down.add(self._data_centre)
        # A cut host of a system in one data centre must not confirm itself.
        return bool(reporting) and len(down) > len(set(data_centres)) / 2

    def _reporting(self, now_s: float, window_s: float = EVIDENCE_S) -> dict[str, str]:
        """Return the data centre of each host that reported within a time."""
        for host, (_, at_s) in list(self._reports.items()):
            if now_s - at_s > EVIDENCE_S:
                del self._reports[host]
        return {
            host: data_centre
            for host, (data_centre, at_s) in self._reports.items()
            if now_s - at_s <= window_s
        }
