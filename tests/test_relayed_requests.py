"""Requests that another host sends for one without a path to the servers."""

import asyncio

import aiohttp
import pytest

from jacinthpath import peer_connections
from jacinthpath.gateway import relay_client
from jacinthpath.gateway.body_memory import MAX_HELD_BYTES, PART_BYTES
from jacinthpath.gateway.clock import boottime_s
from standins.platform_documents import CONFIGURATION_KEY, configuration
from standins.platform_server import LARGE_BODY

from .gateway_system import ROUTES, GatewaySystem
from .host_paths import HostPath

CUT = 0
RELAYING = 1


@pytest.fixture
async def fleet(tmp_path):
    system = await start_fleet(tmp_path)
    yield system
    await system.path.close()
    await system.close()


async def start_fleet(tmp_path):
    """Start two hosts, and cut the first off."""
    system = GatewaySystem(tmp_path)
    await system.start(plain=3, keyed=1, gateways=0)
    system.path = HostPath()
    await system.add_gateway(CUT, system.path)
    await system.add_gateway(RELAYING)
    await system.wait_until_ready()
    await cut(system)
    return system


async def cut(system):
    """Cut the first host off, and wait until it knows."""
    system.path.cut("reset")
    async with asyncio.timeout(5):
        while not system.gateways[CUT]._reach.is_cut_off():
            await system.send("/read/x", "probe", CUT)
            await asyncio.sleep(0.05)
    for server in system.servers.values():
        server.executed_attempts.clear()
        server.received_deadlines_ms.clear()


def executed(fleet):
    return [a for server in fleet.servers.values() for a in server.executed_attempts]


def set_fault(fleet, fault):
    for server in fleet.servers.values():
        server.fault = fault


async def test_relayed_request_arrives_unchanged_with_the_time_left(fleet):
    status, headers, body = await fleet.send(
        "/order/x?a=%2F1", "n1", CUT, "POST", data=b"\0payload"
    )
    assert (status, body) == (200, b"answer to n1")
    assert headers["X-Server-Signature"].startswith("sig.p")
    (server,) = [s for s in fleet.servers.values() if s.executed_attempts]
    assert server.executed_requests[-1] == ("POST", "/order/x?a=%2F1", b"\0payload")
    assert 0 < server.received_deadlines_ms[-1] <= 800


@pytest.mark.parametrize("padding_bytes", [0, 3_000_000])
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_relayed_order_that_ran_is_not_promised_to_have_not_run(
    fleet, status, padding_bytes
):
    """Guards against an order that is booked twice, as without a relay (review/13)."""
    set_fault(fleet, "invalid-status")
    for server in fleet.servers.values():
        server.status_line = f"HTTP/1.1 {status} Failed".encode()
        server.padding_bytes = padding_bytes
    found, headers, _ = await fleet.send("/order/x", "n1", CUT, "POST", data=b"order")
    assert found == 502
    assert "X-Server-Signature" not in headers
    assert "Retry-After" not in headers
    assert executed(fleet) == ["n1"]
    found, headers, _ = await fleet.send("/read/x", "n2", CUT)
    assert found == status
    assert headers["X-Server-Signature"].startswith("sig.p")


async def test_both_hosts_log_a_relayed_request_under_its_id(fleet, capfd):
    """Guards against a request that cannot be explained from the logs."""
    capfd.readouterr()
    await fleet.send("/read/x", "explained", CUT)
    lines = [
        line for line in capfd.readouterr().out.splitlines() if "id=explained" in line
    ]
    attempts = [line for line in lines if "event=attempt" in line]
    assert any("host=g0" in one and "relayed_by=g1" in one for one in attempts)
    assert any("host=g1" in one and "outcome=answered" in one for one in attempts)


async def test_large_relayed_body_arrives_whole(fleet):
    set_fault(fleet, "large")
    status, _, body = await fleet.send("/read/x", "n1", CUT)
    assert status == 200
    assert body == LARGE_BODY


async def test_relayed_body_that_breaks_off_does_not_look_whole(fleet):
    set_fault(fleet, "large-truncated")
    with pytest.raises(aiohttp.ClientError):
        await fleet.send("/read/x", "n1", CUT)


@pytest.mark.parametrize("fault", ["endless-body", "endless-chunks", "endless-head"])
async def test_relayed_bytes_without_end_are_not_kept(fleet, fault):
    """Guards against bytes without end that either host keeps for a caller that takes
    nothing (report of issue 52)."""
    set_fault(fleet, fault)
    host, _, port = fleet.gateways[CUT].settings.callers_address.rpartition(":")
    callers = [
        await asyncio.open_connection(host, int(port), limit=4_096) for _ in range(12)
    ]
    for number, (_, writer) in enumerate(callers):
        fields = f"Host: h.example\r\nX-Attempt-Id: e{number}"
        writer.write(f"GET /read/x HTTP/1.1\r\n{fields}\r\n\r\n".encode())
        writer.transport.pause_reading()
    for _ in range(20):
        await asyncio.sleep(0.05)
        for gateway in fleet.gateways:
            memory = gateway._relay_server._memory
            # What is held whole and the buffer of its connection come first, for each.
            least_bytes = len(callers) * (MAX_HELD_BYTES + PART_BYTES)
            assert memory.held_bytes <= memory.bound_bytes + least_bytes
    assert sum(server.sent_bytes for server in fleet.servers.values()) > 0
    for _, writer in callers:
        writer.transport.abort()
    async with asyncio.timeout(2):
        while any(g._relay_server._memory.held_bytes for g in fleet.gateways):
            await asyncio.sleep(0.02)


async def test_order_whose_relaying_host_is_lost_runs_once(fleet):
    """Guards against a second run, or a promise that it has not run, when the path
    between two hosts breaks after the order was sent."""
    set_fault(fleet, "slow")
    order = asyncio.create_task(fleet.send("/order/x", "n1", CUT, "POST"))
    async with asyncio.timeout(2):
        while not executed(fleet):
            await asyncio.sleep(0.01)
    for connection in fleet.gateways[RELAYING]._peering._server.connections:
        await connection.close()
    status, _, _ = await order
    assert status in (502, 504)
    await asyncio.sleep(0.7)
    assert executed(fleet) == ["n1"]


async def test_server_stops_work_when_the_caller_of_a_relayed_request_leaves(fleet):
    set_fault(fleet, "silent")
    call = asyncio.create_task(fleet.send("/read/x", "n1", CUT))
    async with asyncio.timeout(2):
        while not executed(fleet):
            await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.sleep(0.5)
    assert sum(server.abandoned_requests for server in fleet.servers.values()) == 1
    assert fleet.gateways[RELAYING]._relay_server.in_progress == 0


async def test_host_that_leaves_takes_no_relays(fleet):
    """The caller learns at once that the request has not run, and when to return."""
    loop = asyncio.get_running_loop()
    fleet.gateways[RELAYING]._shutdown_window.open(loop.time(), 6.0)
    async with asyncio.timeout(0.3):
        status, headers, _ = await fleet.send("/read/x", "n1", CUT)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert executed(fleet) == []


async def test_server_that_wants_a_pause_gets_no_relayed_request(fleet):
    """The server has told the relaying host alone."""
    set_fault(fleet, "paused")
    for number in range(3):
        await fleet.send("/read/x", f"told-{number}", RELAYING)
    arrived = [len(server.arrivals_s) for server in fleet.servers.values()]
    set_fault(fleet, "")
    status, headers, _ = await fleet.send("/read/x", "n1", CUT)
    assert status == 503
    assert float(headers["Retry-After"]) > 0.3
    assert executed(fleet) == []
    assert [len(server.arrivals_s) for server in fleet.servers.values()] == arrived


async def test_host_of_an_earlier_release_is_not_asked_to_relay(tmp_path, monkeypatch):
    """It would drop the frame without a response, and the caller would wait."""
    monkeypatch.setattr(peer_connections, "PROTOCOL_RELEASE", 1)
    system = await start_fleet(tmp_path)
    status, _, _ = await system.send("/order/x", "n1", CUT)
    assert status == 503
    assert executed(system) == []
    await system.path.close()
    await system.close()


async def test_host_uses_its_own_path_again_once_it_is_back(fleet):
    fleet.path.restore()
    async with asyncio.timeout(2):
        while fleet.gateways[CUT]._reach.is_cut_off():
            await asyncio.sleep(0.02)
    relayed = fleet.gateways[RELAYING]._metrics.total("relays_total")
    for number in range(20):
        status, _, _ = await fleet.send("/read/x", f"n{number}", CUT)
        assert status == 200
    assert fleet.gateways[RELAYING]._metrics.total("relays_total") == relayed


async def hold_up_frames(fleet, for_s):
    """Have the relaying host read no frames of other hosts for a time."""
    transports = [
        connection._writer.transport
        for connection in fleet.gateways[RELAYING]._peering._server.connections
    ]
    for transport in transports:
        transport.pause_reading()
    await asyncio.sleep(for_s)
    for transport in transports:
        transport.resume_reading()


async def test_relay_does_not_outlive_its_caller(fleet):
    """The frames that ask for a relay and end it were read one after the other, and the
    request was sent in between (issue 40)."""
    await fleet.send("/read/x", "warm", CUT)
    calls = [
        asyncio.create_task(fleet.send("/read/x", f"left-{number}", CUT))
        for number in range(10)
    ]
    held_up = asyncio.create_task(hold_up_frames(fleet, 0.7))
    await asyncio.sleep(0.1)
    for call in calls:
        call.cancel()
    await held_up
    await asyncio.sleep(0.5)
    assert executed(fleet) == ["warm"]


async def test_relayed_time_budget_does_not_start_anew_when_it_is_read(
    fleet, monkeypatch
):
    """The frame holds a duration, which counted from its reading (issue 40).

    The host that asks for the relay is lost, so it does not end the relay.
    """
    monkeypatch.setattr(relay_client._Relay, "end", lambda _relay: None)
    await fleet.send("/read/x", "warm", CUT)
    headers = {"X-Request-Deadline-Ms": "500"}
    call = asyncio.create_task(fleet.send("/read/x", "late", CUT, headers=headers))
    await hold_up_frames(fleet, 0.7)
    status, _, _ = await call
    await asyncio.sleep(0.4)
    assert status in (502, 504)
    assert executed(fleet) == ["warm"]


async def test_relay_that_is_read_late_is_refused_and_asked_for_again(fleet):
    """The host cannot know whether the caller is still there; the one that has the
    caller does (issue 40)."""
    await fleet.send("/read/x", "warm", CUT)
    call = asyncio.create_task(fleet.send("/read/x", "late", CUT))
    await hold_up_frames(fleet, 0.4)
    status, _, _ = await call
    metrics = fleet.gateways[RELAYING]._metrics
    assert metrics.value("relays_total", result="refused") == 1
    assert status == 200
    assert sorted(executed(fleet)) == ["late", "warm"]


async def test_relaying_host_keeps_to_the_rate_of_a_cold_server(fleet):
    """Guards against relayed requests beyond the rate, which no host has counted.

    The host that is cut off has not heard that the server is cold.
    """
    content = configuration(4, ROUTES, warmup=("3s", 5.4))
    fleet.store.put(CONFIGURATION_KEY, content)
    await asyncio.sleep(0.5)
    relaying = fleet.gateways[RELAYING]._view
    for name, backend in relaying.directory.all().items():
        until_s = boottime_s() + 30
        relaying.cold_servers.record(name, backend.started_ms, until_s, boottime_s())
    fleet.gateways[CUT]._view.cold_servers.remaining_s = lambda *_args: 0.0
    server = fleet.servers["k0"]
    server.arrivals_s.clear()
    for number in range(60):
        await fleet.send("/keyed/x", f"n{number}", CUT, key=9)
        await asyncio.sleep(1 / 60)
    assert 1 <= len(server.arrivals_s) <= 10
