"""Quorums of inquiries and vouches over data centres, on the coordinator side."""

from __future__ import annotations

__all__ = ["VouchQuorum"]

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .grants import drift_margin_s
from .vouches import VOUCH_DURATION_S, VOUCH_RENEWAL_INTERVAL_S, VouchRequest, round_of

INQUIRY_RETRY_INTERVAL_S = 0.1
VOUCH_ANSWER_TIMEOUT_S = 0.25
# Hosts notice a store outage at different times, so a refusal may soon be obsolete.
REFUSAL_RETRY_INTERVAL_S = 0.1
VOUCH_VALID_S = VOUCH_DURATION_S - drift_margin_s(VOUCH_DURATION_S)


class _Host:
    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.delisted_at = math.inf
        self.reset()

    def reset(self) -> None:
        self.committed = False
        self.last_inquiry = -math.inf


class _LastRequest(NamedTuple):
    """Last request for a vouch in a data centre."""

    host: str
    epoch: int
    sent: float
    granted: bool
    refused: bool = False


class VouchQuorum:
    """Tracks which hosts granted an inquiry and which vouch, by data centre.

    :param data_centres: all data centres of the system, from the settings; the
        majority is counted over these and never over those that are reachable.
    :param delisted_retention_s: how long a host that left the list counts as
        listed. It may not yet know that it was removed, and may still vouch.
    """

    def __init__(
        self, data_centres: Iterable[str], delisted_retention_s: float
    ) -> None:
        self._data_centres = sorted(set(data_centres))
        self.majority = len(self._data_centres) // 2 + 1
        self.blocking = len(self._data_centres) - self.majority + 1
        self._delisted_retention_s = delisted_retention_s
        self._hosts: dict[str, _Host] = {}
        self._last_requests: dict[str, _LastRequest] = {}
        # Latest end of a vouch in each data centre. A host that is removed for good
        # has not vouched for longer than a vouch lasts, so no entry is cleared.
        self._vouch_ends: dict[str, float] = {}
        self._outage_vouch_ends: dict[str, float] = {}

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts that count as listed."""
        return list(self._hosts)

    def update_hosts(self, hosts: Mapping[str, str], now: float) -> None:
        """Update the host list, as host to data centre, including leaving hosts."""
        for name, data_centre in hosts.items():
            if name not in self._hosts:
                self._hosts[name] = _Host(data_centre)
            self._hosts[name].delisted_at = math.inf
        for name, host in list(self._hosts.items()):
            if name not in hosts:
                host.delisted_at = min(host.delisted_at, now)
            if now >= host.delisted_at + self._delisted_retention_s:
                del self._hosts[name]

    def reset(self) -> None:
        """Discard all answers, at the start of a candidacy."""
        self._last_requests = {}
        self._vouch_ends = {}
        self._outage_vouch_ends = {}
        for host in self._hosts.values():
            host.reset()

    def hosts_due_for_inquiry(self, now: float) -> list[str]:
        """Return the hosts that are to be inquired now, at first or again."""
        names = [
            name
            for name, host in self._hosts.items()
            if not host.committed
            and now >= host.last_inquiry + INQUIRY_RETRY_INTERVAL_S
        ]
        for name in names:
            self._hosts[name].last_inquiry = now
        return names

    def record_commitment(self, name: str) -> None:
        """Record that a host is committed to this candidate."""
        if name in self._hosts:
            self._hosts[name].committed = True

    def count_committed(self) -> int:
        """Return the number of data centres where every listed host is committed."""
        complete = 0
        for data_centre in self._data_centres:
            hosts = self._hosts_in(data_centre).values()
            complete += bool(hosts) and all(host.committed for host in hosts)
        return complete

    def hosts_due_for_vouch(self, epoch: int, now: float) -> list[str]:
        """Return one host of each data centre whose vouch is due."""
        names = []
        for data_centre in self._data_centres:
            name = self._host_due_for_vouch(data_centre, epoch, now)
            if name:
                self._last_requests[data_centre] = _LastRequest(name, epoch, now, False)
                names.append(name)
        return names

    def record_vouch(self, request: VouchRequest) -> None:
        """Record a vouch; it counts from when the request was made."""
        host = self._hosts.get(request.host)
        if host is None:
            return
        until = request.sent + VOUCH_VALID_S
        _extend(self._vouch_ends, host.data_centre, until)
        if round_of(request.epoch):
            _extend(self._outage_vouch_ends, host.data_centre, until)
        last = self._last_requests.get(host.data_centre)
        if last is not None and last.sent == request.sent:
            self._last_requests[host.data_centre] = last._replace(granted=True)

    def record_refusal(self, request: VouchRequest) -> None:
        """Record a refusal, so that the data centre is soon asked again."""
        for data_centre, last in self._last_requests.items():
            if (last.host, last.sent) == (request.host, request.sent):
                self._last_requests[data_centre] = last._replace(refused=True)

    def vouched_until(self, count: int, *, outage: bool) -> float:
        """Return until when hosts in this many data centres vouch.

        :param outage: count only vouches that replace the store lease.
        """
        vouch_ends = self._outage_vouch_ends if outage else self._vouch_ends
        ends = sorted(vouch_ends.values(), reverse=True)
        return ends[count - 1] if len(ends) >= count else -math.inf

    def _hosts_in(self, data_centre: str) -> dict[str, _Host]:
        return {n: h for n, h in self._hosts.items() if h.data_centre == data_centre}

    def _host_due_for_vouch(self, data_centre: str, epoch: int, now: float) -> str:
        """Return the host to ask in a data centre, or an empty string.

        A host that granted is asked again; after a refusal or a timeout, the next
        host is asked.
        """
        hosts = self._hosts_in(data_centre).items()
        names = sorted(name for name, host in hosts if host.delisted_at == math.inf)
        last = self._last_requests.get(data_centre)
        if not names:
            return ""
        if last is None or last.host not in names:
            return names[0]
        if last.granted and last.epoch != epoch:
            return last.host
        if last.granted:
            return last.host if now >= last.sent + VOUCH_RENEWAL_INTERVAL_S else ""
        wait_s = REFUSAL_RETRY_INTERVAL_S if last.refused else VOUCH_ANSWER_TIMEOUT_S
        if now < last.sent + wait_s:
            return ""
        return names[(names.index(last.host) + 1) % len(names)]


def _extend(ends: dict[str, float], data_centre: str, end: float) -> None:
    ends[data_centre] = max(end, ends.get(data_centre, end))
