"""Requests through a gateway, against servers that fail in the published ways."""

import asyncio

import pytest

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


def runs(system):
    return [attempt for server in system.servers.values() for attempt in server.runs]


async def test_a_request_comes_back_whole_and_unchanged(system):
    """Method, path, query, body and signature pass through as they are."""
    status, headers, body = await system.send(
        "/read/a%2Fb/../c?x=1&y=%20", method="POST", data=b"body"
    )
    assert (status, body) == (200, b"answer to a1")
    assert headers["X-Server-Signature"].startswith("sig.p")
    targets = [t for s in system.servers.values() for t in s.targets]
    assert targets == [("POST", "/read/a%2Fb/../c?x=1&y=%20", b"body")]


async def test_a_keyed_request_reaches_the_holder_of_its_key(system):
    """A request that runs at a server without the key breaks ownership."""
    for key in (0, 20_000, 65_535):
        status, _, _ = await system.send("/keyed/x", f"k-{key}", key=key)
        assert status == 200


@pytest.mark.parametrize(("path", "servers"), [("/keyed/x", 1), ("/read/x", 2)])
async def test_a_host_opens_its_share_of_connections_only(system, path, servers):
    """Servers reset what is over their limit: orders with an unknown outcome."""
    system.store.put("op/config", configuration(4, ROUTES, max_connections=2))
    await asyncio.sleep(0.2)
    for server in system.servers.values():
        server.fault = "silent"
    sent = [
        asyncio.create_task(system.send(path, f"c{number}", key=100))
        for number in range(2 * servers)
    ]
    await asyncio.sleep(0.2)
    status, headers, _ = await system.send(path, "over", key=100)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await asyncio.gather(*sent)


async def test_no_route_is_answered_404(system):
    status, _, _ = await system.send("/other/x")
    assert status == 404


async def test_an_answered_request_chooses_a_server_once(system, monkeypatch):
    """The next server was chosen even when no repeat could follow."""
    pool = system.gateways[0]._forwarder._parts.pool
    chosen = []
    choose = pool.choose
    monkeypatch.setattr(
        pool, "choose", lambda *rest: chosen.append(rest) or choose(*rest)
    )
    assert (await system.send("/read/x"))[0] == 200
    assert len(chosen) == 1


async def test_time_left_is_passed_on(system):
    """Servers must not be handed more time than the caller waits."""
    await system.send("/read/x", headers={"X-Request-Deadline-Ms": "400"})
    (budget_ms,) = [b for s in system.servers.values() for b in s.budgets_ms]
    assert 300 <= budget_ms <= 400


@pytest.mark.parametrize("fault", ["stray", "lost", "cut", "reset"])
async def test_a_broken_answer_is_never_passed_on(system, fault):
    """A broken or foreign answer must not look like the caller's own."""
    set_fault(system, "plain", fault)
    status, _, body = await system.send("/order/x", method="POST")
    assert status == 502
    assert runs(system) == ["a1"]
    assert b"yours" not in body


@pytest.mark.parametrize("fault", ["stray", "lost", "cut", "reset", "shed"])
async def test_a_repeatable_request_goes_to_another_server(system, fault):
    system.servers["p0"].fault = fault
    for number in range(6):
        status, _, body = await system.send("/read/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())


async def test_extra_bytes_reach_no_later_request(system):
    """A second answer behind the first belongs to no request."""
    set_fault(system, "plain", "extra")
    for number in range(20):
        status, _, body = await system.send("/read/x", f"n{number}")
        assert (status, body) == (200, f"answer to n{number}".encode())


async def test_an_answer_without_length_ends_with_its_connection(system):
    set_fault(system, "plain", "unframed")
    status, _, body = await system.send("/order/x", method="POST")
    assert (status, body) == (200, b"answer to a1")


async def test_an_order_that_no_server_took_is_refused_with_a_time(system):
    """A refusal promises that the order has not run."""
    set_fault(system, "plain", "shed")
    status, headers, _ = await system.send("/order/x", method="POST")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 5
    assert runs(system) == []


async def test_the_timeout_of_the_route_is_answered(system):
    set_fault(system, "plain", "silent")
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    status, _, _ = await system.send(
        "/order/x", method="POST", headers={"X-Request-Deadline-Ms": "5000"}
    )
    assert status == 504
    assert 0.7 < loop.time() - started_s < 1.3


async def test_a_caller_that_leaves_is_noticed_at_the_server(system):
    """A server must not work on for a caller that has gone."""
    set_fault(system, "plain", "silent")
    task = asyncio.create_task(system.send("/read/x"))
    await asyncio.sleep(0.2)
    task.cancel()
    await asyncio.sleep(0.5)
    assert sum(server.dropped for server in system.servers.values()) == 1


@pytest.mark.parametrize(
    "headers",
    [{"X-Request-Deadline-Ms": "soon"}, {"X-Shard-Key": "70000"}],
)
async def test_a_malformed_field_is_answered_400(system, headers):
    status, _, body = await system.send("/read/x", headers=headers)
    assert status == 400
    assert b"malformed" in body


async def test_a_body_over_the_limit_is_answered_413(system):
    status, _, _ = await system.send("/read/x", method="POST", data=b"x" * 1_001)
    assert status == 413


async def test_a_configuration_is_in_force_at_once_and_never_goes_back(system):
    added = [*ROUTES, route("late", "/late/", "plain")]
    system.store.put("op/config", configuration(5, added))
    await asyncio.sleep(0.3)
    assert (await system.send("/late/x"))[0] == 200
    system.store.put("op/config", configuration(4, ROUTES))
    system.store.put("op/config", b"{not a configuration")
    await asyncio.sleep(0.3)
    assert (await system.send("/late/x", "a2"))[0] == 200


async def test_a_keyed_service_without_servers_keeps_no_host_unready(tmp_path):
    """A host that waited for owners of a service without servers never served."""
    system = GatewaySystem(tmp_path)
    try:
        await system.start(keyed=0)
        await system.wait_until_ready()
        assert (await system.send("/read/x"))[0] == 200
    finally:
        await system.close()


async def test_a_split_follows_its_weights(system):
    await system.add_server("q0", "other")
    split = [{"service": "plain", "weight": 90}, {"service": "other", "weight": 10}]
    routes = [*ROUTES, route("split", "/split/", None, split=split)]
    services = ("plain", "keys", "other")
    system.store.put("op/config", configuration(5, routes, services=services))
    await asyncio.sleep(1.0)
    for number in range(50):
        assert (await system.send("/split/x", f"n{number}"))[0] == 200
    assert len(system.servers["q0"].runs) == 5


async def test_a_draining_server_gets_nothing_more(system):
    drained = system.servers["p0"]
    system.store.put("servers/p0", drained.entry("draining"))
    await asyncio.sleep(1.2)
    before = len(drained.runs)
    for number in range(20):
        assert (await system.send("/read/x", f"n{number}"))[0] == 200
    assert len(drained.runs) == before


async def test_a_mangled_entry_spoils_no_other(system):
    for number, content in enumerate([b"{", b"[]", b'{"address": 5}', b"\xff"]):
        system.store.put(f"servers/m{number}", content)
    await asyncio.sleep(1.0)
    assert (await system.send("/read/x"))[0] == 200


async def test_keys_of_a_drained_server_move_with_their_handover(system):
    system.store.put("servers/k0", system.servers["k0"].entry("draining"))
    await asyncio.sleep(1.5)
    assert all(system.servers["k1"].holds_key(key) for key in (0, 30_000, 65_535))
    assert not system.servers["k0"].holds_key(0)


@pytest.mark.parametrize("mode", ["busy", "silent"])
async def test_an_outage_of_the_store_leaves_every_request_served(system, mode):
    system.store.mode = mode
    for number in range(40):
        status, _, _ = await system.send("/keyed/x", f"n{number}", key=number * 1_600)
        assert status == 200
        await asyncio.sleep(0.1)


async def test_a_forgotten_history_hides_no_change(system):
    system.store.forget_history()
    system.store.put("op/config", configuration(6, [route("r", "/new/", "plain")]))
    system.store.forget_history()
    await asyncio.sleep(1.0)
    assert (await system.send("/new/x"))[0] == 200


async def test_shutdown_cuts_no_request(system):
    """A request in flight at SIGTERM ends with its answer."""
    set_fault(system, "plain", "slow")
    sent = asyncio.create_task(system.send("/order/x", method="POST"))
    await asyncio.sleep(0.1)
    drained = asyncio.create_task(system.gateways[0].drain())
    assert (await sent)[0] == 200
    assert system.gateways[0].unready_reason() == "leaving"
    assert await drained == 0
