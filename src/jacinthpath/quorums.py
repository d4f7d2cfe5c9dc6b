"""The hosts of a system as a coordinator sees them: inquiries and vouches."""

from __future__ import annotations

__all__ = ["VouchQuorum"]

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .grants import drift_margin_s
from .vouches import VOUCH_RENEWAL_S, VOUCH_S, VouchRequest, round_of

INQUIRY_REPEAT_S = 0.1
VOUCH_ANSWER_LIMIT_S = 0.25
# Hosts notice a store outage one after another; a refusal may be over soon.
REFUSAL_RETRY_S = 0.1
VOUCH_VALID_S = VOUCH_S - drift_margin_s(VOUCH_S)


class _Host:
    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.departed = math.inf
        self.reset()

    def reset(self) -> None:
        self.inquired = False
        self.asked = -math.inf


class _Renewal(NamedTuple):
    """Newest request for a vouch in a data centre."""

    host: str
    epoch: int
    sent: float
    granted: bool
    refused: bool = False


class VouchQuorum:
    """Which hosts answered an inquiry and which vouch, by data centre.

    :param data_centres: all data centres of the system, from the settings; the
        majority is counted over these and never over those that are reachable.
    :param departed_retention_s: how long a host that left the list counts as
        listed. It may not yet know that it was taken off, and may still vouch.
    """

    def __init__(
        self, data_centres: Iterable[str], departed_retention_s: float
    ) -> None:
        self._data_centres = sorted(set(data_centres))
        self.majority = len(self._data_centres) // 2 + 1
        self.blocking = len(self._data_centres) - self.majority + 1
        self._departed_retention_s = departed_retention_s
        self._hosts: dict[str, _Host] = {}
        self._renewals: dict[str, _Renewal] = {}
        # Latest end of a vouch in each data centre. A host that is dropped from
        # the list for good has not vouched for longer than a vouch lasts.
        self._vouched: dict[str, float] = {}
        self._vouched_in_outage: dict[str, float] = {}

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts that count as listed."""
        return list(self._hosts)

    def hosts_changed(self, hosts: Mapping[str, str], now: float) -> None:
        """Take over the host list, as host to data centre, with leaving hosts."""
        for name, data_centre in hosts.items():
            if name not in self._hosts:
                self._hosts[name] = _Host(data_centre)
            self._hosts[name].departed = math.inf
        for name, host in list(self._hosts.items()):
            if name not in hosts:
                host.departed = min(host.departed, now)
            if now >= host.departed + self._departed_retention_s:
                del self._hosts[name]

    def reset(self) -> None:
        """Forget all answers, at the start of a candidacy."""
        self._renewals = {}
        self._vouched = {}
        self._vouched_in_outage = {}
        for host in self._hosts.values():
            host.reset()

    def hosts_to_inquire(self, now: float) -> list[str]:
        """Return the hosts whose answer to the inquiry is due again."""
        names = [
            name
            for name, host in self._hosts.items()
            if not host.inquired and now >= host.asked + INQUIRY_REPEAT_S
        ]
        for name in names:
            self._hosts[name].asked = now
        return names

    def inquiry_granted(self, name: str) -> None:
        """Note that a host is committed to this candidate."""
        if name in self._hosts:
            self._hosts[name].inquired = True

    def inquired_count(self) -> int:
        """Return in how many data centres every listed host is committed."""
        complete = 0
        for data_centre in self._data_centres:
            hosts = self._hosts_in(data_centre).values()
            complete += bool(hosts) and all(host.inquired for host in hosts)
        return complete

    def hosts_to_ask(self, epoch: int, now: float) -> list[str]:
        """Return one host of each data centre whose vouch is due."""
        names = []
        for data_centre in self._data_centres:
            name = self._host_to_ask(data_centre, epoch, now)
            if name:
                self._renewals[data_centre] = _Renewal(name, epoch, now, False)
                names.append(name)
        return names

    def vouch_granted(self, request: VouchRequest) -> None:
        """Note a vouch; it counts from when the request was made."""
        host = self._hosts.get(request.host)
        if host is None:
            return
        until = request.sent + VOUCH_VALID_S
        _raise_to(self._vouched, host.data_centre, until)
        if round_of(request.epoch):
            _raise_to(self._vouched_in_outage, host.data_centre, until)
        last = self._renewals.get(host.data_centre)
        if last is not None and last.sent == request.sent:
            self._renewals[host.data_centre] = last._replace(granted=True)

    def vouch_refused(self, request: VouchRequest) -> None:
        """Note a refusal, so that the data centre is asked again soon."""
        for data_centre, last in self._renewals.items():
            if (last.host, last.sent) == (request.host, request.sent):
                self._renewals[data_centre] = last._replace(refused=True)

    def end(self, count: int, *, outage: bool) -> float:
        """Return until when hosts in this many data centres vouch.

        :param outage: count only vouches that stand in for the store lease.
        """
        vouched = self._vouched_in_outage if outage else self._vouched
        ends = sorted(vouched.values(), reverse=True)
        return ends[count - 1] if len(ends) >= count else -math.inf

    def _hosts_in(self, data_centre: str) -> dict[str, _Host]:
        return {n: h for n, h in self._hosts.items() if h.data_centre == data_centre}

    def _host_to_ask(self, data_centre: str, epoch: int, now: float) -> str:
        """Return the host to ask in a data centre, or an empty string.

        A host that granted is kept; one that refused or did not answer in time
        is passed over for the next.
        """
        hosts = self._hosts_in(data_centre).items()
        names = sorted(name for name, host in hosts if host.departed == math.inf)
        last = self._renewals.get(data_centre)
        if not names:
            return ""
        if last is None or last.host not in names:
            return names[0]
        if last.granted and last.epoch != epoch:
            return last.host
        if last.granted:
            return last.host if now >= last.sent + VOUCH_RENEWAL_S else ""
        wait_s = REFUSAL_RETRY_S if last.refused else VOUCH_ANSWER_LIMIT_S
        if now < last.sent + wait_s:
            return ""
        return names[(names.index(last.host) + 1) % len(names)]


def _raise_to(ends: dict[str, float], data_centre: str, end: float) -> None:
    ends[data_centre] = max(end, ends.get(data_centre, end))
