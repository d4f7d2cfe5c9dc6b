"""Requests through a gateway to servers with the faults that the platform documents."""

import asyncio

import pytest

from jacinthpath.gateway import request_time
from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.server_chooser import ServerChooser
from jacinthpath.gateway.service import LEAVE_ROTATION_S
from standins.platform_documents import configuration, route

from .gateway_system import ROUTES, GatewaySystem


@pytest.fixture
async def system(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start()
    await system.wait_until_ready()
    yield system
    await system.close()


def set_fault(system, service, fault):
    for server in system.servers.values():
        if server.service == service:
            server.fault = fault


def executed_ids(system):
    return [
        attempt
        for server in system.servers.values()
        for attempt in server.executed_attempts
    ]


async def test_request_and_response_pass_through_unchanged(system):
    """Guards against changes to the method, path, query, body or signature."""
    status, headers, body = await system.send(
        "/read/a%2Fb/../c?x=1&y=%20", method="POST", data=b"body"
    )
    assert (status, body) == (200, b"answer to a1")
    assert headers["X-Server-Signature"].startswith("sig.p")
    received = [t for s in system.servers.values() for t in s.executed_requests]
    assert received == [("POST", "/read/a%2Fb/../c?x=1&y=%20", b"body")]


async def test_keyed_request_reaches_the_owner_of_its_key(system):
    """Guards against requests executed by a server that does not own the key."""
    for key in (0, 20_000, 65_535):
        status, _, _ = await system.send("/keyed/x", f"k-{key}", key=key)
        assert status == 200


@pytest.mark.parametrize(("path", "servers"), [("/keyed/x", 1), ("/read/x", 2)])
async def test_host_stays_within_its_connection_limit(system, path, servers):
    """Guards against unknown outcomes of orders: servers reset connections over their
    limit."""
    system.store.put("op/config", configuration(4, ROUTES, max_connections=2))
    await asyncio.sleep(0.2)
    for server in system.servers.values():
        server.fault = "silent"
    tasks = [
        asyncio.create_task(system.send(path, f"c{number}", key=100))
        for number in range(2 * servers)
    ]
    await asyncio.sleep(0.2)
    status, headers, _ = await system.send(path, "over", key=100)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await asyncio.gather(*tasks)


async def test_unknown_route_returns_404(system):
    status, _, _ = await system.send("/other/x")
    assert status == 404


async def test_answered_request_chooses_a_server_once(system, monkeypatch):
    """Guards against a fault: a server for a retry was chosen even after a response."""
    pool = system.gateways[0]._forwarder._dependencies.pool
    calls = []
    choose = pool.choose
    monkeypatch.setattr(
        pool, "choose", lambda *args: calls.append(args) or choose(*args)
    )
    assert (await system.send("/read/x"))[0] == 200
    assert len(calls) == 1


async def test_remaining_time_is_forwarded(system):
    """Guards against servers that receive a longer deadline than the caller's."""
    await system.send("/read/x", headers={"X-Request-Deadline-Ms": "400"})
    (deadline_ms,) = [
        b for s in system.servers.values() for b in s.received_deadlines_ms
    ]
    assert 300 <= deadline_ms <= 400


@pytest.mark.parametrize(
    "fault", ["foreign-response", "no-response", "truncated", "reset"]
)
async def test_broken_response_is_not_forwarded(system, fault):
    """Guards against callers that receive a broken or another request's response."""
    set_fault(system, "plain", fault)
    status, _, body = await system.send("/order/x", method="POST")
    assert status == 502
    assert executed_ids(system) == ["a1"]
    assert b"yours" not in body


@pytest.mark.parametrize(
    "fault", ["foreign-response", "no-response", "truncated", "reset", "overloaded"]
)
async def test_idempotent_request_is_retried_on_another_server(system, fault):
    system.servers["p0"].fault = fault
    for number in range(6):
        status, _, body = await system.send("/read/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())


async def test_extra_bytes_do_not_reach_a_later_request(system):
    """Guards against reuse of a connection on which a second response follows."""
    set_fault(system, "plain", "duplicate-response")
    for number in range(20):
        status, _, body = await system.send("/read/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())


async def test_response_without_length_ends_with_its_connection(system):
    set_fault(system, "plain", "no-length")
    status, _, body = await system.send("/order/x", method="POST")
    assert (status, body) == (200, b"answer to a1")


async def test_order_that_no_server_accepted_gets_503_with_retry_after(system):
    """Status 503 promises that the order was not executed."""
    set_fault(system, "plain", "overloaded")
    status, headers, _ = await system.send("/order/x", method="POST")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 5
    assert executed_ids(system) == []


async def test_request_times_out_after_the_timeout_of_its_route(system):
    set_fault(system, "plain", "silent")
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    status, _, _ = await system.send(
        "/order/x", method="POST", headers={"X-Request-Deadline-Ms": "5000"}
    )
    assert status == 504
    assert 0.7 < loop.time() - started_s < 1.3


async def test_disconnect_of_the_caller_closes_the_connection_to_the_server(system):
    """Guards against servers that keep working for a caller that disconnected."""
    set_fault(system, "plain", "silent")
    task = asyncio.create_task(system.send("/read/x"))
    await asyncio.sleep(0.2)
    task.cancel()
    await asyncio.sleep(0.5)
    assert sum(server.abandoned_requests for server in system.servers.values()) == 1


@pytest.mark.parametrize(
    "headers",
    [{"X-Request-Deadline-Ms": "soon"}, {"X-Shard-Key": "70000"}],
)
async def test_malformed_header_field_returns_400(system, headers):
    status, _, body = await system.send("/read/x", headers=headers)
    assert status == 400
    assert b"malformed" in body


async def test_body_over_the_limit_returns_413(system):
    status, _, _ = await system.send("/read/x", method="POST", data=b"x" * 1_001)
    assert status == 413


async def test_configuration_applies_at_once_and_is_not_rolled_back(system):
    routes = [*ROUTES, route("late", "/late/", "plain")]
    system.store.put("op/config", configuration(5, routes))
    await asyncio.sleep(0.3)
    assert (await system.send("/late/x"))[0] == 200
    system.store.put("op/config", configuration(4, ROUTES))
    system.store.put("op/config", b"{not a configuration")
    await asyncio.sleep(0.3)
    assert (await system.send("/late/x", "a2"))[0] == 200


async def test_host_is_ready_although_a_keyed_service_has_no_servers(tmp_path):
    """Guards against a host that waits for owners of a service without servers, and
    never becomes ready."""
    system = GatewaySystem(tmp_path)
    try:
        await system.start(keyed=0)
        await system.wait_until_ready()
        assert (await system.send("/read/x"))[0] == 200
    finally:
        await system.close()


async def test_traffic_split_follows_the_weights(system):
    await system.add_server("q0", "other")
    split = [{"service": "plain", "weight": 90}, {"service": "other", "weight": 10}]
    routes = [*ROUTES, route("split", "/split/", None, split=split)]
    services = ("plain", "keys", "other")
    system.store.put("op/config", configuration(5, routes, services=services))
    await asyncio.sleep(1.0)
    for number in range(50):
        assert (await system.send("/split/x", f"n{number}"))[0] == 200
    assert len(system.servers["q0"].executed_attempts) == 5


async def test_draining_server_receives_no_requests(system):
    draining = system.servers["p0"]
    system.store.put("servers/p0", draining.entry("draining"))
    await asyncio.sleep(1.2)
    before = len(draining.executed_attempts)
    for number in range(20):
        assert (await system.send("/read/x", f"n{number}"))[0] == 200
    assert len(draining.executed_attempts) == before


async def test_malformed_entry_does_not_affect_other_servers(system):
    for number, content in enumerate([b"{", b"[]", b'{"address": 5}', b"\xff"]):
        system.store.put(f"servers/m{number}", content)
    await asyncio.sleep(1.0)
    assert (await system.send("/read/x"))[0] == 200


async def test_keys_of_a_draining_server_move_to_another(system):
    system.store.put("servers/k0", system.servers["k0"].entry("draining"))
    await asyncio.sleep(1.5)
    assert all(system.servers["k1"].holds_key(key) for key in (0, 30_000, 65_535))
    assert not system.servers["k0"].holds_key(0)


@pytest.mark.parametrize("mode", ["busy", "silent"])
async def test_all_requests_are_served_during_an_outage_of_the_store(system, mode):
    system.store.mode = mode
    for number in range(40):
        status, _, _ = await system.send("/keyed/x", f"n{number}", key=number * 1_600)
        assert status == 200
        await asyncio.sleep(0.1)


async def test_no_change_is_missed_when_the_store_discards_its_history(system):
    system.store.forget_history()
    system.store.put("op/config", configuration(6, [route("r", "/new/", "plain")]))
    system.store.forget_history()
    await asyncio.sleep(1.0)
    assert (await system.send("/new/x"))[0] == 200


async def test_shutdown_interrupts_no_request(system):
    """A request in flight when the drain begins gets its response."""
    set_fault(system, "plain", "slow")
    sending = asyncio.create_task(system.send("/order/x", method="POST"))
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(system.gateways[0].drain())
    assert (await sending)[0] == 200
    assert system.gateways[0].unready_reason() == "leaving"
    assert await draining == 0


async def test_connection_accepted_at_the_end_of_the_rotation_gets_its_response(system):
    """A planned stop closed connections that had just been accepted, before their
    requests had arrived."""
    gateway = system.gateways[0]
    draining = asyncio.create_task(gateway.drain())
    await asyncio.sleep(LEAVE_ROTATION_S - 0.1)
    reader, writer = await asyncio.open_connection(
        *gateway.settings.callers_address.split(":")
    )
    await asyncio.sleep(0.25)
    writer.write(
        b"POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: last\r\n"
        b"X-Request-Deadline-Ms: 800\r\nContent-Length: 0\r\n\r\n"
    )
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    assert await draining == 0
    assert executed_ids(system) == ["last"]


async def test_order_is_not_sent_after_its_host_was_suspended(system, monkeypatch):
    """A host that was suspended between the choice of a server and the sending ran an
    order whose caller had given up. The monotonic clock stops meanwhile."""
    choose = ServerChooser.choose

    async def choose_and_suspend(self, is_retry):
        choice = await choose(self, is_retry)
        monkeypatch.setattr(request_time, "boottime_s", lambda: boottime_s() + 5)
        return choice

    monkeypatch.setattr(ServerChooser, "choose", choose_and_suspend)
    status, _, _ = await system.send("/order/x", method="POST")
    assert status in (503, 504)
    assert executed_ids(system) == []


async def test_servers_that_are_down_use_up_no_attempts_of_a_request(system):
    """Guards against refusals by a service with servers left: three of them are down,
    and a request may be sent to two servers."""
    await system.add_server("p2", "plain")
    for name in ("p0", "p1", "p2"):
        await system.servers[name].close()
    spare = await system.add_server("spare", "plain")
    await asyncio.sleep(0.5)
    for number in range(6):
        status, _, _ = await system.send("/read/x", f"n{number}")
        assert status == 200
    assert len(spare.executed_attempts) == 6


async def test_request_is_not_sent_again_to_another_server_at_the_address(system):
    """Guards against retries that only cost the server which has got the address of an
    owner (review/14)."""
    server = system.servers["k1"]
    key = next(key for key in range(65_536) if server.holds_key(key))
    server.server = "another"
    arrivals = len(server.arrivals_s)
    status, headers, _ = await system.send("/keyed/x", "n1", key=key)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert len(server.arrivals_s) == arrivals + 1
