"""Finds out whether servers crashed while they ran a request, and blocks the cause."""

from __future__ import annotations

__all__ = ["CrashDetector", "CrashEvidence"]

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from mode import Service

from ..json_documents import describe
from ..metrics import Metrics
from .clock import boottime_s
from .cluster_view import ClusterView
from .crash_ledger import (
    EVIDENCE_S,
    SETTLING_S,
    AnsweredRequest,
    CrashLedger,
    CrashReport,
)
from .events import EventLog
from .exchange import BackendClient, CallerRequest
from .fingerprints import fingerprint_of
from .model import Backend
from .reach_monitor import ReachMonitor
from .waiting import wait_for_event

PROBE_DELAY_S = 0.05
"""A process that crashes closes its connections and its listener in any order."""

MAX_RESTART_S = 2.0
"""A server that restarted at once under its id has written its entry by then."""

MAX_LOSSES = 512

MAX_OWN_REPORTS = 512


class CrashEvidence(NamedTuple):
    """What a host has to report to the leader.

    :param crashes: requests that were in flight at crashes.
    :param answered: such requests that a server has responded to since.
    """

    crashes: tuple[CrashReport, ...]
    answered: tuple[AnsweredRequest, ...]


class CrashDetector(Service):
    """Reports the requests that were in flight at a server when it crashed.

    :ivar is_following: returns whether a leader keeps this host up to date. Such a host
        leaves the decision to the leader, which has the reports of all hosts.
    """

    def __init__(
        self,
        view: ClusterView,
        ledger: CrashLedger,
        backend_client: BackendClient,
        reach: ReachMonitor,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.is_following: Callable[[], bool] = lambda: False
        self._view = view
        self._ledger = ledger
        self._backend_client = backend_client
        self._reach = reach
        self._metrics = metrics
        self._events = events
        self._checks: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self._lost_s: dict[tuple[str, int], float] = {}
        self._unchecked: Counter[int] = Counter()
        self._answered_s: dict[int, float] = {}
        self._own_reports: deque[CrashReport] = deque(maxlen=MAX_OWN_REPORTS)
        self._own_suspects: set[int] = set()
        self._unreported: list[CrashReport] = []
        self._unreported_answers: list[AnsweredRequest] = []
        self._has_unreported = asyncio.Event()
        self._reported_to = ""
        self._judging: asyncio.TimerHandle | None = None

    async def on_stop(self) -> None:
        """Stop checking."""
        for task in self._checks.values():
            task.cancel()
        if self._judging is not None:
            self._judging.cancel()

    def suspect(self, request: CallerRequest, backend: Backend, sent_s: float) -> None:
        """Check whether a server that closed a request's connection has crashed.

        A request that was sent after the server had closed others, and had responded to
        none since, is no suspect: the server was down already, behind something that
        accepts connections for it.

        :param sent_s: time on the boot clock at which the request was sent.
        """
        if backend.draining:
            return
        now_s = boottime_s()
        crash_id = backend.server, backend.started_ms
        if sent_s > self._lost_s.setdefault(crash_id, now_s):
            return
        report = CrashReport(
            fingerprint_of(request), backend.server, backend.started_ms, now_s
        )
        task = self._checks.get(crash_id)
        if task is None or task.done():
            task = self._checks[crash_id] = asyncio.create_task(
                self._has_crashed(backend)
            )
            task.add_done_callback(lambda _task: self._checks.pop(crash_id, None))
        self._unchecked[report.fingerprint] += 1
        task.add_done_callback(lambda done: self._finish_check(report, done))
        if len(self._lost_s) > MAX_LOSSES:
            del self._lost_s[next(iter(self._lost_s))]

    def record_response(self, backend: Backend, sent_s: float) -> None:
        """Record that a server has responded to a request sent at ``sent_s``."""
        if not self._lost_s:
            return
        crash_id = backend.server, backend.started_ms
        lost_s = self._lost_s.get(crash_id)
        if lost_s is not None and sent_s > lost_s:
            del self._lost_s[crash_id]

    def record_answered(self, request: CallerRequest) -> None:
        """Clear a request of the crashes before, reported or not."""
        if not self._own_reports and not self._unchecked:
            return
        now_s = boottime_s()
        fingerprint = fingerprint_of(request)
        if fingerprint in self._unchecked:
            self._answered_s[fingerprint] = now_s
        if self._own_reports:
            self._clear_reported(fingerprint, now_s)

    def _clear_reported(self, fingerprint: int, now_s: float) -> None:
        if now_s - self._own_reports[0].observed_s > EVIDENCE_S:
            self._own_suspects.discard(self._own_reports.popleft().fingerprint)
        if fingerprint not in self._own_suspects:
            return
        answered = AnsweredRequest(fingerprint, now_s)
        self._own_suspects.discard(fingerprint)
        kept = [one for one in self._own_reports if one.fingerprint != fingerprint]
        self._own_reports = deque(kept, maxlen=MAX_OWN_REPORTS)
        self._unreported_answers.append(answered)
        del self._unreported_answers[:-MAX_OWN_REPORTS]
        self._has_unreported.set()
        self.clear(answered)

    def clear(self, answered: AnsweredRequest) -> None:
        """Clear a request that this host or another one has seen answered."""
        self._ledger.clear(answered)

    def record(self, report: CrashReport) -> None:
        """Add a report of this host or another one, and judge it a little later."""
        self._ledger.record(report)
        if self._judging is None:
            self._judge_later(SETTLING_S)

    async def wait_for_report(self, timeout_s: float) -> None:
        """Wait until this host has a new report, for at most ``timeout_s``."""
        self._has_unreported.clear()
        await wait_for_event(self._has_unreported, timeout_s)

    def unreported(self, leader: str) -> CrashEvidence:
        """Return what a leader has not been told by this host yet.

        :param leader: process id of the leader; another one gets all again.
        """
        if leader != self._reported_to:
            self._reported_to, self._unreported = leader, [*self._own_reports]
        return CrashEvidence(tuple(self._unreported), tuple(self._unreported_answers))

    def mark_reported(self, leader: str, evidence: CrashEvidence) -> None:
        """Record that a leader has been told."""
        if leader == self._reported_to:
            del self._unreported[: len(evidence.crashes)]
            del self._unreported_answers[: len(evidence.answered)]

    def _finish_check(self, report: CrashReport, task: asyncio.Task[bool]) -> None:
        """Report a request if the server has crashed and no other has run it since."""
        fingerprint = report.fingerprint
        answered_s = self._answered_s.get(fingerprint, float("-inf"))
        self._unchecked[fingerprint] -= 1
        if not self._unchecked[fingerprint]:
            del self._unchecked[fingerprint]
            self._answered_s.pop(fingerprint, None)
        if task.cancelled():
            return
        if task.exception() is not None:
            self._events.log_failure(
                "crash_check_failed",
                server=report.server,
                error=describe(task.exception()),
            )
            return
        if not task.result():
            return
        if answered_s < report.observed_s:
            self._report_crash(report)

    def _report_crash(self, report: CrashReport) -> None:
        self._metrics.count("requests_at_crashes_total")
        self._events.log_failure(
            "server_crashed",
            server=report.server,
            born_ms=report.started_ms,
            fingerprint=f"{report.fingerprint:016x}",
        )
        self._own_reports.append(report)
        self._own_suspects.add(report.fingerprint)
        self._unreported.append(report)
        del self._unreported[:-MAX_OWN_REPORTS]
        self._has_unreported.set()
        self.record(report)

    async def _has_crashed(self, backend: Backend) -> bool:
        """Return whether the incarnation of a server has crashed.

        A server that only closed or reset a connection still accepts others. To a host
        that has lost its path nothing is proof: the path has closed the connection, and
        the server may start again for another cause.
        """
        lost_s = boottime_s()
        await asyncio.sleep(PROBE_DELAY_S)
        if not await self._reach.has_path_beside(backend, lost_s):
            return False
        if await self._backend_client.refuses_connections(backend):
            return True
        return await self._restarts_soon(backend)

    async def _restarts_soon(self, backend: Backend) -> bool:
        """Return whether the server's entry names a later incarnation soon."""
        try:
            async with asyncio.timeout(MAX_RESTART_S):
                while not self._has_restarted(backend):
                    await self._view.changed.wait()
        except TimeoutError:
            return False
        return True

    def _has_restarted(self, backend: Backend) -> bool:
        current = self._view.directory.find(backend.server)
        return current is not None and current.started_ms > backend.started_ms

    def _judge_later(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._judging = loop.call_later(wait_s, self._judge)

    def _judge(self) -> None:
        """Block the requests that were there at enough crashes."""
        now_s = boottime_s()
        self._judging = None
        wait_s = self._ledger.next_judgement_s(now_s)
        if wait_s is not None:
            self._judge_later(wait_s)
        if self.is_following():
            return
        for blocked in self._ledger.block_causes(now_s):
            self._events.log_state_change(
                "request_blocked",
                fingerprint=f"{blocked.fingerprint:016x}",
                times=blocked.times,
                source="own",
            )
            self._view.notify()
