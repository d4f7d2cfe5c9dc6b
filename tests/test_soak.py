"""The fault soak: a short run, and that each broken promise is noticed."""

import asyncio
import time
from random import Random
from types import SimpleNamespace

import pytest

from soak.__main__ import run_seed
from soak.promises import Answered, Promises
from soak.proxy import Proxy
from soak.system import Gateway, System
from standins.platform_server import Hold, PlatformServerStandIn


async def test_a_short_run_keeps_every_promise(tmp_path):
    """Four seconds of faults that overlap; longer runs are made by hand."""
    outcome = await run_seed(1, 4.0, hosts=3, servers=2, folder=tmp_path)
    assert outcome.broken == []
    assert outcome.faults
    assert outcome.counts["keyed 200"] > 20


@pytest.fixture
def system(tmp_path):
    system = System(tmp_path, Random(1))
    for name in ("keys-0", "keys-1"):
        system.servers[name] = PlatformServerStandIn(name, "keys", keyed=True)
    gateway = Gateway(0, tmp_path, system.store)
    gateway.process = SimpleNamespace(returncode=None)
    gateway.expected_end = False
    system.gateways.append(gateway)
    return system


@pytest.fixture
def promises(system):
    return Promises(system)


def look(promises):
    promises._look_at_owners()
    promises._look_at_runs()
    promises._look_at_processes()
    return [line.partition("s  ")[2].partition(":")[0] for line in promises.broken]


def answer(status=200, body=b"answer to read-1", own=False):
    return Answered("read-1", "read", "g0", status, body, own)


def test_a_calm_system_breaks_nothing(system, promises):
    system.servers["keys-0"].runs += ["read-1", "order-1"]
    promises.answered(answer())
    assert look(promises) == []


def test_two_owners_of_a_key_are_noticed(system, promises):
    for server in system.servers.values():
        server.holds.append(Hold(0, 9, 1, time.monotonic() + 5.0))
    assert look(promises) == ["one owner"]


def test_an_order_that_runs_twice_is_noticed(system, promises):
    for server in system.servers.values():
        server.runs.append("order-1")
    assert look(promises) == ["at most once"]


def test_an_answer_of_another_request_is_noticed(system, promises):
    system.servers["keys-0"].runs.append("read-1")
    promises.answered(answer(body=b"answer to read-2"))
    assert look(promises) == ["whole own answer"]


def test_a_refusal_of_what_has_run_is_noticed(system, promises):
    system.servers["keys-0"].runs.append("read-1")
    promises.answered(answer(status=503, body=b"", own=True))
    assert look(promises) == ["true refusal"]


def test_work_for_a_server_that_left_is_noticed(system, promises):
    system.draining_s["keys-0"] = time.monotonic() - 4.0
    system.disturbed_s = system.gateways[0].disturbed_s = time.monotonic() - 60.0
    system.servers["keys-0"].runs.append("read-1")
    assert look(promises) == ["drain"]


def test_a_process_that_ends_by_itself_is_noticed(system, promises):
    system.gateways[0].process.returncode = 1
    assert look(promises) == ["process"]


def test_a_release_of_a_part_leaves_the_rest():
    server = PlatformServerStandIn("s", "keys", keyed=True)
    server.holds.append(Hold(0, 99, 1, time.monotonic() + 5.0))
    server._release(10, 19, 2)
    assert [server.holds_key(key) for key in (9, 10, 19, 20)] == [
        True,
        False,
        False,
        True,
    ]


async def test_a_proxy_that_resets_ends_open_connections():
    server = PlatformServerStandIn("s", "plain")
    await server.start()
    proxy = Proxy(server.address)
    await proxy.start()
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /x HTTP/1.1\r\nX-Attempt-Id: a1\r\nX-Request-Deadline-Ms: 9\r\n\r\n"
    )
    assert b"200 OK" in await reader.readline()
    proxy.reset()
    with pytest.raises(ConnectionError):
        while await reader.read(1_000):
            pass
    await proxy.close()
    await server.close()
