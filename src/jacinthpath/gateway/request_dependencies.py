"""What all requests of a gateway share, and the responses of the gateway itself."""

from __future__ import annotations

__all__ = ["RequestDependencies"]

from random import Random
from typing import NamedTuple

from ..metrics import Metrics
from .attempts import jittered_retry_after_s
from .capacity.slot_client import SlotClient
from .cluster_view import ClusterView
from .cold_limiter import ColdLimiter
from .crash_detector import CrashDetector
from .crash_ledger import CrashLedger
from .events import EventLog
from .exchange import BackendClient, CallerRequest, Response, local_response
from .loads import LoadRecorder
from .owner_lookup import OwnerLookup
from .pool import ServerPool
from .rate_limiter import RateLimiter
from .reach_monitor import ReachMonitor
from .relay_client import RelayClient
from .shutdown_window import ShutdownWindow


class RequestDependencies(NamedTuple):
    """Dependencies shared by all requests of a gateway.

    :param data_centre: data centre of this host.
    """

    data_centre: str
    view: ClusterView
    pool: ServerPool
    reach: ReachMonitor
    owners: OwnerLookup
    rate_limiter: RateLimiter
    slots: SlotClient
    cold_limiter: ColdLimiter
    crash_ledger: CrashLedger
    crash_detector: CrashDetector
    backend_client: BackendClient
    relay: RelayClient
    load_recorder: LoadRecorder
    events: EventLog
    metrics: Metrics
    random: Random
    shutdown_window: ShutdownWindow

    def respond_unavailable(
        self,
        request: CallerRequest,
        service: str,
        reason: str,
        wait_s: float,
        is_planned: bool = False,
    ) -> Response:
        """Return status 503: the request was not executed and will not be.

        :param is_planned: see :func:`jittered_retry_after_s`.
        """
        retry_after_s = jittered_retry_after_s(wait_s, self.random, is_planned)
        return self.respond_locally(request, service, reason, 503, retry_after_s)

    def respond_locally(
        self,
        request: CallerRequest,
        service: str,
        reason: str,
        status: int,
        retry_after_s: float = 0.0,
    ) -> Response:
        """Return a response of the gateway itself; log and count it."""
        self.metrics.count("requests_total", outcome="own")
        self.metrics.count("own_answers_total", reason=reason.partition(",")[0])
        routes = self.view.routes
        self.events.log_failure(
            "request_answered_by_gateway",
            id=request.request_id,
            service=service,
            key=request.key,
            status=status,
            reason=reason,
            configuration=routes.table.version if routes else None,
            assignment=self.view.assignment_revision,
            belief_age_s=round(self.view.store_age_s(), 2),
        )
        return local_response(status, reason, retry_after_s)
