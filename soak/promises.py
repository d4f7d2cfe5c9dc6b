"""The promises that are checked, from what callers and servers see."""

from __future__ import annotations

__all__ = ["Promises"]

import asyncio
import time
from collections import Counter
from typing import NamedTuple

from .system import System

SCAN_S = 0.05
PROBES = range(0, 65_536, 1_639)
DRAIN_S = 2.0
CALM_S = 3.0
"""Promises with a time bound hold for what was undisturbed for this long."""

LAG_S = 0.2
SCHEDULING_S = 0.5
"""The soak itself may notice an event this late on a busy machine."""


class Answered(NamedTuple):
    """What a caller got.

    :param status: 0 when the connection ended without an answer.
    :param own: whether the gateway answered in place of a server.
    """

    request: str
    kind: str
    host: str
    status: int
    body: bytes
    own: bool


class Promises:
    """Checks a run while it goes on and collects what is broken."""

    def __init__(self, system: System) -> None:
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self._system = system
        self._started_s = time.monotonic()
        self._runs_seen: Counter[str] = Counter()
        self._runs_at: dict[str, int] = dict.fromkeys(system.servers, 0)

    def fail(self, promise: str, what: str) -> None:
        """Record a broken promise."""
        after_s = time.monotonic() - self._started_s
        self.broken.append(f"{after_s:7.2f} s  {promise}: {what}")

    async def watch(self) -> None:
        """Look at servers and processes until cancelled."""
        while True:
            self._look_at_owners()
            self._look_at_runs()
            self._look_at_processes()
            slept_s = time.monotonic()
            await asyncio.sleep(SCAN_S)
            if time.monotonic() - slept_s > SCAN_S + LAG_S:
                # The machine holds processes up, so bounds in time say nothing.
                self._system.disturbed()

    def answered(self, answer: Answered) -> None:
        """Check one answer as its caller sees it."""
        self._look_at_runs()
        self.counts[f"{answer.kind} {answer.status or 'no answer'}"] += 1
        runs = self._runs_seen[answer.request]
        expected = f"answer to {answer.request}".encode()
        if answer.status == 200 and answer.body != expected:
            self.fail("whole own answer", f"{answer.request} got {answer.body[:60]!r}")
        if answer.status == 200 and not runs:
            self.fail("whole own answer", f"{answer.request} was answered, not run")
        if answer.own and answer.status == 503 and runs:
            self.fail("true refusal", f"{answer.request} was refused and had run")

    def _look_at_owners(self) -> None:
        keyed = [server for server in self._system.servers.values() if server.keyed]
        for key in PROBES:
            holders = [server.server for server in keyed if server.holds_key(key)]
            if len(holders) > 1:
                self.fail("one owner", f"key {key} is held by {holders}")

    def _look_at_runs(self) -> None:
        for name, server in self._system.servers.items():
            for request in server.runs[self._runs_at[name] :]:
                self._runs_seen[request] += 1
                if request.startswith("order") and self._runs_seen[request] > 1:
                    self.fail("at most once", f"{request} ran again at {name}")
                self._check_drain(name, request)
            self._runs_at[name] = len(server.runs)

    def _check_drain(self, name: str, request: str) -> None:
        draining_s = self._system.draining_s.get(name)
        if draining_s is None:
            return
        now_s = time.monotonic()
        disturbed_s = max(
            self._system.disturbed_s,
            *(gateway.disturbed_s for gateway in self._system.gateways),
        )
        calm = disturbed_s + CALM_S < draining_s
        if calm and now_s - draining_s > DRAIN_S + SCHEDULING_S:
            self.fail(
                "drain", f"{request} reached {name} {now_s - draining_s:.2f} s on"
            )

    def _look_at_processes(self) -> None:
        for gateway in self._system.gateways:
            if gateway.exited_by_itself():
                code = gateway.process.returncode
                self.fail("process", f"{gateway.name} ended by itself with {code}")
                gateway.expected_end = True
            if gateway.killed_after_grace:
                gateway.killed_after_grace = False
                self.fail("shutdown", f"{gateway.name} ran beyond the grace")
