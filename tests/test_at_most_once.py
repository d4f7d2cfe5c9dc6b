"""Non-idempotent requests against real processes that are killed and frozen."""

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
async def running_fleet(directory):
    order = ServiceSpec("order", servers=2, fields=("idempotent = false",))
    async with Fleet(directory, [order], hosts=4) as fleet:
        await fleet.wait_until_ready()
        await wait_until_complete(fleet)
        yield fleet


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_fleet(tmp_path_factory):
    """A fleet for tests that leave all processes running; each has its own keys."""
    async with running_fleet(tmp_path_factory.mktemp("shared")) as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        yield fleet


async def records_of(fleet, control):
    url = f"http://{control.addresses['admin_address']}/status"
    async with fleet.session.get(url) as response:
        return (await response.json())["records"]


async def wait_until_complete(fleet):
    """Return when every control process may answer claims of the same roster."""
    async with asyncio.timeout(20):
        while True:
            found = [await records_of(fleet, each) for each in fleet.controls]
            versions = {each["roster_version"] for each in found}
            complete = all(
                each["complete_up_to"] == each["roster_version"] for each in found
            )
            if complete and len(versions) == 1 and 0 not in versions:
                return
            await asyncio.sleep(0.05)


async def order(fleet, key, entry, path="/deposit", **fields):
    headers = {"idempotency-key": key, **fields.pop("headers", {})}
    status, headers, body = await fleet.request(
        "order", path, entry=entry, method="POST", data=b"gloves", headers=headers
    )
    return status, headers.get("jacinthpath-outcome", ""), body


async def runs(fleet, key, servers=SERVERS):
    stats = [await fleet.server_stats(server) for server in servers]
    return sum(
        run["idempotency_key"] == key for entry in stats for run in entry["runs"]
    )


async def wait_for_run(fleet, key):
    async with asyncio.timeout(5):
        while True:
            for server in SERVERS:
                if await runs(fleet, key, (server,)):
                    return server
            await asyncio.sleep(0.01)


def holders_of(fleet, key):
    hosts = choose_holders("school", "order", key, HOSTS)
    return [int(host.removeprefix("host-")) for host in hosts]


async def kill_control(fleet, index):
    await fleet.processes[f"control-{index}"].kill()


async def test_repeat_through_another_entry_gets_the_first_response(shared_fleet):
    """Guards against a second run when a caller repeats a finished order."""
    first = await order(shared_fleet, "repeat", 0)
    repeated = await order(shared_fleet, "repeat", 1)
    assert first[0] == 200
    assert repeated == first
    assert await runs(shared_fleet, "repeat") == 1


async def test_other_request_with_the_same_key_is_refused(shared_fleet):
    """Guards against a response that belongs to another request."""
    await order(shared_fleet, "other", 0)
    status, outcome, _ = await order(shared_fleet, "other", 1, path="/refund")
    assert (status, outcome) == (422, "refused")
    assert await runs(shared_fleet, "other") == 1


async def test_callers_at_the_same_time_run_once(shared_fleet):
    """Guards against two entry processes that both win, or both lose for ever."""
    answers = await asyncio.gather(
        *(order(shared_fleet, "race", each) for each in range(4))
    )
    assert await runs(shared_fleet, "race") == 1
    assert 200 in [status for status, _, _ in answers]


async def test_entry_killed_during_an_order(fleet):
    """Guards against a second run after the entry process of a run is killed."""
    first = asyncio.create_task(order(fleet, "k1", 0, "/deposit?ms=300"))
    await wait_for_run(fleet, "k1")
    await fleet.entries[0].kill()
    await asyncio.gather(first, return_exceptions=True)
    status, outcome, _ = await order(fleet, "k1", 0, "/deposit?ms=300")
    assert (status, outcome) == (409, "running")
    assert await runs(fleet, "k1") == 1


async def test_unfinished_order_is_unknown_after_its_deadline(fleet):
    """Guards against a run whose entry process is gone being repeated or hidden."""
    headers = {"jacinthpath-deadline-ms": "400"}
    first = asyncio.create_task(
        order(fleet, "k1", 0, "/deposit?ms=100", headers=headers)
    )
    await wait_for_run(fleet, "k1")
    await fleet.entries[0].kill()
    await asyncio.gather(first, return_exceptions=True)
    async with asyncio.timeout(5):
        while True:
            _, outcome, _ = await order(fleet, "k1", 0, "/deposit?ms=100")
            if outcome != "running":
                break
            await asyncio.sleep(0.05)
    assert outcome == "unknown"
    assert await runs(fleet, "k1") == 1


async def test_killed_holder(fleet):
    """Guards against an order that is lost or run twice with one holder down."""
    first = await order(fleet, "k1", 0)
    await kill_control(fleet, holders_of(fleet, "k1")[0])
    assert await order(fleet, "k1", 1) == first
    assert await runs(fleet, "k1") == 1
    assert (await order(fleet, "k2", 2))[0] == 200
    assert await runs(fleet, "k2") == 1


async def test_frozen_holder(shared_fleet):
    """Guards against an order that waits for a holder that does not answer."""
    first = await order(shared_fleet, "frozen-holder", 0)
    holder = shared_fleet.processes[
        f"control-{holders_of(shared_fleet, 'frozen-holder')[0]}"
    ]
    holder.signal(signal.SIGSTOP)
    try:
        entries = [
            each
            for each in range(4)
            if each != holders_of(shared_fleet, "frozen-holder")[0]
        ]
        assert await order(shared_fleet, "frozen-holder", entries[0]) == first
        assert (await order(shared_fleet, "frozen-holder-2", entries[1]))[0] == 200
    finally:
        holder.signal(signal.SIGCONT)
    assert await order(shared_fleet, "frozen-holder-2", entries[2]) == await order(
        shared_fleet, "frozen-holder-2", entries[0]
    )
    assert (
        await runs(shared_fleet, "frozen-holder")
        == await runs(shared_fleet, "frozen-holder-2")
        == 1
    )


async def test_holders_replaced_one_after_the_other(fleet):
    """Guards against empty memory of a replaced holder being read as new."""
    first = await order(fleet, "k1", 0)
    for index in holders_of(fleet, "k1"):
        await kill_control(fleet, index)
        await fleet.start_control(index)
        await wait_until_complete(fleet)
    assert await order(fleet, "k1", 1) == first
    assert await runs(fleet, "k1") == 1


async def test_all_holders_replaced_at_once(fleet):
    """Guards against a second run when every record of an order is lost."""
    assert (await order(fleet, "k1", 0))[0] == 200
    for index in holders_of(fleet, "k1"):
        await kill_control(fleet, index)
    for index in holders_of(fleet, "k1"):
        await fleet.start_control(index)
    status, outcome, _ = await order(fleet, "k1", 1)
    assert (status, outcome) == (503, "unknown")
    assert await runs(fleet, "k1") == 1


async def test_frozen_endpoint(shared_fleet):
    """Guards against a repeat to another server while a frozen one has the order."""
    headers = {"jacinthpath-deadline-ms": "600"}
    first = asyncio.create_task(
        order(shared_fleet, "frozen-endpoint", 0, "/deposit?ms=100", headers=headers)
    )
    server = shared_fleet.processes[await wait_for_run(shared_fleet, "frozen-endpoint")]
    server.signal(signal.SIGSTOP)
    try:
        _, outcome, _ = await first
        assert outcome == "unknown"
        _, outcome, _ = await order(
            shared_fleet, "frozen-endpoint", 1, "/deposit?ms=100"
        )
        assert outcome == "unknown"
    finally:
        server.signal(signal.SIGCONT)
    assert await runs(shared_fleet, "frozen-endpoint") == 1


async def test_store_outage(fleet):
    """Guards against orders that stop or run twice while the store is down."""
    await fleet.set_faults(down=True)
    first = await order(fleet, "k1", 0)
    assert json.loads(first[2])["path"] == "/deposit"
    assert await order(fleet, "k1", 1) == first
    assert await runs(fleet, "k1") == 1
