"""Whether a host's configuration is known to be current.

A confirmation proves that the store was read; digests carry its age. Only
responses to this host's own requests count, and their age is counted from the time
at which the request was sent: an unsolicited digest may have waited in a socket buffer
while this host was frozen.
"""

from __future__ import annotations

__all__ = ["Freshness", "FreshnessTracker", "choose_probers"]

import enum
from collections.abc import Collection, Mapping

from .hashing import rendezvous_rank

STALENESS_LIMIT_S = 5.0

# Hosts of each data centre that call the store when confirmations stop: few, so
# that the calls during an outage do not grow with the fleet.
PROBERS_PER_DATA_CENTRE = 2
PROBE_AGE_S = 2.0

# A host reports the store as down only while its newest confirmation is older than
# this.
OUTAGE_REPORT_AGE_S = 2.0
OWN_FAILURE_TTL_S = 3.0
REPORT_TTL_S = 8.0

# Reports are requested again before they expire.
REPORT_RENEWAL_AGE_S = 4.0


class Freshness(enum.Enum):
    """Whether the configuration of this host is known to be current.

    ``OUTAGE`` means that most data centres report the store as down, so nothing
    can have changed; ``STALE`` that this host may have missed a change.
    """

    FRESH = "fresh"
    OUTAGE = "outage"
    STALE = "stale"


def choose_probers(data_centres: Mapping[str, str]) -> frozenset[str]:
    """Return the hosts that probe the store, a few in each data centre.

    :param data_centres: data centre of each live host.
    """
    chosen: dict[str, list[str]] = {}
    for host in rendezvous_rank("probe", data_centres):
        members = chosen.setdefault(data_centres[host], [])
        if len(members) < PROBERS_PER_DATA_CENTRE:
            members.append(host)
    return frozenset(host for members in chosen.values() for host in members)


class FreshnessTracker:
    """Tracks confirmations and reports of a store outage.

    :param data_centre: data centre of this host.
    :param limit_s: highest age of the newest confirmation at which the
        configuration is fresh.
    """

    def __init__(self, data_centre: str, limit_s: float = STALENESS_LIMIT_S) -> None:
        self._data_centre = data_centre
        self._limit_s = limit_s
        self._confirmed_at_s = float("-inf")
        self._failed_at_s = float("-inf")
        self._reports: dict[str, tuple[str, float]] = {}

    def record_store_read(self, at_s: float) -> None:
        """Record that the store was read.

        :param at_s: earliest time at which the store can have produced the response.
        """
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)
        self._failed_at_s = float("-inf")

    def record_store_failure(self, now_s: float) -> None:
        """Record that a call of this host to the store failed."""
        self._failed_at_s = now_s

    def record_response(
        self,
        sender: str,
        data_centre: str,
        confirmed_age_s: float,
        store_down: bool,
        requested_at_s: float,
    ) -> None:
        """Apply the digest in the response to a request.

        :param data_centre: data centre of the sender.
        :param requested_at_s: when the request was sent.
        """
        confirmed_at_s = requested_at_s - confirmed_age_s
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)
        if store_down:
            self._reports[sender] = (data_centre, requested_at_s)
        else:
            self._reports.pop(sender, None)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest confirmation."""
        return now_s - self._confirmed_at_s

    def should_probe(self, now_s: float) -> bool:
        """Return whether a prober should call the store."""
        return self.age_s(now_s) > PROBE_AGE_S

    def reports_store_down(self, now_s: float) -> bool:
        """Return whether this data centre reports the store as down.

        Either a call of this host failed, or a host of its data centre reported
        the store as down; both count only while confirmations are missing.
        """
        if self.age_s(now_s) <= OUTAGE_REPORT_AGE_S:
            return False
        if now_s - self._failed_at_s <= OWN_FAILURE_TTL_S:
            return True
        return self._data_centre in self._recent_reports(now_s).values()

    def state(self, now_s: float, data_centres: Collection[str]) -> Freshness:
        """Return the state of this host.

        :param data_centres: all data centres of the system, lost ones included.
        """
        if self.age_s(now_s) <= self._limit_s:
            return Freshness.FRESH
        outage = self._is_outage(now_s, data_centres)
        return Freshness.OUTAGE if outage else Freshness.STALE

    def choose_data_centres_to_ask(
        self, now_s: float, data_centres: Collection[str]
    ) -> set[str]:
        """Return the data centres to ask whether the store is down.

        Empty unless confirmations are missing and no majority has reported. This
        host's own data centre is asked first, because once it reports the outage,
        this host reports the outage too.
        """
        if self.age_s(now_s) <= OUTAGE_REPORT_AGE_S:
            return set()
        if self._is_outage(now_s, data_centres, REPORT_RENEWAL_AGE_S):
            return set()
        reported = self._recent_reports(now_s, REPORT_RENEWAL_AGE_S).values()
        missing = set(data_centres) - set(reported)
        if self.reports_store_down(now_s):
            return missing - {self._data_centre}
        return missing & {self._data_centre}

    def _is_outage(
        self,
        now_s: float,
        data_centres: Collection[str],
        window_s: float = REPORT_TTL_S,
    ) -> bool:
        reporting = self._recent_reports(now_s, window_s)
        down = set(reporting.values())
        if self.reports_store_down(now_s):
            down.add(self._data_centre)
        # In a system with one data centre, a host that is cut off must not confirm the
        # outage by itself.
        return bool(reporting) and len(down) > len(set(data_centres)) / 2

    def _recent_reports(
        self, now_s: float, window_s: float = REPORT_TTL_S
    ) -> dict[str, str]:
        """Return the data centre of each host that reported within ``window_s``."""
        for host, (_, at_s) in list(self._reports.items()):
            if now_s - at_s > REPORT_TTL_S:
                del self._reports[host]
        return {
            host: data_centre
            for host, (data_centre, at_s) in self._reports.items()
            if now_s - at_s <= window_s
        }
