"""Reports what this host has measured to the leader, and merges others' reports."""

from __future__ import annotations

__all__ = ["HostReporter"]

import asyncio
from random import Random
from typing import Any

from mode import Service

from ..codec import new_frame
from ..errors import JacinthpathError
from ..peers import PeerPool
from .clock import boottime_s
from .cluster_view import ClusterView
from .cold_servers import ColdPeriod
from .crash_detector import CrashDetector
from .crash_messages import read_answered, read_crash_reports, write_crash_evidence
from .events import EventLog
from .loads import HostReport, LeavingServer, LoadAggregator, LoadRecorder
from .loops import LoopSupervisor
from .peer_messages import read_leaving, read_report, write_report

REPORT_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 0.4


class HostReporter(Service):
    """Sends reports to the leader; the leader merges them.

    :param host: name of this host.
    :param address: address of this host for peers.
    """

    def __init__(
        self,
        host: str,
        address: str,
        pool: PeerPool,
        view: ClusterView,
        load_recorder: LoadRecorder,
        load_aggregator: LoadAggregator,
        crash_detector: CrashDetector,
        events: EventLog,
        random: Random,
        loops: LoopSupervisor,
    ) -> None:
        super().__init__()
        self._host = host
        self._address = address
        self._pool = pool
        self._view = view
        self._load_recorder = load_recorder
        self._load_aggregator = load_aggregator
        self._crash_detector = crash_detector
        self._events = events
        self._random = random
        self._loops = loops
        self._reported_to = ""

    async def on_start(self) -> None:
        """Start to report."""
        self.add_future(self._loops.run("host-report", self._report_periodically))

    async def _report_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        last_report_s = loop.time()
        while not self.should_stop:
            interval_s = REPORT_INTERVAL_S * (0.8 + 0.4 * self._random.random())
            await self._crash_detector.wait_for_report(interval_s)
            now_s = loop.time()
            report = self._load_recorder.collect_report(
                self._host, now_s - last_report_s
            )
            last_report_s = now_s
            report = report._replace(
                leaving=self._leaving_servers(),
                limits=self._view.limits.collect_report(),
            )
            await self._send_report(report)

    def _leaving_servers(self) -> tuple[LeavingServer, ...]:
        """Return the servers that said so, until their entries are gone.

        They are reported again each time, since the leader may change.
        """
        return tuple(
            LeavingServer(backend.server, backend.started_ms)
            for backend in self._view.directory.observed_leaving()
        )

    async def _send_report(self, report: HostReport) -> None:
        leader = self._view.leader
        if leader is None:
            return
        if leader.address == self._address:
            self._load_aggregator.add(report)
            return
        report = report._replace(cold_servers=self._cold_servers(leader.process_id))
        evidence = self._crash_detector.unreported(leader.process_id)
        if not (any(report[2:]) or any(evidence)):
            return
        frame = new_frame()
        content = frame.body.init("hostReport")
        write_report(content, report)
        write_crash_evidence(content, evidence)
        try:
            await self._pool.request(leader.address, frame, REQUEST_TIMEOUT_S)
        except JacinthpathError as error:
            # A lost report is not sent again: loads only guide the placement, and the
            # next report carries newer ones.
            self._events.log_process_event(
                "report_not_taken", leader=leader.host, error=str(error)
            )
            return
        self._crash_detector.mark_reported(leader.process_id, evidence)
        self._view.cold_servers.mark_reported(report.cold_servers)

    def _cold_servers(self, leader_process_id: str) -> tuple[ColdPeriod, ...]:
        """Return the cold servers that the leader may not know of."""
        cold_servers = self._view.cold_servers
        now_s = boottime_s()
        if leader_process_id != self._reported_to:
            self._reported_to = leader_process_id
            cold_servers.mark_all_unreported(now_s)
        if not self._view.bounds_cold_servers():
            return ()
        return cold_servers.unreported(now_s)

    async def handle_report(self, _connection: Any, frame: Any) -> None:
        """Merge the report in a frame of another host, drains first.

        A part that raises keeps back no other. The error is raised in the end, so that
        the sender does not take its crashes for reported.
        """
        errors = []
        for merge in (self._merge_leaving, self._merge_crashes, self._merge_loads):
            try:
                merge(frame.body.hostReport)
            except Exception as error:
                errors.append(error)
        if errors:
            raise errors[0]

    def _merge_leaving(self, content: Any) -> None:
        for server, started_ms in read_leaving(content):
            self._view.record_leaving(server, started_ms)

    def _merge_crashes(self, content: Any) -> None:
        for crash in read_crash_reports(content):
            self._crash_detector.record(crash)
        for answered in read_answered(content):
            self._crash_detector.clear(answered)

    def _merge_loads(self, content: Any) -> None:
        report = read_report(content)
        self._load_aggregator.add(report)
        for limit in report.limits:
            self._view.record_limit(limit, f"host {report.host}")
        for period in report.cold_servers:
            self._view.cold.merge(period, f"host {report.host}")
