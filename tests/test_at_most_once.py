"""Non-idempotent requests in a system of real processes, some killed or frozen."""

import asyncio
import contextlib
import json
import signal

import pytest
import pytest_asyncio

from bench.fleet import Fleet, ServiceSpec
from jacinthpath.record_roster import choose_holders

HOSTS = {f"host-{index}": f"dc-{index}" for index in range(4)}
SERVERS = ("order-0", "order-1")


pytestmark = pytest.mark.asyncio(loop_scope="module")


@contextlib.asynccontextmanager
async def start_fleet(directory):
    service = ServiceSpec("order", servers=2, fields=("idempotent = false",))
    async with Fleet(directory, [service], hosts=4) as fleet:
        await fleet.wait_until_ready()
        await wait_until_complete(fleet)
        yield fleet


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_fleet(tmp_path_factory):
    """For tests that leave all processes running; each test uses its own keys."""
    async with start_fleet(tmp_path_factory.mktemp("shared")) as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(tmp_path):
    async with start_fleet(tmp_path) as fleet:
        yield fleet


async def read_record_status(fleet, control):
    url = f"http://{control.addresses['admin_address']}/status"
    async with fleet.session.get(url) as response:
        return (await response.json())["records"]


async def wait_until_complete(fleet):
    """Wait until every control process is complete at the same roster version."""
    async with asyncio.timeout(20):
        while True:
            found = [await read_record_status(fleet, each) for each in fleet.controls]
            versions = {each["roster_version"] for each in found}
            complete = all(
                each["complete_up_to"] == each["roster_version"] for each in found
            )
            if complete and len(versions) == 1 and 0 not in versions:
                return
            await asyncio.sleep(0.05)


async def send_order(fleet, key, entry, path="/deposit", **fields):
    headers = {"idempotency-key": key, **fields.pop("headers", {})}
    status, headers, body = await fleet.request(
        "order", path, entry=entry, method="POST", data=b"gloves", headers=headers
    )
    return status, headers.get("jacinthpath-outcome", ""), body


async def count_runs(fleet, key, servers=SERVERS):
    stats = [await fleet.server_stats(server) for server in servers]
    return sum(
        run["idempotency_key"] == key for entry in stats for run in entry["runs"]
    )


async def wait_for_run(fleet, key):
    async with asyncio.timeout(5):
        while True:
            for server in SERVERS:
                if await count_runs(fleet, key, (server,)):
                    return server
            await asyncio.sleep(0.01)


def holder_indices(fleet, key):
    hosts = choose_holders("school", "order", key, HOSTS)
    return [int(host.removeprefix("host-")) for host in hosts]


async def kill_control(fleet, index):
    await fleet.processes[f"control-{index}"].kill()


async def test_retry_through_another_entry_gets_the_first_response(shared_fleet):
    """Guards against a second run when a caller retries a completed order."""
    first = await send_order(shared_fleet, "retry", 0)
    retried = await send_order(shared_fleet, "retry", 1)
    assert first[0] == 200
    assert retried == first
    assert await count_runs(shared_fleet, "retry") == 1


async def test_other_request_with_the_same_key_is_refused(shared_fleet):
    """Guards against returning the response to a different request."""
    await send_order(shared_fleet, "other", 0)
    status, outcome, _ = await send_order(shared_fleet, "other", 1, path="/refund")
    assert (status, outcome) == (422, "refused")
    assert await count_runs(shared_fleet, "other") == 1


async def test_callers_at_the_same_time_run_once(shared_fleet):
    """Guards against two entry processes that both win, or both lose forever."""
    responses = await asyncio.gather(
        *(send_order(shared_fleet, "race", each) for each in range(4))
    )
    assert await count_runs(shared_fleet, "race") == 1
    assert 200 in [status for status, _, _ in responses]


async def test_entry_killed_during_an_order(fleet):
    """Guards against a second run after the entry process of an order is killed."""
    first = asyncio.create_task(send_order(fleet, "k1", 0, "/deposit?ms=300"))
    await wait_for_run(fleet, "k1")
    await fleet.entries[0].kill()
    await asyncio.gather(first, return_exceptions=True)
    status, outcome, _ = await send_order(fleet, "k1", 0, "/deposit?ms=300")
    assert (status, outcome) == (409, "running")
    assert await count_runs(fleet, "k1") == 1


async def test_unfinished_order_is_unknown_after_its_deadline(fleet):
    """Guards against a run that is repeated or hidden when its entry is killed."""
    headers = {"jacinthpath-deadline-ms": "400"}
    first = asyncio.create_task(
        send_order(fleet, "k1", 0, "/deposit?ms=100", headers=headers)
    )
    await wait_for_run(fleet, "k1")
    await fleet.entries[0].kill()
    await asyncio.gather(first, return_exceptions=True)
    async with asyncio.timeout(5):
        while True:
            _, outcome, _ = await send_order(fleet, "k1", 0, "/deposit?ms=100")
            if outcome != "running":
                break
            await asyncio.sleep(0.05)
    assert outcome == "unknown"
    assert await count_runs(fleet, "k1") == 1


async def test_killed_holder(fleet):
    """Guards against an order that is lost or run twice while one holder is down."""
    first = await send_order(fleet, "k1", 0)
    await kill_control(fleet, holder_indices(fleet, "k1")[0])
    assert await send_order(fleet, "k1", 1) == first
    assert await count_runs(fleet, "k1") == 1
    assert (await send_order(fleet, "k2", 2))[0] == 200
    assert await count_runs(fleet, "k2") == 1


async def test_frozen_holder(shared_fleet):
    """Guards against an order that waits for a holder that does not respond."""
    first = await send_order(shared_fleet, "frozen-holder", 0)
    holder = shared_fleet.processes[
        f"control-{holder_indices(shared_fleet, 'frozen-holder')[0]}"
    ]
    holder.signal(signal.SIGSTOP)
    try:
        entries = [
            each
            for each in range(4)
            if each != holder_indices(shared_fleet, "frozen-holder")[0]
        ]
        assert await send_order(shared_fleet, "frozen-holder", entries[0]) == first
        assert (await send_order(shared_fleet, "frozen-holder-2", entries[1]))[0] == 200
    finally:
        holder.signal(signal.SIGCONT)
    assert await send_order(
        shared_fleet, "frozen-holder-2", entries[2]
    ) == await send_order(shared_fleet, "frozen-holder-2", entries[0])
    assert (
        await count_runs(shared_fleet, "frozen-holder")
        == await count_runs(shared_fleet, "frozen-holder-2")
        == 1
    )


async def test_holders_replaced_one_after_the_other(fleet):
    """Guards against replaced holders that take an absent record for a new key."""
    first = await send_order(fleet, "k1", 0)
    for index in holder_indices(fleet, "k1"):
        await kill_control(fleet, index)
        await fleet.start_control(index)
        await wait_until_complete(fleet)
    assert await send_order(fleet, "k1", 1) == first
    assert await count_runs(fleet, "k1") == 1


async def test_all_holders_replaced_at_once(fleet):
    """Guards against a second run when every record of an order is lost."""
    assert (await send_order(fleet, "k1", 0))[0] == 200
    for index in holder_indices(fleet, "k1"):
        await kill_control(fleet, index)
    for index in holder_indices(fleet, "k1"):
        await fleet.start_control(index)
    status, outcome, _ = await send_order(fleet, "k1", 1)
    assert (status, outcome) == (503, "unknown")
    assert await count_runs(fleet, "k1") == 1


async def test_frozen_endpoint(shared_fleet):
    """Guards against a retry at another server while a frozen one has the order."""
    headers = {"jacinthpath-deadline-ms": "600"}
    first = asyncio.create_task(
        send_order(
            shared_fleet, "frozen-endpoint", 0, "/deposit?ms=100", headers=headers
        )
    )
    server = shared_fleet.processes[await wait_for_run(shared_fleet, "frozen-endpoint")]
    server.signal(signal.SIGSTOP)
    try:
        _, outcome, _ = await first
        assert outcome == "unknown"
        # Without records, some of the retries would reach the other server.
        for entry in (1, 2, 3, 1, 2, 3):
            _, outcome, _ = await send_order(
                shared_fleet, "frozen-endpoint", entry, "/deposit?ms=100"
            )
            assert outcome == "unknown"
    finally:
        server.signal(signal.SIGCONT)
    assert await count_runs(shared_fleet, "frozen-endpoint") == 1


async def test_store_outage(fleet):
    """Guards against orders that fail or run twice while the store is down."""
    await fleet.set_faults(down=True)
    first = await send_order(fleet, "k1", 0)
    assert json.loads(first[2])["path"] == "/deposit"
    assert await send_order(fleet, "k1", 1) == first
    assert await count_runs(fleet, "k1") == 1
