"""Checks the guarantees of the gateways by what callers and servers observe."""

from __future__ import annotations

__all__ = ["GuaranteeChecker"]

import asyncio
import time
from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from .system import System

CHECK_INTERVAL_S = 0.05
SAMPLED_KEYS = range(0, 65_536, 1_639)
DRAIN_TIMEOUT_S = 2.0
UNDISTURBED_S = 3.0
"""Guarantees with a time limit apply only this long after the last disturbance."""

LIMIT_WINDOW_S = 4.0
LIMIT_SETTLING_S = 3.0
"""A limit has to be kept from this long after its server first named it."""

ENDS_TO_KNOW = 3
CRASH_SETTLING_S = 3.0
MAX_LATER_ENDS = 3
"""Servers that a request may end later than this time after it ended the third."""

CUT_SETTLING_S = 4.5
"""Time after the cut of a host from all servers, or any other fault of a host, from
which on its responses count: three seconds, and the time that a request may take."""

MIN_CUT_SERVED_RATIO = 2 / 3
ALLOWED_CUT_FAILURES = 10
ALLOWED_CUT_FAILURE_SHARE = 0.02

LIMIT_SLACK = 5
"""Requests allowed beyond one and a half times the limit; as many more for each host
that was disturbed, since a host that starts knows no limits."""

MAX_LOOP_DELAY_S = 0.2
SCHEDULING_TOLERANCE_S = 0.5
"""Tolerance for the soak itself, which may observe an event late on a busy machine."""


class CallerResponse(NamedTuple):
    """The outcome of one request as its caller sees it.

    :param status: 0 when no whole response was received.
    :param from_gateway: whether the gateway itself produced the response.
    """

    request_id: str
    kind: str
    host: str
    status: int
    body: bytes
    from_gateway: bool


class GuaranteeChecker:
    """Checks a run while it is in progress and collects the violations."""

    def __init__(self, system: System) -> None:
        self.violations: list[str] = []
        self.response_counts: Counter[str] = Counter()
        self._system = system
        self._started_s = time.monotonic()
        self._executions: Counter[str] = Counter()
        self._reported_targets: set[str] = set()
        self._read_positions: dict[str, int] = dict.fromkeys(system.servers, 0)
        self._served_by_cut: dict[bool, Counter[bool]] = {
            True: Counter(),
            False: Counter(),
        }
        self._cut_reported = False

    def record_violation(self, guarantee: str, detail: str) -> None:
        """Record a violated guarantee."""
        elapsed_s = time.monotonic() - self._started_s
        self.violations.append(f"{elapsed_s:7.2f} s  {guarantee}: {detail}")

    async def run(self) -> None:
        """Check servers and processes periodically until cancelled."""
        while True:
            self._check_owners()
            self._check_executions()
            self._check_processes()
            self._check_limits()
            self._check_crashing_requests()
            self._check_uploads()
            sleep_started_s = time.monotonic()
            await asyncio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - sleep_started_s > CHECK_INTERVAL_S + MAX_LOOP_DELAY_S:
                # The machine is overloaded: limits in time cannot be checked now.
                self._system.record_disturbance()

    def check_response(self, response: CallerResponse) -> None:
        """Check one response."""
        self._check_executions()
        self.response_counts[f"{response.kind} {response.status or 'no response'}"] += 1
        self._count_by_cut(response)
        executions = self._executions[response.request_id]
        expected = f"answer to {response.request_id}".encode()
        if response.status == 200 and response.body != expected:
            self.record_violation(
                "whole own answer",
                f"{response.request_id} got {response.body[:60]!r}",
            )
        if response.status == 200 and not executions:
            self.record_violation(
                "whole own answer",
                f"{response.request_id} got a 200 but was not executed",
            )
        if response.from_gateway and response.status == 503 and executions:
            self.record_violation(
                "true refusal",
                f"{response.request_id} was refused with 503 after it was executed",
            )

    def _count_by_cut(self, response: CallerResponse) -> None:
        """Count responses while some hosts, not all, are cut off from the servers."""
        now_s = time.monotonic()
        if now_s - self._last_disturbance_s() < CUT_SETTLING_S:
            return
        cut = {
            gateway.name: gateway.cut_since_s
            for gateway in self._system.gateways
            if gateway.cut_since_s is not None
        }
        settled = all(now_s - since_s >= CUT_SETTLING_S for since_s in cut.values())
        if not cut or not settled or len(cut) == len(self._system.gateways):
            return
        self._served_by_cut[response.host in cut][response.status == 200] += 1
        self._check_cut_hosts()

    def _check_cut_hosts(self) -> None:
        """Check that callers of hosts that are cut off are served like others."""
        at_cut, at_others = self._served_by_cut[True], self._served_by_cut[False]
        allowed = ALLOWED_CUT_FAILURES + ALLOWED_CUT_FAILURE_SHARE * at_cut.total()
        if self._cut_reported or at_cut[False] <= allowed or not at_others.total():
            return
        share = at_cut[True] / at_cut.total()
        others_share = at_others[True] / at_others.total()
        if share < MIN_CUT_SERVED_RATIO * others_share:
            self._cut_reported = True
            self.record_violation(
                "cut hosts",
                f"served {at_cut[True]} of {at_cut.total()}, the others "
                f"{at_others[True]} of {at_others.total()}",
            )

    def _check_owners(self) -> None:
        keyed = [server for server in self._system.servers.values() if server.keyed]
        for key in SAMPLED_KEYS:
            holders = [server.server for server in keyed if server.holds_key(key)]
            if len(holders) > 1:
                self.record_violation("one owner", f"key {key} is held by {holders}")

    def _check_executions(self) -> None:
        for name, server in self._system.servers.items():
            for request_id in server.executed_attempts[self._read_positions[name] :]:
                self._executions[request_id] += 1
                if request_id.startswith("order") and self._executions[request_id] > 1:
                    self.record_violation(
                        "at most once", f"{request_id} was executed again by {name}"
                    )
                self._check_drain(name, request_id)
            self._read_positions[name] = len(server.executed_attempts)

    def _check_drain(self, name: str, request_id: str) -> None:
        draining_since_s = self._system.draining_since_s.get(name)
        if draining_since_s is None:
            return
        now_s = time.monotonic()
        undisturbed = self._last_disturbance_s() + UNDISTURBED_S < draining_since_s
        if (
            undisturbed
            and now_s - draining_since_s > DRAIN_TIMEOUT_S + SCHEDULING_TOLERANCE_S
        ):
            self.record_violation(
                "drain",
                f"{request_id} reached {name} {now_s - draining_since_s:.2f} s "
                "after it began to drain",
            )

    def _check_limits(self) -> None:
        """Check the requests of the last seconds at servers that name a limit."""
        window_start_s = time.monotonic() - LIMIT_WINDOW_S
        disturbed_hosts = sum(
            gateway.last_disturbance_s + LIMIT_SETTLING_S >= window_start_s
            for gateway in self._system.gateways
        )
        for name, limited_since_s in self._system.limited_since_s.items():
            server = self._system.servers[name]
            named_s = max(limited_since_s, server.started_s)
            if named_s + LIMIT_SETTLING_S > window_start_s:
                continue
            first = bisect_left(server.arrivals_s, window_start_s)
            count = len(server.arrivals_s) - first
            allowed = 1.5 * float(server.limit) * LIMIT_WINDOW_S + LIMIT_SLACK
            if count > allowed + LIMIT_SLACK * disturbed_hosts:
                self.record_violation(
                    "limit",
                    f"{name} named {server.limit} a second and got {count} requests "
                    f"in {LIMIT_WINDOW_S} s, with {disturbed_hosts} disturbed hosts",
                )

    def _check_crashing_requests(self) -> None:
        """Check that a request which has ended three servers ends few more."""
        ends: dict[str, list[float]] = {}
        for server in self._system.servers.values():
            for target, at_s in server.ends:
                ends.setdefault(target, []).append(at_s)
        for target, times_s in ends.items():
            times_s.sort()
            later = [
                at_s
                for at_s in times_s[ENDS_TO_KNOW:]
                if at_s > times_s[ENDS_TO_KNOW - 1] + CRASH_SETTLING_S
                and at_s > self._last_disturbance_s() + CRASH_SETTLING_S
            ]
            if len(later) > MAX_LATER_ENDS and target not in self._reported_targets:
                self._reported_targets.add(target)
                self.record_violation(
                    "crashing request",
                    f"{target} ended {len(times_s)} servers, {len(later)} of them late",
                )

    def _check_uploads(self) -> None:
        """Check the uploads at hosts that were stopped while nothing else happened."""
        while self._system.upload_outcomes:
            request_id, status = self._system.upload_outcomes.pop()
            self.response_counts[f"upload {status or 'no response'}"] += 1
            if status in (0, 503) and self._executions[request_id]:
                self.record_violation(
                    "planned stop",
                    f"{request_id} was executed and got {status or 'no response'}",
                )

    def _last_disturbance_s(self) -> float:
        return max(
            self._system.last_disturbance_s,
            *(gateway.last_disturbance_s for gateway in self._system.gateways),
        )

    def _check_processes(self) -> None:
        for gateway in self._system.gateways:
            if gateway.has_exited_unexpectedly():
                code = gateway.process.returncode
                self.record_violation(
                    "process", f"{gateway.name} exited unexpectedly with status {code}"
                )
                gateway.is_exit_expected = True
            if gateway.killed_after_grace:
                gateway.killed_after_grace = False
                self.record_violation(
                    "shutdown", f"{gateway.name} did not exit within the grace period"
                )
