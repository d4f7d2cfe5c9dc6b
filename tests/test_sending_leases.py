"""Tests of exclusive ownership where the servers check no grants."""

import asyncio
import json
import signal

from bench.fleet import Fleet, ServiceSpec

SERVICE = ServiceSpec(
    "stock", keyed=True, servers=3, unchecked=True, fields=("deadline_ms = 800",)
)


async def runs_by_server(fleet, key):
    runs = []
    for index in range(SERVICE.servers):
        stats = await fleet.server_stats(f"stock-{index}")
        runs += [
            (run["started_ms"], run["ended_ms"], stats["server"])
            for run in stats["runs"]
            if run["key"] == key
        ]
    return sorted(runs)


async def test_router_that_was_frozen_does_not_send_to_the_former_owner(tmp_path):
    """Guards against a frozen router that resumes with an old table."""
    async with Fleet(tmp_path, [SERVICE], hosts=2) as fleet:
        await fleet.wait_until_ready()
        frozen, live = fleet.entries
        _, _, body = await fleet.request("stock", entry=frozen, key="glove")
        owner = json.loads(body)["server"]
        frozen.signal(signal.SIGSTOP)
        late = [
            asyncio.create_task(fleet.request("stock", entry=frozen, key="glove"))
            for _ in range(4)
        ]
        document = fleet.configuration().replace(
            f'server = "{owner}"', f'server = "{owner}"\nstate = "draining"'
        )
        await fleet.apply(document)
        async with asyncio.timeout(20):
            while True:
                status, _, body = await fleet.request("stock", entry=live, key="glove")
                if status == 200 and json.loads(body)["server"] != owner:
                    break
        moved_ms = (await runs_by_server(fleet, "glove"))[-1][0]
        frozen.signal(signal.SIGCONT)
        await asyncio.gather(*late)
        runs = await runs_by_server(fleet, "glove")
        former = [run for run in runs if run[2] == owner]
        assert all(started_ms < moved_ms for started_ms, _, _ in former)
