"""Time until a key is served again after a process is lost, with real processes."""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import json
import random
import tempfile
from pathlib import Path
from typing import Any

from ..fleet import Fleet, Process, ServiceSpec
from . import MEASURES, Result, print_variant

HOSTS = 4
SERVERS = 4
KEYS = 16
PROBE_INTERVAL_S = 0.03
ROUNDS = 3
LOSSES = ("server", "coordinator", "both")

# The stand-in host list publishes changes immediately, so the minimum uptime at which
# a host may answer a successor only has to cover a vouch of 2 s.
CONTROL_SETTINGS = "vouch_min_uptime_s = 2.5"
SETTLING_S = 3.0
WINDOWS_S = {"product": 4.0, "naive": 28.0}
MODULES = {"product": "jacinthpath", "naive": "bench.naive_control"}
SERVICE = ServiceSpec(
    "stock", keyed=True, servers=SERVERS, fields=("deadline_ms = 500",)
)


@MEASURES.register("unavailability")
def run(seed: int) -> Result:
    """Measure the longest outage after loss of a server, a coordinator's host, both."""
    return asyncio.run(_measure(random.Random(seed)))


async def _measure(randomness: random.Random) -> Result:
    variants = []
    worst: dict[str, float] = {}
    for name, module in MODULES.items():
        rounds = ROUNDS if name == "product" else 1
        for loss in LOSSES:
            gaps = [
                await _measure_loss(module, loss, WINDOWS_S[name], randomness)
                for _ in range(rounds)
            ]
            worst[name] = max(worst.get(name, 0.0), *gaps)
            variants.append(
                print_variant(
                    f"{name}-{loss}",
                    worst_s=max(gaps),
                    best_s=min(gaps),
                    rounds=rounds,
                    window_s=WINDOWS_S[name],
                )
            )
    return Result(worst["product"], worst["naive"], "s", tuple(variants))


async def _measure_loss(
    module: str, loss: str, window_s: float, randomness: random.Random
) -> float:
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(
            Path(directory),
            [SERVICE],
            hosts=HOSTS,
            control_settings=CONTROL_SETTINGS,
            control_module=module,
        ) as fleet:
            await fleet.wait_until_ready()
            coordinator = await _find_coordinator(fleet)
            index = coordinator.name.removeprefix("control-")
            host_entry = fleet.processes[f"entry-{index}"]
            entry = randomness.choice([e for e in fleet.entries if e is not host_entry])
            probes = _Probes(fleet, entry)
            await probes.start()
            await asyncio.sleep(SETTLING_S)
            victims = []
            if loss in ("coordinator", "both"):
                victims += [coordinator, host_entry]
            if loss in ("server", "both"):
                victims.append(fleet.processes[randomness.choice(probes.owners())])
            lost_s = asyncio.get_running_loop().time()
            await asyncio.gather(*(victim.kill() for victim in victims))
            await asyncio.sleep(window_s)
            await probes.close()
            return probes.worst_gap_s(lost_s, lost_s + window_s)


async def _find_coordinator(fleet: Fleet) -> Process:
    while True:
        for control in fleet.controls:
            url = f"http://{control.addresses['admin_address']}/status"
            async with fleet.session.get(url) as response:
                status: dict[str, Any] = await response.json()
            if SERVICE.name in status["coordinates"]:
                return control
        await asyncio.sleep(0.05)


class _Probes:
    """Callers that each request one key repeatedly."""

    def __init__(self, fleet: Fleet, entry: Process) -> None:
        self._fleet = fleet
        self._entry = entry
        self._served_times_s: dict[str, list[float]] = {
            f"key-{n}": [] for n in range(KEYS)
        }
        self._owners: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the callers and wait until each has been served."""
        self._tasks = [
            asyncio.create_task(self._probe(key)) for key in self._served_times_s
        ]
        while not all(self._served_times_s.values()):
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def owners(self) -> list[str]:
        """Return the servers that own at least one of the keys."""
        return sorted(set(self._owners.values()))

    def worst_gap_s(self, start_s: float, end_s: float) -> float:
        """Return the longest time during which any key was not served."""
        worst = 0.0
        for served in self._served_times_s.values():
            times = [t for t in served if start_s <= t <= end_s]
            points = [start_s, *times, end_s]
            gaps = (b - a for a, b in zip(points, points[1:], strict=False))
            worst = max(worst, *gaps)
        return worst

    async def _probe(self, key: str) -> None:
        while True:
            status, _, body = await self._fleet.request(
                SERVICE.name, entry=self._entry, key=key
            )
            if status == 200:
                self._served_times_s[key].append(asyncio.get_running_loop().time())
                self._owners[key] = json.loads(body)["server"]
            await asyncio.sleep(PROBE_INTERVAL_S)
