"""Servers that run a request and respond with a status that says it has not run."""

import pytest

from jacinthpath.gateway.attempts import StepKind, next_step
from jacinthpath.gateway.exchange import AttemptResult, Outcome, local_response
from standins.platform_documents import route

from .gateway_system import ROUTES, GatewaySystem
from .test_gateway_attempts import route as route_of_kind

STATUSES = [408, 429, 503]
LARGE_BYTES = 3_000_000
"""More than a host holds of a response, so that its body is streamed."""


class OrderSystem(GatewaySystem):
    """A system with orders for servers that own keys, too."""

    routes = [*ROUTES, route("book", "/book/", "keys", kind="non_idempotent")]


@pytest.fixture
async def system(tmp_path):
    system = OrderSystem(tmp_path)
    await system.start()
    await system.wait_until_ready()
    yield system
    await system.close()


def fail_after_running(servers, status, padding_bytes=0):
    for server in servers:
        server.fault = "invalid-status"
        server.status_line = f"HTTP/1.1 {status} Failed".encode()
        server.padding_bytes = padding_bytes


def runs(system, attempt):
    return sum(
        server.executed_attempts.count(attempt) for server in system.servers.values()
    )


def assert_promises_nothing(status, headers):
    assert status == 502
    assert "X-Server-Signature" not in headers
    assert "Retry-After" not in headers


@pytest.mark.parametrize("padding_bytes", [0, LARGE_BYTES])
@pytest.mark.parametrize("path", ["/order/x", "/book/x"])
@pytest.mark.parametrize("status", STATUSES)
async def test_order_that_ran_is_not_promised_to_have_not_run(
    system, status, path, padding_bytes
):
    """Guards against an order that is booked twice: its caller sends it again after a
    status by which it has not run (review/13)."""
    fail_after_running(system.servers.values(), status, padding_bytes)
    found, headers, body = await system.send(
        path, "n1", method="POST", data=b"order", key=7
    )
    assert_promises_nothing(found, headers)
    assert headers["X-Attempt-Id"] == "n1"
    assert b"may-have-run" in body
    assert runs(system, "n1") == 1


@pytest.mark.parametrize("status", STATUSES)
async def test_idempotent_request_gets_the_servers_own_status(system, status):
    """Guards against a failure that hides the server's response for no gain."""
    fail_after_running(system.servers.values(), status)
    found, headers, body = await system.send("/read/x", "n1")
    assert (found, body) == (status, b"answer to n1")
    assert headers["X-Server-Signature"].startswith("sig.p")


@pytest.mark.parametrize("status", [404, 409, 500, 502, 504])
async def test_other_statuses_of_orders_are_passed_on(system, status):
    """Guards against a replaced response whose status promises nothing."""
    fail_after_running(system.servers.values(), status)
    found, headers, body = await system.send("/order/x", "n1", method="POST")
    assert (found, body) == (status, b"answer to n1")
    assert headers["X-Server-Signature"].startswith("sig.p")


async def test_head_request_that_ran_gets_no_promise(system):
    fail_after_running(system.servers.values(), 503)
    status, headers, body = await system.send("/order/x", "n1", method="HEAD")
    assert_promises_nothing(status, headers)
    assert body == b""


async def test_order_that_ran_after_a_true_refusal_gets_no_promise(system):
    """Guards against a refusal that speaks for the first server only."""
    system.servers["p0"].fault = "overloaded"
    fail_after_running([system.servers["p1"]], 503)
    for number in range(10):
        attempt = f"n{number}"
        status, headers, _ = await system.send("/order/x", attempt, method="POST")
        if runs(system, attempt):
            assert_promises_nothing(status, headers)
    assert system.servers["p1"].executed_attempts


async def test_true_refusal_stays_a_promise(system):
    """Guards against an order that could come back and is told that it cannot."""
    for server in system.servers.values():
        server.fault = "overloaded"
    status, headers, _ = await system.send("/order/x", "n1", method="POST")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not runs(system, "n1")


async def test_server_with_a_limit_that_ran_an_order_promises_nothing(system):
    for server in system.servers.values():
        server.limit = "20"
    fail_after_running(system.servers.values(), 429)
    for number in range(4):
        attempt = f"n{number}"
        status, headers, _ = await system.send("/order/x", attempt, method="POST")
        if runs(system, attempt):
            assert_promises_nothing(status, headers)
        else:
            assert status == 503
    assert runs(system, "n0") == 1


async def test_failure_with_a_promising_status_is_no_sign_of_a_full_server(system):
    """Guards against a server that fails and is taken for one that rejects."""
    fail_after_running([system.servers["p0"]], 503)
    for number in range(20):
        await system.send("/order/x", f"n{number}", method="POST")
    metrics = system.gateways[0]._metrics
    labels = {"limited": "no", "path": "own"}
    assert metrics.value("attempts_total", outcome="failed", **labels) > 0
    assert metrics.value("attempts_total", outcome="refused", **labels) == 0


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("outcome", [Outcome.ANSWERED, Outcome.FAILED])
def test_the_host_that_asked_decides_on_a_relayed_response(outcome, status):
    """Guards against a relaying host of an older build, which passes on any status."""
    result = AttemptResult(outcome, "", local_response(status, "x"), relayed_by="older")
    order, read = route_of_kind(idempotent=False), route_of_kind()
    assert next_step(order, [result], 1, 1.0, 0.1, True, True).kind is StepKind.GIVE_UP
    step = next_step(read, [result], 1, 1.0, 0.1, False, True)
    assert step.kind is StepKind.RESPOND
