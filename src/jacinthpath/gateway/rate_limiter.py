"""Keeps the requests of all hosts to a server within the limit that it has named."""

from __future__ import annotations

__all__ = ["PermitSource", "RateLimiter"]

from random import Random
from typing import NamedTuple, Protocol

from ..errors import JacinthpathError
from ..metrics import Metrics
from .clock import boottime_s
from .cluster_view import ClusterView
from .limit_permits import GRANTED, OWN_SHARE_DELAY_S, OwnShare, Permit
from .model import Backend
from .server_limits import LimitObservation

MAX_REFUSAL_S = 1.0
"""Longest time for which a refusal by the leader is kept, in case the limit rises."""

UNAVAILABLE_PAUSE_S = 0.25
"""After the leader did not respond, it is not asked for permits for this long."""


class PermitSource(Protocol):
    """Asks the leader for permits."""

    async def request_permit(self, limit: LimitObservation) -> Permit:
        """Return the leader's decision on one request.

        :raises JacinthpathError: no leader whose lease is confirmed responds.
        """

    def last_counted_s(self) -> float:
        """Return when a leader last counted this host's shares as its own to issue."""


class _Refusal(NamedTuple):
    until_s: float
    retry_at_s: float


class RateLimiter:
    """Decides whether this host may send a request to a server."""

    def __init__(
        self, view: ClusterView, source: PermitSource, metrics: Metrics, random: Random
    ) -> None:
        self._view = view
        self._source = source
        self._metrics = metrics
        self._own_share = OwnShare(random)
        self._started_s = boottime_s()
        self._refusals: dict[str, _Refusal] = {}

    async def acquire(self, backend: Backend) -> Permit:
        """Return whether one request may be sent to the server now.

        A permit that is not used at once is lost; requests do not wait for one, since
        those that wait would reach the server as a burst.
        """
        now_s = boottime_s()
        limit = self._view.limits.find(backend.server, backend.started_ms, now_s)
        if limit is None:
            self._refusals.pop(backend.server, None)
            return GRANTED
        refusal = self._refusals.get(backend.server)
        if refusal is not None and now_s < refusal.until_s:
            return Permit(False, refusal.retry_at_s - now_s)
        permit, result = await self._request(limit, now_s)
        self._metrics.count("limit_permits_total", result=result)
        if not permit.granted:
            self._keep_refusal(backend, permit)
        return permit

    async def _request(
        self, limit: LimitObservation, now_s: float
    ) -> tuple[Permit, str]:
        """Return a permit of the leader or of this host's own share, and the result."""
        try:
            permit = await self._source.request_permit(limit)
            return permit, "granted" if permit.granted else "refused"
        except JacinthpathError:
            # Counted as a result; the leader's silence is logged where it is followed.
            pass
        counted_s = max(self._source.last_counted_s(), self._started_s)
        delay_s = counted_s + OWN_SHARE_DELAY_S - now_s
        if delay_s > 0:
            return Permit(False, delay_s, UNAVAILABLE_PAUSE_S), "unavailable"
        hosts = len(self._view.peer_addresses)
        permit = self._own_share.take(limit.server, limit.limit_per_s, hosts, now_s)
        return permit, "own-share" if permit.granted else "own-share-used"

    def _keep_refusal(self, backend: Backend, permit: Permit) -> None:
        now_s = boottime_s()
        retry_s = max(permit.retry_s, permit.next_s)
        self._refusals[backend.server] = _Refusal(
            now_s + min(permit.next_s, MAX_REFUSAL_S), now_s + retry_s
        )
        if len(self._refusals) > 2 * len(self._view.directory.all()) + 1:
            self._refusals.clear()
