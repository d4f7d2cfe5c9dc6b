"""Keeps the requests of all hosts to a cold server within the rate that it takes."""

from __future__ import annotations

__all__ = ["ColdLimiter"]

import time
from random import Random

from ..metrics import Metrics
from .clock import boottime_s
from .cluster_view import ClusterView
from .limit_permits import GRANTED, OwnShare, Permit
from .model import Backend


class ColdLimiter:
    """Decides by this host's own turns whether it may send to a cold server.

    No message is needed for a decision, so the sum over all hosts is bounded also while
    hosts are cut off from each other and from the store. The turns of the hosts follow
    each other evenly as far as their wall clocks agree; with turns at random times,
    many of them could fall into the same second.

    :param host: name of this host.
    """

    def __init__(
        self, host: str, view: ClusterView, metrics: Metrics, random: Random
    ) -> None:
        self._host = host
        self._view = view
        self._metrics = metrics
        self._own_share = OwnShare(random)

    def is_cold(self, backend: Backend) -> bool:
        """Return whether a server is cold and its service bounds the rate then."""
        return bool(self._view.cold_rate_per_s(backend, boottime_s()))

    def acquire(self, backend: Backend) -> Permit:
        """Return whether one request may be sent to the server now.

        A permit that is not used at once is lost.
        """
        now_s = boottime_s()
        rate_per_s = self._view.cold_rate_per_s(backend, now_s)
        if not rate_per_s:
            return GRANTED
        hosts = self._view.peer_addresses
        phase = sum(host < self._host for host in hosts) / max(1, len(hosts))
        permit = self._own_share.take(
            backend.server, rate_per_s, len(hosts), time.time(), phase
        )
        self._metrics.count(
            "cold_permits_total", result="granted" if permit.granted else "refused"
        )
        if permit.granted:
            return GRANTED
        remaining_s = self._view.cold_servers.remaining_s(
            backend.server, backend.started_ms, now_s
        )
        retry_s = min(permit.next_s, remaining_s)
        return Permit(False, retry_s, retry_s)
