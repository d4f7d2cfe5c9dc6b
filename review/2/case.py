"""Another writer puts an entry that cannot be read beside the servers' entries."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.deployment import HOST, Deployment, Machine, run_case

UNREADABLE = b"[" * 5_000
"""A value of the store may be up to a megabyte long."""

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
"""Also the pause after each change, which is longer than :data:`CONFIG_APPLY_S`."""

CHANGES = 3
AFTER_S = 8.0
PAUSE_S = 0.2


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    routes = [
        ["read", HOST, "/read/", "idempotent", "1200ms", "200ms", 1, None, 2, "p"],
        ["look", HOST, "/look/", "idempotent", "1200ms", "200ms", 1, None, 2, "k"],
    ]
    services = [["k", "/health", 110, True], ["p", "/health", 110, None]]
    deployment.configure(routes, services)
    await deployment.start(
        3, {"k0": ("k", True), "k1": ("k", True), "p0": ("p", False), "p1": ("p", 0)}
    )

    async def send() -> None:
        await asyncio.sleep(PAUSE_S)
        await deployment.send("/read/a")
        await deployment.send("/look/a", key=deployment.random.randrange(65_536))

    deployment.keep_sending(send, clients=3)
    await asyncio.sleep(CONTACT_S)
    if trouble:
        deployment.store.put("servers/of-another-writer", UNREADABLE)
        deployment.log("unreadable entry written", bytes=len(UNREADABLE))
    await asyncio.sleep(CONTACT_S)
    for number in range(CHANGES):
        name = f"new-{number}"
        routes.append(
            [name, HOST, f"/{name}/", "idempotent", "1200ms", "200ms", 1, None, 2, "p"]
        )
        deployment.configure(routes, services)
        await asyncio.sleep(CONTACT_S)
    deployment.log("the last change is due everywhere", config_apply_s=CONFIG_APPLY_S)
    checked_s = time.monotonic()
    refused: dict[str, int] = {}
    while time.monotonic() - checked_s < AFTER_S:
        for machine in deployment.machines:
            await _check(deployment, machine, refused)
        await asyncio.sleep(PAUSE_S)
    running = [machine.name for machine in deployment.machines if machine.is_running()]
    ready = [machine.name for machine in deployment.machines if machine.ready]
    deployment.log("at the end", running=running, ready=ready, refused=refused)
    for name, count in refused.items():
        print(f"{name} refused {count} requests on the new route with 404")
    return bool(refused)


async def _check(
    deployment: Deployment, machine: Machine, refused: dict[str, int]
) -> None:
    """Send a request on the new route and count a refusal."""
    answer = await deployment.send(f"/new-{CHANGES - 1}/a", machine)
    if answer.status == 404:
        refused[machine.name] = refused.get(machine.name, 0) + 1


run_case(str(Path(__file__).parent), run, limit_s=60.0)
