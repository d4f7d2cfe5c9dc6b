"""The gateway daemon: start, readiness, drain and stop."""

from __future__ import annotations

__all__ = ["GatewayService"]

import asyncio
import os
import secrets
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from mode import Service

from ..admin import AdminServer
from ..errors import JacinthpathError, StoreError
from ..keyring import SharedKey
from ..metrics import Metrics
from .assigner import Assigner
from .capacity.appointer import CoordinatorAppointer
from .capacity.slot_service import SlotService
from .clock import boottime_s
from .cluster_view import HOSTS_PREFIX, ClusterView
from .crash_detector import CrashDetector
from .events import EventLog
from .forwarder import Forwarder
from .host_reports import HostReporter
from .leader_election import LeaderElection
from .loop_delay import LatePass, LoopDelay, loop_delay_of
from .loops import LoopSupervisor
from .model import GatewaySettings
from .peering import Peering
from .reach_monitor import ReachMonitor
from .relay_server import RelayServer
from .shutdown_window import ShutdownWindow
from .store import Condition, ConflictingWrite, Store, Write
from .store_watcher import StoreWatcher

PEER_KEY = "jacinthpath/peer-key"
PEER_KEY_BYTES = 32
JOIN_RETRY_S = 0.5
REJOIN_JITTER_S = 3.0
"""Hosts check their records in a restored store spread over this time."""

MAX_WAIT_FOR_OWNERS_S = 5.0
"""After a restore of the store, keys may have no owners for longer. A host that has run
for this time serves the other services meanwhile."""

LEAVE_ROTATION_S = 2.6
"""Two failed readiness checks, a second apart, take a host out of the rotation
(according to the platform's documentation)."""

VITAL_LOOPS = frozenset(
    {
        "assigner",
        "follow-leader",
        "leader-election",
        "track-following",
        "watch-configuration",
        "watch-leader",
        "watch-own",
        "watch-servers",
    }
)
"""Loops without which a host does not learn what is in force."""

PASSES_UNTIL_DRAIN = 5
"""Passes of the event loop from reading a signal until the drain begins."""

DRAIN_POLL_S = 0.02
WATCH_CALLERS_INTERVAL_S = 0.1
LOG_FLUSH_INTERVAL_S = 0.5


class CallerListener(Protocol):
    """Listens for callers' connections."""

    async def start(self) -> None:
        """Start to listen."""

    async def stop_listening(self) -> None:
        """Accept no new connections."""

    def abort_left_connections(self) -> None:
        """End the requests of callers that have left while nothing is read."""

    def close_idle_connections(self) -> int:
        """Close connections that wait for a request.

        :return: number of open connections, including those that are still closing.
        """

    async def close(self) -> None:
        """Close all connections."""


class GatewayService(Service):
    """One gateway process; the composition root provides its components.

    :param clients: components with ``start`` and ``close``, which are started first.
    :param read_settings: reads the settings again.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        keys: SharedKey,
        view: ClusterView,
        watcher: StoreWatcher,
        election: LeaderElection,
        assigner: Assigner,
        appointer: CoordinatorAppointer,
        peering: Peering,
        reporter: HostReporter,
        crash_detector: CrashDetector,
        reach: ReachMonitor,
        relay_server: RelayServer,
        slot_service: SlotService,
        forwarder: Forwarder,
        clients: tuple[Any, ...],
        metrics: Metrics,
        events: EventLog,
        read_settings: Callable[[], GatewaySettings],
        random: Random,
        loops: LoopSupervisor,
        shutdown_window: ShutdownWindow,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.listener: CallerListener | None = None
        self._store = store
        self._keys = keys
        self._view = view
        self._watcher = watcher
        self._election = election
        self._assigner = assigner
        self._appointer = appointer
        self._peering = peering
        self._reporter = reporter
        self._crash_detector = crash_detector
        self._reach = reach
        self._relay_server = relay_server
        self._slot_service = slot_service
        self._forwarder = forwarder
        self._clients = clients
        self._metrics = metrics
        self._events = events
        self._read_settings = read_settings
        self._was_ready = False
        self._started_s = boottime_s()
        self._peer_secret = b""
        self._random = random
        self._loops = loops
        self._shutdown_window = shutdown_window
        self._loop_delay: LoopDelay | None = None
        self._admin = AdminServer(
            settings.metrics_address, metrics, self.unready_reason, self.status
        )

    async def on_start(self) -> None:
        """Start the components; listen for callers last."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._loops.handle_loop_error)
        self._loop_delay = loop_delay_of(loop)
        self._loop_delay.on_late.append(self._record_late_pass)
        self._events.log_process_event("starting", pid=os.getpid(), role="gateway")
        for client in self._clients:
            await client.start()
        await self._admin.start()
        await self.add_runtime_dependency(self._peering)
        await self.add_runtime_dependency(self._crash_detector)
        await self.add_runtime_dependency(self._reach)
        await self.add_runtime_dependency(self._reporter)
        await self.add_runtime_dependency(self._watcher)
        await self.add_runtime_dependency(self._election)
        await self.add_runtime_dependency(self._assigner)
        await self.add_runtime_dependency(self._appointer)
        for name, loop in (
            ("register", self._register),
            ("publish-gauges", self._publish_gauges),
            ("flush-logs", self._flush_logs),
            ("tick-event-loop", self._loop_delay.run_ticks),
            ("watch-callers", self._watch_callers),
        ):
            self.add_future(self._loops.run(name, loop))
        await self.listener.start()
        self._events.log_process_event(
            "listening", callers=self.settings.callers_address
        )

    async def drain(self) -> int:
        """Leave the rotation, resign the leadership and finish the requests in flight.

        :return: number of requests that were not finished in time.
        """
        loop = asyncio.get_running_loop()
        # The grace period began when the signal arrived, not when the loop saw it.
        age_s = boottime_s() - self._loop_delay.earliest_arrival_s(PASSES_UNTIL_DRAIN)
        signalled_s = loop.time() - age_s
        self._shutdown_window.open(signalled_s, self.settings.timing.grace_s)
        self._events.log_process_event("draining", in_flight=self._forwarder.in_flight)
        await self._election.resign()
        await asyncio.sleep(LEAVE_ROTATION_S)
        await self.listener.stop_listening()
        # Connections are counted, because a request that is still being received is
        # not in flight yet.
        end_s = self._shutdown_window.end_s
        while self._close_idle_and_check_work() and loop.time() < end_s:
            await asyncio.sleep(DRAIN_POLL_S)
        return self._forwarder.in_flight

    def _close_idle_and_check_work(self) -> bool:
        """Close idle connections; return whether there is work left to wait for."""
        open_connections = self.listener.close_idle_connections()
        return (
            open_connections > 0
            or self._relay_server.in_progress > 0
            or self._slot_service.has_waiting()
            or self._election.has_unrevoked_lease()
        )

    def reload(self) -> None:
        """Read the settings again and log what differs; the old ones stay in force."""
        try:
            settings = self._read_settings()
        except JacinthpathError as error:
            self._events.log_process_event("settings_refused", error=str(error))
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self._events.log_process_event(
            "settings_read", changed=",".join(changed) or "nothing"
        )

    async def on_stop(self) -> None:
        """Close the components in reverse order."""
        if self.listener is not None:
            await self.listener.close()
        await self._admin.close()
        for client in reversed(self._clients):
            await client.close()
        self._events.log_process_event(
            "stopped", requests_lost=self._forwarder.in_flight
        )
        if self._loop_delay is not None:
            self._loop_delay.on_late.remove(self._record_late_pass)
        self._events.flush()

    def unready_reason(self) -> str:
        """Return why callers should use another host, or an empty string."""
        reason = self._unready_reason()
        if not reason and not self._was_ready:
            self._was_ready = True
            self._events.log_process_event("ready")
        return reason

    def status(self) -> dict[str, Any]:
        """Return a summary of this process's state."""
        routes = self._view.routes
        leader = self._view.leader
        return {
            "host": self.settings.host,
            "configuration": routes.table.version if routes else None,
            "assignment": self._view.assignment_revision,
            "leader": leader.host if leader else None,
            "belief_age_s": round(self._view.store_age_s(), 2),
            "configuration_age_s": round(self._view.configuration.age_s(), 2),
            "in_flight": self._forwarder.in_flight,
            "unready_reason": self._unready_reason(),
        }

    def _unready_reason(self) -> str:
        if self._shutdown_window.is_open:
            return "leaving"
        if self._view.routes is None:
            return "no-configuration"
        if not self._view.live_servers_known:
            return "no-servers"
        if VITAL_LOOPS.intersection(self._loops.failing()):
            return "failing-loop"
        if self._was_ready:
            return ""
        return "no-owners" if self._waits_for_owners() else ""

    def _waits_for_owners(self) -> bool:
        """Return whether to wait for the owners of a service that has servers.

        Neither a service without servers nor one whose keys stay without owners may
        keep the host from serving the others.
        """
        if boottime_s() - self._started_s >= MAX_WAIT_FOR_OWNERS_S:
            return False
        view = self._view
        return any(
            service.keyed
            and service.name not in view.owners
            and view.directory.servers_of(service.name)
            for service in view.routes.table.services.values()
        )

    async def _register(self) -> None:
        """Join the peers, and again whenever the store came back from an older copy."""
        joined_era: int | None = None
        while not self.should_stop:
            if joined_era == self._store.era:
                await asyncio.sleep(JOIN_RETRY_S)
                continue
            if joined_era is not None:
                await asyncio.sleep(REJOIN_JITTER_S * self._random.random())
            try:
                joined_era = await self._join(again=joined_era is not None)
            except StoreError as error:
                self._events.log_process_event("not_joined", error=str(error))
                await asyncio.sleep(JOIN_RETRY_S)

    async def _join(self, again: bool) -> int:
        """Get the shared key of the peers and publish this host's peer address.

        :param again: whether the record of this host may still be there.
        :return: era of the store in which the host has joined.
        """
        await self._fetch_peer_key()
        era = self._store.era
        name = HOSTS_PREFIX + self.settings.host
        if not again or await self._store.read(name) is None:
            address = self.settings.peer_address.encode()
            await self._store.write((), (Write(name, address),))
        self._events.log_process_event("joined", era=era)
        return era

    async def _fetch_peer_key(self) -> None:
        item = await self._store.read(PEER_KEY)
        if item is None:
            try:
                secret = self._peer_secret or secrets.token_bytes(PEER_KEY_BYTES)
                await self._store.write(
                    (Condition(PEER_KEY, 0),), (Write(PEER_KEY, secret),)
                )
            except ConflictingWrite:
                pass
            item = await self._store.read(PEER_KEY)
        if item is not None:
            self._peer_secret = item.value
            self._keys.set_secret(item.value)

    async def _watch_callers(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(WATCH_CALLERS_INTERVAL_S)
            self.listener.abort_left_connections()

    def _record_late_pass(self, late: LatePass) -> None:
        """Log and count a pass of the event loop that was late."""
        self._metrics.observe("event_loop_pass_seconds", late.ran_s, part="callbacks")
        self._metrics.observe("event_loop_pass_seconds", late.waited_s, part="wait")
        self._events.log_process_event(
            "event_loop_late",
            ran_ms=round(1000 * late.ran_s),
            waited_ms=round(1000 * late.waited_s),
            sockets=late.sockets,
            tasks=len(asyncio.all_tasks()),
            in_flight=self._forwarder.in_flight,
            leading=self._election.authority is not None,
        )

    async def _flush_logs(self) -> None:
        """Write pending log output that a slow reader has not taken yet."""
        while not self.should_stop:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            self._events.flush()

    async def _publish_gauges(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(1.0)
            self._metrics.gauge("belief_age_seconds", self._view.store_age_s())
            age_s = self._view.configuration.age_s()
            self._metrics.gauge("configuration_confirmed_age_seconds", age_s)
            self._metrics.gauge("requests_in_flight", self._forwarder.in_flight)
            self._metrics.gauge(
                "store_malformed_eras_total", self._store.malformed_eras
            )
            self._metrics.gauge("leading", float(self._election.authority is not None))
            for name, count in self._store.calls.items():
                self._metrics.gauge("store_calls_total", count, call=name)
            for failure, count in self._store.failures.items():
                self._metrics.gauge(
                    "store_call_failures_total", count, **failure._asdict()
                )
            self._metrics.gauge(
                "shortest_hold_seconds", self._assigner.shortest_hold_s()
            )
