"""Callers of hosts that are cut off from all servers, in each form of a cut.

Gateways run as processes of their own; each has its own path to each server. The naive
variant sends on the own path alone and keeps its leader.
"""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from jacinthpath.http_sessions import disable_retries
from standins.platform_documents import HOST

from . import MEASURES, Result, print_variant

if TYPE_CHECKING:
    from soak.system import Gateway, System

SERVERS = 4
CUT_SHARE = 1 / 3
CONTACT_S = 3.0
MEASURED_S = 5.0
RECOVERY_S = 3.0
DEADLINE_MS = 800
KINDS = ("read", "order", "keyed")
SAMPLED_KEYS = range(0, 65_536, 1_639)
SERVED_WINDOW_S = 0.5
SERVED_AGAIN_SHARE = 0.95

NAIVE_PROGRAM = """
import runpy
import sys
from pathlib import Path

program = Path({program!r})
sys.path.insert(0, str(program.parent.parent / "src"))
from jacinthpath.gateway.peering import Peering
from jacinthpath.gateway.relay_client import RelayClient

RelayClient.has_peers = lambda self: False
RelayClient.may_help = lambda self, backend: False
Peering.knows_host_with_path = lambda self: False
sys.path.pop(0)
sys.path[0] = str(program.parent)
runpy.run_path(str(program), run_name="__main__")
"""


class _Fleet(NamedTuple):
    """A number of hosts, and the requests a second at each; a third of each kind."""

    hosts: int
    calls_per_s: float


FLEETS = (_Fleet(9, 25.0), _Fleet(30, 7.5))
"""Both get the same load in sum: callers, proxies and servers share one process."""


class _Cut(NamedTuple):
    """One cut of a third of the hosts.

    :param mode: mode of their paths to the servers.
    """

    mode: str
    with_leader: bool = False


CUTS = (
    _Cut("reset"),
    _Cut("silent"),
    _Cut("one-way"),
    _Cut("refuse-new"),
    _Cut("silent", with_leader=True),
)


class _Call(NamedTuple):
    """One request and its outcome.

    :param sent_s: time since the cut.
    """

    sent_s: float
    host: str
    kind: str
    status: int
    took_s: float


@MEASURES.register("cut-hosts")
def run(seed: int) -> Result:
    """Return the worst share of requests that cut hosts serve, 3 s after a cut."""
    shares = {}
    lines = []
    for variant, naive in (("product", False), ("naive", True)):
        shares[variant] = 1.0
        for fleet in FLEETS if not naive else FLEETS[:1]:
            for values in asyncio.run(_run_fleet(fleet, naive, seed)):
                lines.append(print_variant(variant, hosts=fleet.hosts, **values))
                shares[variant] = min(shares[variant], values["cut_hosts_share"])
    return Result(shares["product"], shares["naive"], "share", tuple(lines))


async def _run_fleet(fleet: _Fleet, naive: bool, seed: int) -> list[dict]:
    # The soak's modules need the checkout's source on the path.
    from soak import system as soak_system

    with tempfile.TemporaryDirectory() as folder:
        directory = Path(folder)
        system = soak_system.System(directory, Random(seed))
        if naive:
            program = directory / "naive.py"
            program.write_text(NAIVE_PROGRAM.format(program=str(soak_system.PROGRAM)))
            system.program = program
        await system.start(fleet.hosts, SERVERS)
        connector = aiohttp.TCPConnector(limit=0)
        session = disable_retries(aiohttp.ClientSession(connector=connector))
        caller = _Caller(system, session, fleet.calls_per_s)
        try:
            await caller.wait_until_served()
            return [await _run_cut(system, caller, cut) for cut in CUTS]
        finally:
            await session.close()
            await system.close()


async def _run_cut(system: System, caller: _Caller, cut: _Cut) -> dict:
    """Cut hosts off, and return how their callers and the others were served."""
    chosen = _choose_hosts(system, cut)
    names = {gateway.name for gateway in chosen}
    before = _holders(system)
    for gateway in chosen:
        gateway.cut_from_servers(cut.mode)
    system.apply_path_modes()
    calls = await caller.call(CONTACT_S + MEASURED_S)
    moved = sum(before[key] != holder for key, holder in _holders(system).items())
    for gateway in chosen:
        gateway.restore_paths()
    system.apply_path_modes()
    await caller.call(RECOVERY_S)
    at_cut = [one for one in calls if one.host in names]
    others = [one for one in calls if one.host not in names]
    return {
        "cut": cut.mode + ("+leader" if cut.with_leader else ""),
        "cut_hosts_share": _served_share(at_cut),
        "others_share": _served_share(others),
        "others_keyed_share": _served_share(
            [one for one in others if one.kind == "keyed"], since_s=0.0
        ),
        **{
            f"{kind}_served_again_s": _served_again_s(
                [one for one in at_cut if one.kind == kind]
            )
            for kind in KINDS
        },
        "added_latency_ms": 1000 * (_median_s(at_cut) - _median_s(others)),
        "keys_moved_share": moved / len(before),
        "orders_run_twice": _orders_run_twice(system),
    }


def _choose_hosts(system: System, cut: _Cut) -> list[Gateway]:
    leader = system.leader()
    followers = [gateway for gateway in system.gateways if gateway is not leader]
    count = round(CUT_SHARE * len(system.gateways))
    if not cut.with_leader:
        return system.random.sample(followers, count)
    return [leader, *system.random.sample(followers, count - 1)]


class _Caller:
    """Sends requests to all hosts at a fixed rate, whatever the responses are."""

    def __init__(
        self, system: System, session: aiohttp.ClientSession, calls_per_s: float
    ) -> None:
        self._calls_per_s = calls_per_s
        self._system = system
        self._session = session
        self._sent = 0

    async def wait_until_served(self) -> None:
        """Wait until all hosts serve all kinds of requests for a second."""
        async with asyncio.timeout(60):
            while True:
                calls = await self.call(1.0)
                if all(one.status == 200 for one in calls):
                    return

    async def call(self, duration_s: float) -> list[_Call]:
        """Send requests for a time and return them."""
        started_s = time.monotonic()
        calls: list[_Call] = []
        async with asyncio.TaskGroup() as group:
            for number in range(int(duration_s * self._calls_per_s)):
                for index, gateway in enumerate(self._system.gateways):
                    kind = KINDS[(number + index) % len(KINDS)]
                    group.create_task(self._send(gateway, kind, started_s, calls))
                due_s = started_s + (number + 1) / self._calls_per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        return calls

    async def _send(
        self, gateway: Gateway, kind: str, started_s: float, calls: list[_Call]
    ) -> None:
        self._sent += 1
        sent_s = time.monotonic()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"{kind}-{self._sent}",
            "X-Request-Deadline-Ms": str(DEADLINE_MS),
        }
        if kind == "keyed":
            headers["X-Shard-Key"] = str(self._sent * 4_099 % 65_536)
        url = f"http://{gateway.ip}:{gateway.front_port}/{kind}/x"
        status = 0
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError):
            status = 0
        took_s = time.monotonic() - sent_s
        calls.append(_Call(sent_s - started_s, gateway.name, kind, status, took_s))


def _holders(system: System) -> dict[int, str | None]:
    """Return which server holds each sampled key."""
    keyed = [server for server in system.servers.values() if server.keyed]
    return {
        key: next((one.server for one in keyed if one.holds_key(key)), None)
        for key in SAMPLED_KEYS
    }


def _served_share(calls: list[_Call], since_s: float = CONTACT_S) -> float:
    counted = [one for one in calls if one.sent_s >= since_s]
    return sum(one.status == 200 for one in counted) / len(counted)


def _served_again_s(calls: list[_Call]) -> float:
    """Return the time after the last window in which too few were served."""
    windows: dict[int, list[bool]] = {}
    for one in calls:
        window = int(one.sent_s / SERVED_WINDOW_S)
        windows.setdefault(window, []).append(one.status == 200)
    failing = [
        window
        for window, served in windows.items()
        if sum(served) < SERVED_AGAIN_SHARE * len(served)
    ]
    return (max(failing, default=-1) + 1) * SERVED_WINDOW_S


def _median_s(calls: list[_Call]) -> float:
    """Return the median response time of the requests that were served."""
    served = [
        one.took_s for one in calls if one.status == 200 and one.sent_s > CONTACT_S
    ]
    return statistics.median(served) if served else float("nan")


def _orders_run_twice(system: System) -> int:
    runs = Counter(
        attempt
        for server in system.servers.values()
        for attempt in server.executed_attempts
        if attempt.startswith("order")
    )
    return sum(count > 1 for count in runs.values())
