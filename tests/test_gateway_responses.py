"""Responses that are large, endless, duplicated, or say that the server wants less."""

import asyncio

import aiohttp
import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from jacinthpath.gateway.body_memory import MAX_HELD_BYTES, BodyMemory
from jacinthpath.platform import decode_route_table
from jacinthpath.platform.server_notice import MAX_LIMIT_PER_S, MAX_PAUSE_S, read_notice
from jacinthpath.platform.values import MalformedValue
from standins.platform_documents import configuration, route
from standins.platform_server import LARGE_BODY

from .gateway_system import ROUTES, GatewaySystem

DOWNLOAD = route("download", "/download/", "plain", kind="download", timeout="3000ms")


@pytest.fixture
async def system(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start()
    system.store.put("op/config", configuration(4, [*ROUTES, DOWNLOAD]))
    await system.wait_until_ready()
    await asyncio.sleep(0.2)
    yield system
    await system.close()


def plain_servers(system):
    return [s for s in system.servers.values() if s.service == "plain"]


def set_fault(system, fault):
    for server in plain_servers(system):
        server.fault = fault


def executed_ids(system):
    return [a for s in plain_servers(system) for a in s.executed_attempts]


def host_memory(system):
    return system.gateways[0].listener._memory


async def read_slowly(system, path="/download/x", take_bytes=None, attempt="a1"):
    """Read a response in parts; return what arrived and whether it ended whole."""
    address = system.gateways[0].settings.callers_address
    headers = {
        "Host": "h.example",
        "X-Request-Deadline-Ms": "1000",
        "X-Attempt-Id": attempt,
    }
    content = bytearray()
    async with system.session.get(f"http://{address}{path}", headers=headers) as reply:
        try:
            async for part in reply.content.iter_any():
                content += part
                if take_bytes is not None and len(content) >= take_bytes:
                    break
        except aiohttp.ClientError:
            return reply.status, content, False
        return reply.status, content, True


async def test_download_is_repeated_like_an_idempotent_request(system):
    """Guards against downloads that are treated as requests which may run once only."""
    plain_servers(system)[0].fault = "no-response"
    for number in range(6):
        status, _, body = await system.send("/download/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())


async def test_large_response_arrives_whole(system):
    set_fault(system, "large")
    assert await read_slowly(system) == (200, LARGE_BODY, True)
    assert host_memory(system).held_bytes == 0


async def test_large_response_that_breaks_off_does_not_look_complete(system):
    """Guards against a caller that takes a part for the whole, and against a repeat
    whose bytes follow those of the first attempt."""
    set_fault(system, "large-truncated")
    status, content, whole = await read_slowly(system)
    assert status == 200
    assert not whole
    assert content == LARGE_BODY[: len(content)]
    assert len(executed_ids(system)) == 1


async def test_caller_that_stops_reading_frees_its_place(system, monkeypatch):
    """Guards against connections and memory held by callers that read nothing."""
    monkeypatch.setattr("jacinthpath.platform.callers.CALLER_STALL_TIMEOUT_S", 0.3)
    set_fault(system, "large")
    reader, writer = await asyncio.open_connection(
        *system.gateways[0].settings.callers_address.split(":"), limit=1_024
    )
    writer.transport.pause_reading()
    writer.write(
        b"GET /download/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n"
        b"X-Request-Deadline-Ms: 60000\r\n\r\n"
    )
    await asyncio.sleep(1.5)
    assert host_memory(system).held_bytes == 0
    pool = system.gateways[0]._forwarder._dependencies.pool
    directory = system.gateways[0]._view.directory
    assert [pool.in_flight(b) for b in directory.servers_of("plain")] == [0, 0]
    writer.close()


@pytest.mark.parametrize("fault", ["endless-body", "endless-chunks"])
async def test_body_without_end_is_bounded_in_memory_and_time(system, fault):
    """One such response grew the process by 632 MB in three seconds, a chunked one by
    1,077 MB."""
    set_fault(system, fault)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    reading = asyncio.create_task(read_slowly(system))
    largest_bytes = 0
    while not reading.done():
        largest_bytes = max(largest_bytes, host_memory(system).held_bytes)
        await asyncio.sleep(0.01)
    status, _, whole = reading.result()
    assert (status, whole) == (200, False)
    assert loop.time() - started_s < 2.0
    assert largest_bytes <= 2 * MAX_HELD_BYTES
    sent_bytes = sum(server.sent_bytes for server in plain_servers(system))
    await asyncio.sleep(0.3)
    assert sum(server.sent_bytes for server in plain_servers(system)) == sent_bytes


async def test_body_without_end_is_read_no_faster_than_the_caller_takes_it(system):
    set_fault(system, "endless-body")
    address = system.gateways[0].settings.callers_address
    reader, writer = await asyncio.open_connection(*address.split(":"), limit=1_024)
    writer.transport.pause_reading()
    writer.write(
        b"GET /download/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n"
        b"X-Request-Deadline-Ms: 3000\r\n\r\n"
    )
    await asyncio.sleep(1.0)
    sent_bytes = sum(server.sent_bytes for server in plain_servers(system))
    writer.close()
    # The buffers of four sockets, which the kernel lets grow to some megabytes each.
    assert sent_bytes < 32 * 1024 * 1024


async def test_connections_are_used_again(system):
    """Servers limit their connections; a new one for each request would exceed it."""
    for number in range(20):
        assert (await system.send("/read/x", f"n{number}"))[0] == 200
    assert sum(server.accepted_connections for server in plain_servers(system)) <= 2


@pytest.mark.parametrize("fault", ["endless-interim", "endless-trailer"])
async def test_framing_without_end_is_cut_at_once(system, fault):
    """Interim responses without end were read until the deadline."""
    plain_servers(system)[0].fault = fault
    loop = asyncio.get_running_loop()
    for number in range(4):
        started_s = loop.time()
        status, _, body = await system.send("/read/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())
        assert loop.time() - started_s < 0.5


@pytest.mark.parametrize("fault", ["refused-twice", "error-twice"])
async def test_late_copy_of_a_refusal_is_not_taken_for_the_next_response(system, fault):
    """A caller was told that its order had not run, by the second copy of a refusal on
    a connection that was in use again. The order had run."""
    plain_servers(system)[1].fault = "overloaded"
    server = plain_servers(system)[0]
    server.fault = fault
    statuses = {}
    for number in range(4):
        attempt = f"n{number}"
        status, _, _ = await system.send("/order/x", attempt, method="POST")
        statuses[attempt] = status
    executed = executed_ids(system)
    assert len(set(executed)) == len(executed)
    assert all(statuses[attempt] != 503 for attempt in executed)


async def test_request_without_an_id_does_not_take_the_copy_of_a_refusal(system):
    """Report 1 of issue 37, for a caller that sets no attempt id: nothing tells the
    response to its request from an earlier one on the same connection."""
    plain_servers(system)[1].fault = "overloaded"
    server = plain_servers(system)[0]
    server.fault = "error-twice"
    assert (await system.send("/order/x", "n1", method="POST"))[0] == 503
    status, _, _ = await system.send("/order/x", "", method="POST")
    assert status != 503 or "" not in server.executed_attempts


async def test_retry_at_the_owner_does_not_take_the_copy_of_its_refusal(system):
    """A refused keyed order is sent to its owner again under the same attempt id; the
    copy of the refusal made it run a second time."""
    keyed_order = route("keyed-order", "/keyed-order/", "keys", kind="non_idempotent")
    system.store.put("op/config", configuration(5, [*ROUTES, keyed_order]))
    await asyncio.sleep(0.2)
    for server in system.servers.values():
        server.fault = "refused-twice" if server.keyed else ""
    status, _, _ = await system.send("/keyed-order/x", "o1", method="POST", key=5)
    executed = [a for s in system.servers.values() for a in s.executed_attempts]
    assert len(executed) <= 1
    assert status != 503 or not executed


async def test_leaving_server_gets_no_more_requests(system):
    """Guards against requests that reach a server later than it accepts them."""
    server = plain_servers(system)[0]
    server.leaving = True
    while not server.executed_attempts:
        await system.send("/read/x", "first")
    before = len(server.executed_attempts)
    # A heartbeat that still says "ready" changes nothing.
    system.store.put(f"servers/{server.server}", server.entry())
    await asyncio.sleep(0.6)
    for number in range(10):
        assert (await system.send("/read/x", f"n{number}"))[0] == 200
    assert len(server.executed_attempts) == before
    server.restart()
    system.store.put(f"servers/{server.server}", server.entry())
    await asyncio.sleep(0.8)
    backend = system.gateways[0]._view.directory.find(server.server)
    assert (backend.started_ms, backend.draining) == (server.started_ms, False)


async def test_keys_of_a_leaving_server_move(system):
    server = system.servers["k0"]
    server.leaving = True
    key = next(k for k in range(0, 65_536, 997) if server.holds_key(k))
    assert (await system.send("/keyed/x", "l1", key=key))[0] == 200
    for number in range(20):
        assert (await system.send("/keyed/x", f"n{number}", key=key))[0] == 200
        await asyncio.sleep(0.1)
    assert not server.holds_key(key)


async def test_server_that_asks_for_a_pause_gets_none_of_the_waiting_requests(system):
    set_fault(system, "paused")
    status, headers, _ = await system.send("/read/x", "first")
    assert status == 503
    assert float(headers["Retry-After"]) > 0.5
    before = [len(server.refused_attempts) for server in plain_servers(system)]
    for number in range(20):
        assert (await system.send("/read/x", f"n{number}"))[0] == 503
    assert [len(server.refused_attempts) for server in plain_servers(system)] == before
    set_fault(system, "")
    await asyncio.sleep(1.6)
    assert (await system.send("/read/x", "last"))[0] == 200


async def test_owner_that_asks_for_a_pause_is_left_alone(system):
    for server in system.servers.values():
        server.fault = "paused"
    for number in range(10):
        status, headers, _ = await system.send("/keyed/x", f"n{number}", key=9)
        assert status == 503
        assert float(headers["Retry-After"]) > 0.5
    assert sum(len(s.refused_attempts) for s in system.servers.values()) == 1


@pytest.mark.parametrize(
    ("fields", "leaving", "pause_s", "malformed"),
    [
        ({}, False, 0.0, False),
        ({"Server-Leaving": "1", "Retry-After": "0.25"}, True, 0.25, False),
        ({"Server-Leaving": "yes"}, False, 0.0, True),
        ({"Retry-After": "-3"}, False, 0.0, True),
        ({"Retry-After": "nan"}, False, 0.0, True),
        ({"Retry-After": "Fri, 04 Dec 2026 10:00:00 GMT"}, False, 0.0, True),
        ({"Retry-After": "864000"}, False, MAX_PAUSE_S, False),
    ],
)
def test_notices_are_bounded_and_malformed_ones_ignored(
    fields, leaving, pause_s, malformed
):
    notice = read_notice(fields)
    assert (notice.leaving, notice.pause_s) == (leaving, pause_s)
    assert bool(notice.malformed) is malformed


@pytest.mark.parametrize(
    ("values", "limit_per_s", "malformed"),
    [
        ([], None, False),
        (["2.9"], 2.9, False),
        (["0"], 0.0, False),
        (["4", "2.5"], 2.5, False),
        (["4", "x"], 4.0, True),
        (["9" * 30], MAX_LIMIT_PER_S, False),
        *(([v], None, True) for v in ("-1", "nan", "inf", "1e3", "", "3, 4", "9" * 31)),
    ],
)
def test_limits_that_cannot_be_read_are_ignored(values, limit_per_s, malformed):
    """Guards against a limit that a faulty server makes negative, endless or double."""
    notice = read_notice(
        CIMultiDictProxy(CIMultiDict([("Server-Limit", v) for v in values]))
    )
    assert notice.limit_per_s == limit_per_s
    assert bool(notice.malformed) is malformed


def test_host_forwards_at_once_when_it_holds_too_much():
    memory = BodyMemory()
    assert memory.may_hold(0, MAX_HELD_BYTES)
    assert not memory.may_hold(1, MAX_HELD_BYTES)
    while memory.may_hold(0, MAX_HELD_BYTES):
        memory.add(MAX_HELD_BYTES)
    memory.release(MAX_HELD_BYTES)
    assert memory.may_hold(0, MAX_HELD_BYTES)


@pytest.mark.parametrize(
    "split",
    [
        [("plain", 1), ("unknown", 1)],
        [("plain", 1), ("keys", -1)],
        [("plain", 0), ("keys", 0)],
        [("plain", "nan")],
    ],
)
def test_split_with_bad_parts_is_refused(split):
    parts = [{"service": service, "weight": weight} for service, weight in split]
    routes = [route("split", "/split/", None, split=parts)]
    with pytest.raises(MalformedValue):
        decode_route_table(configuration(3, routes))
