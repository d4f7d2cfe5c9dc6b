"""Draining endpoints, with real processes."""

import asyncio

from bench.fleet import Fleet, ServiceSpec

LIMIT_S = 2.0


async def test_draining_endpoint_gets_no_new_work_within_seconds(tmp_path):
    """Guards against an entry host that keeps sending requests to a draining server."""
    services = [ServiceSpec("publish", servers=3)]
    async with Fleet(tmp_path, services, hosts=2) as fleet:
        await fleet.wait_until_ready()
        stopping = asyncio.Event()
        statuses = []

        async def call(entry):
            while not stopping.is_set():
                status, _, _ = await fleet.request("publish", "/p?ms=5", entry=entry)
                statuses.append(status)

        callers = [asyncio.create_task(call(n % 2)) for n in range(4)]
        document = fleet.configuration().replace(
            'server = "publish-0"', 'server = "publish-0"\nstate = "draining"'
        )
        await fleet.apply(document)
        await asyncio.sleep(LIMIT_S)
        runs = (await fleet.server_stats("publish-0"))["counts"]["runs"]
        before = len(statuses)
        while len(statuses) < before + 100:
            await asyncio.sleep(0.01)
        stopping.set()
        await asyncio.gather(*callers)
        assert (await fleet.server_stats("publish-0"))["counts"]["runs"] == runs
        assert statuses[before:].count(200) == len(statuses) - before


async def test_refusals_of_an_endpoint_that_drains_unannounced_are_retried(tmp_path):
    """Guards against passing refusals of a server that drains on its own to callers."""
    services = [ServiceSpec("publish", servers=3, fields=("idempotent = false",))]
    async with Fleet(tmp_path, services, hosts=1) as fleet:
        await fleet.wait_until_ready()
        # First attempts earn the retry budget that the refused requests need.
        for _ in range(60):
            await fleet.request("publish", "/p")
        address = fleet.processes["publish-0"].addresses["address"]
        url = f"http://{address}/-/state"
        async with fleet.session.post(url, json={"draining": True}) as response:
            assert response.status == 200
        statuses = [(await fleet.request("publish", "/p"))[0] for _ in range(30)]
        assert statuses == [200] * 30
