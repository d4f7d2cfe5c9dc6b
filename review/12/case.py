"""A drill: all gateways lose power, and the store comes back from an older copy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from itertools import combinations
from pathlib import Path

from review.rig import (
    Connection,
    Deployment,
    KeyedServer,
    Server,
    is_troubled,
    run_case,
)
from standins.platform_documents import route

SERVICE = "previews"
SERVERS = 4
"""One more is added, a quarter of them; the site adds a share of 0.3 at most."""

CHECKED_KEYS = range(0, 65_536, 1_021)
MAX_SHARED_S = 0.5
"""Two servers may not hold the same keys for longer (RULES.md, OWNER)."""

SETTLED_S = 5.0
JOIN_S = 2.6
"""Time from the copy until another server is added."""

AWAY_S = 2.2
COPY_AGE_S = 5.0
WRITTEN_AGAIN_S = 0.3
POWER_BACK_S = 0.1
WATCHED_S = 9.0


async def _case(record: Callable[[str], None]) -> bool:
    servers = [KeyedServer(f"k{index}", SERVICE) for index in range(SERVERS)]
    routes = [route("preview", "/preview/", SERVICE), route("read", "/read/", "reads")]
    services, keyed = ["reads", SERVICE], [SERVICE]
    readers = [Server("r0", "reads"), Server("r1", "reads")]
    async with Deployment(record, readers, routes, services, keyed, 3) as deployment:
        await asyncio.sleep(SETTLED_S)
        copied_s = time.monotonic()
        copy = deployment.store.copy()
        record("the copy is made; the first servers with keys start after it")
        for server in servers:
            await deployment.add_server(server)
        clients = asyncio.create_task(_send_requests(record, deployment))
        await asyncio.sleep(JOIN_S)
        servers.append(KeyedServer(f"k{SERVERS}", SERVICE))
        await deployment.add_server(servers[-1])
        record("another server with keys is added")
        if is_troubled():
            await _drill(record, deployment, copy, copied_s)
        await asyncio.sleep(WATCHED_S)
        clients.cancel()
    return _report(record, servers)


async def _drill(
    record: Callable[[str], None], deployment: Deployment, copy: object, copied_s: float
) -> None:
    """Let the store go away and the gateways lose power; then both come back."""
    await asyncio.sleep(copied_s + COPY_AGE_S - AWAY_S - time.monotonic())
    deployment.store.mode = "silent"
    record("the store is away")
    await asyncio.sleep(AWAY_S - POWER_BACK_S)
    for gateway in deployment.gateways:
        await gateway.kill()
    record("all gateways have lost power")
    await asyncio.sleep(POWER_BACK_S)
    deployment.store.restore(copy)
    deployment.store.mode = "up"
    record(f"the store is back from the copy, {time.monotonic() - copied_s:.1f} s old")
    for gateway in deployment.gateways:
        await gateway.start()
    await asyncio.sleep(WRITTEN_AGAIN_S)
    deployment.put_configuration()
    deployment.put_entries()
    record("the operator and the servers have written again")


async def _send_requests(record: Callable[[str], None], deployment: Deployment) -> None:
    """Send requests for keys all the time, each on a new connection."""
    number = 0
    while True:
        for gateway in deployment.gateways:
            number += 1
            connection = Connection(gateway.address)
            key = str(CHECKED_KEYS[number % len(CHECKED_KEYS)])
            reply = await connection.ask(
                "GET", "/preview/x", f"p{number}", 300, fields=[("X-Shard-Key", key)]
            )
            record(f"p{number}: key {key}, answered {reply.status or 'nothing'}")
            await connection.close()
        await asyncio.sleep(0.02)


def _report(record: Callable[[str], None], servers: list[KeyedServer]) -> bool:
    """Record what was held; return whether two servers held a key for too long."""
    for server in servers:
        record(f"{server.name} has run {len(server.executed)} requests")
        for hold in server.holds:
            record(
                f"{server.name} held {hold.first} to {hold.last}, fence {hold.fence}, "
                f"from {hold.since_s:.2f} to {hold.until_s:.2f}"
            )
    longest_s = 0.0
    shared_keys = 0
    for key in CHECKED_KEYS:
        shared_s = max(
            min(ended, other_ended) - max(begun, other_begun)
            for one, other in combinations(servers, 2)
            for begun, ended in one.spans(key) or [(0.0, 0.0)]
            for other_begun, other_ended in other.spans(key) or [(0.0, 0.0)]
        )
        longest_s = max(longest_s, shared_s)
        shared_keys += shared_s > MAX_SHARED_S
    record(
        f"{shared_keys} of {len(CHECKED_KEYS)} keys were held by two servers for over "
        f"{MAX_SHARED_S} s, the longest for {longest_s:.2f} s"
    )
    return shared_keys > 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case)
