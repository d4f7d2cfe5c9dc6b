"""Follows this host's path to the servers, and logs when it is lost or back."""

from __future__ import annotations

__all__ = ["ReachMonitor"]

import asyncio
from collections.abc import Callable
from random import Random

from mode import Service

from ..metrics import Metrics
from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog
from .exchange import BackendClient
from .loop_delay import loop_delay_of
from .loops import LoopSupervisor
from .model import Backend
from .pool import ServerPool
from .server_reach import Reach, ServerReach

CHECK_INTERVAL_S = 0.1
PROBED_SERVERS = 3


class ReachMonitor(Service):
    """Records how attempts and commands of this host end, and probes servers in doubt.

    Probes are health checks, so that no caller's request has to find out.

    :param pool: forgets failures whose cause was this host's own path.
    :param clock: boot clock.
    :ivar changed: set and replaced whenever the path is lost or back.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: ServerPool,
        backend_client: BackendClient,
        metrics: Metrics,
        events: EventLog,
        random: Random,
        loops: LoopSupervisor,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        super().__init__()
        self._view = view
        self._pool = pool
        self._backend_client = backend_client
        self._metrics = metrics
        self._events = events
        self._random = random
        self._loops = loops
        self._clock = clock
        self._reach = ServerReach()
        self._was_cut_off = False
        self.changed = asyncio.Event()

    async def on_start(self) -> None:
        """Start to probe servers whenever the path is in doubt."""
        self.add_future(self._loops.run("reach-probes", self._probe_in_doubt))

    def state(self) -> Reach:
        """Return what is known of the path to the servers."""
        return self._reach.state(self._clock())

    def is_cut_off(self) -> bool:
        """Return whether this host has lost its path to all servers."""
        return self._reach.is_cut_off(self._clock())

    def is_doubted(self) -> bool:
        """Return whether two servers have failed one after the other."""
        return self._reach.is_doubted()

    def has_failures(self) -> bool:
        """Return whether the last server that was asked has not responded."""
        return bool(self._reach.failing)

    async def has_path_beside(self, backend: Backend, since_s: float) -> bool:
        """Return whether a server other than ``backend`` responds to this host.

        :param since_s: a response after this time suffices; servers are probed if there
            was none.
        """
        if self._reach.last_response_s > since_s:
            return True
        others = [b for b in self._choose_probed(PROBED_SERVERS + 1) if b != backend]
        if not others:
            return len(self._usable_servers()) < 2
        await self._probe(others[:PROBED_SERVERS])
        return self._reach.last_response_s > since_s

    def record_sent(self) -> int:
        """Record the start of an attempt; return a token for its end."""
        return self._reach.record_sent(self._clock())

    def record_ended(self, token: int) -> None:
        """Record the end of an attempt, whatever its result."""
        self._reach.record_ended(token)

    def record_response(self) -> None:
        """Record that a server has responded to this host."""
        self._reach.record_response(self._clock())
        if self._was_cut_off:
            self._handle_change()

    def record_failure(self, server: str, service: str) -> None:
        """Record that a server of a service did not respond to this host."""
        backends = self._usable_servers()
        services = {backend.service for backend in backends}
        self._reach.set_known(len(backends), len(services))
        self._reach.record_failure(server, service, self._clock())
        if self.is_cut_off() != self._was_cut_off:
            self._handle_change()

    def _handle_change(self) -> None:
        self._was_cut_off = self.is_cut_off()
        self._pool.forget_failures()
        self._metrics.gauge("cut_off_from_servers", float(self._was_cut_off))
        self._events.log_state_change(
            "reach_changed",
            state=self.state().value,
            failing=" ".join(self._reach.failing),
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def _probe_in_doubt(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CHECK_INTERVAL_S)
            count = self._reach.due_probes(self._clock())
            if count:
                await self._probe(self._choose_probed(count))

    async def _probe(self, backends: list[Backend]) -> None:
        await asyncio.gather(*(self._probe_server(backend) for backend in backends))

    def _choose_probed(self, count: int) -> list[Backend]:
        """Return servers that have not failed yet, and whom a probe does not burden."""
        now_s = self._clock()
        limits = self._view.limits
        unburdened = [
            backend
            for backend in self._usable_servers()
            if not backend.draining
            and not self._pool.pause_left_s(backend, now_s)
            and limits.find(backend.server, backend.started_ms, now_s) is None
        ]
        failing = self._reach.failing
        failing_services = self._reach.failing_services
        self._random.shuffle(unburdened)
        # Those that tell most come first: no server of their service has failed.
        unburdened.sort(
            key=lambda b: (b.service in failing_services, b.server in failing)
        )
        return unburdened[:count]

    async def _probe_server(self, backend: Backend) -> None:
        health_path = self._health_path(backend)
        if not health_path:
            return
        delay = loop_delay_of(asyncio.get_running_loop())
        sent_s = boottime_s()
        responds = await self._backend_client.responds(backend, health_path)
        self._metrics.count("reach_probes_total", result="yes" if responds else "no")
        if responds:
            self.record_response()
        elif not delay.was_delayed_since(sent_s):
            self.record_failure(backend.server, backend.service)

    def _usable_servers(self) -> list[Backend]:
        """Return the servers of services that the configuration knows.

        Entries of other services may come from another writer, with nothing at their
        addresses.
        """
        routes = self._view.routes
        services = routes.table.services.values() if routes else ()
        probed = {service.name for service in services if service.health_path}
        backends = self._view.directory.all().values()
        return [backend for backend in backends if backend.service in probed]

    def _health_path(self, backend: Backend) -> str:
        routes = self._view.routes
        service = routes.table.services.get(backend.service) if routes else None
        return service.health_path if service else ""
