"""The fault soak: a short run, and that violated guarantees are detected."""

import asyncio
import time
from random import Random
from types import SimpleNamespace

import pytest

from soak.__main__ import run_seed
from soak.guarantees import CallerResponse, GuaranteeChecker
from soak.proxy import Link, Proxy
from soak.system import Gateway, System
from soak.uploads import UploadOutcome
from standins.platform_server import HeldRange, PlatformServerStandIn


async def test_short_run_violates_no_guarantee(tmp_path):
    """Runs four seconds of overlapping faults; longer runs are started by hand."""
    result = await run_seed(1, 4.0, hosts=3, servers=2, report_dir=tmp_path)
    assert result.broken == []
    assert result.faults
    assert result.counts["keyed 200"] > 20


@pytest.fixture
def system(tmp_path):
    system = System(tmp_path, Random(1))
    for name in ("keys-0", "keys-1"):
        system.servers[name] = PlatformServerStandIn(name, "keys", keyed=True)
    gateway = Gateway(0, tmp_path, system.store)
    gateway.process = SimpleNamespace(returncode=None)
    gateway.is_exit_expected = False
    system.gateways.append(gateway)
    return system


@pytest.fixture
def checker(system):
    return GuaranteeChecker(system)


def check(checker):
    checker._check_owners()
    checker._check_executions()
    checker._check_processes()
    return [line.partition("s  ")[2].partition(":")[0] for line in checker.violations]


def make_response(status=200, body=b"answer to read-1", from_gateway=False):
    return CallerResponse("read-1", "read", "g0", status, body, from_gateway)


def test_undisturbed_system_violates_no_guarantee(system, checker):
    system.servers["keys-0"].executed_attempts += ["read-1", "order-1"]
    checker.check_response(make_response())
    assert check(checker) == []


def test_two_owners_of_a_key_are_detected(system, checker):
    for server in system.servers.values():
        server.held_ranges.append(HeldRange(0, 9, 1, time.monotonic() + 5.0))
    assert check(checker) == ["one owner"]


def test_order_executed_twice_is_detected(system, checker):
    for server in system.servers.values():
        server.executed_attempts.append("order-1")
    assert check(checker) == ["at most once"]


def test_response_to_another_request_is_detected(system, checker):
    system.servers["keys-0"].executed_attempts.append("read-1")
    checker.check_response(make_response(body=b"answer to read-2"))
    assert check(checker) == ["whole own answer"]


def test_refusal_of_executed_request_is_detected(system, checker):
    system.servers["keys-0"].executed_attempts.append("read-1")
    checker.check_response(make_response(status=503, body=b"", from_gateway=True))
    assert check(checker) == ["true refusal"]


def test_request_to_drained_server_is_detected(system, checker):
    system.draining_since_s["keys-0"] = time.monotonic() - 4.0
    system.last_disturbance_s = system.gateways[0].last_disturbance_s = (
        time.monotonic() - 60.0
    )
    system.servers["keys-0"].executed_attempts.append("read-1")
    assert check(checker) == ["drain"]


def test_exceeded_limit_is_detected(system, checker):
    system.gateways[0].last_disturbance_s = time.monotonic() - 60.0
    server = system.servers["keys-0"]
    system.name_limit("keys-0", "2")
    system.limited_since_s["keys-0"] = server.started_s = time.monotonic() - 60.0
    server.arrivals_s += [time.monotonic() - 1.0] * 18
    checker._check_limits()
    assert [line.partition("s  ")[2][:5] for line in checker.violations] == ["limit"]


def test_request_that_goes_on_ending_servers_is_detected(system, checker):
    system.gateways[0].last_disturbance_s = system.last_disturbance_s = 0.0
    first_s = time.monotonic() - 30.0
    system.servers["keys-0"].ends += [("/read/crash-1", first_s + n) for n in range(10)]
    checker._check_crashing_requests()
    checker._check_crashing_requests()
    assert ["ended 10 servers, 4" in line for line in checker.violations] == [True]


@pytest.mark.parametrize("status", [0, 503])
def test_upload_that_a_stop_cut_is_detected(system, checker, status):
    """Guards against a soak that lets the loss of report 3 of issue 37 pass."""
    system.upload_outcomes.append(UploadOutcome("order-upload-1", status))
    checker._check_uploads()
    assert check(checker) == []
    system.servers["keys-0"].executed_attempts.append("order-upload-2")
    checker._check_executions()
    system.upload_outcomes.append(UploadOutcome("order-upload-2", status))
    checker._check_uploads()
    assert check(checker) == ["planned stop"]


def test_unexpected_process_exit_is_detected(system, checker):
    system.gateways[0].process.returncode = 1
    assert check(checker) == ["process"]


def test_release_of_part_of_a_range_keeps_the_rest():
    server = PlatformServerStandIn("s", "keys", keyed=True)
    server.held_ranges.append(HeldRange(0, 99, 1, time.monotonic() + 5.0))
    server._release(10, 19, 2)
    assert [server.holds_key(key) for key in (9, 10, 19, 20)] == [
        True,
        False,
        False,
        True,
    ]


async def test_proxy_reset_closes_open_connections():
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


async def test_connections_share_the_capacity_of_a_link():
    """With a limit for each connection, many hosts would not feel a weak link."""
    link = Link(rate_bytes_per_s=100_000)
    started_s = time.monotonic()
    await asyncio.gather(*(link.carry(5_000) for _ in range(4)))
    assert time.monotonic() - started_s >= 0.2
    assert link.carried_bytes == 20_000
