"""Requests whose callers have left reach no server (issue 40, GONE)."""

import asyncio
import socket
import threading
import time

import pytest

from .gateway_system import GatewaySystem

LATE_PASS_S = 0.8
CALLERS = 12
PIPELINED = 60


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start()
    await system.wait_until_ready()
    for number in range(2 * CALLERS):
        await system.send("/read/x", f"warm-{number}")
    yield system
    await system.close()


def message(attempt, method="GET", path="/read/x", body=b"", deadline_ms=2000):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Request-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def connect(system):
    host, _, port = system.gateways[0].settings.callers_address.rpartition(":")
    return socket.create_connection((host, int(port)))


def executed(system, prefix):
    return [
        attempt
        for server in system.servers.values()
        for attempt in server.executed_attempts
        if attempt.startswith(prefix)
    ]


async def hold_up_loop(act):
    """Run ``act`` in a thread while the event loop stands still."""
    thread = threading.Thread(target=act)
    thread.start()
    time.sleep(LATE_PASS_S)
    thread.join()
    await asyncio.sleep(0.5)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("new_connections", [False, True])
async def test_caller_that_left_during_a_late_pass(system, method, new_connections):
    """Requests and closes that arrive in one pass: the request was sent first."""
    body = b"payload" if method == "POST" else b""
    callers = [connect(system) for _ in range(CALLERS)]
    await asyncio.sleep(0.1)

    def send_and_leave():
        if new_connections:
            for caller in callers:
                caller.close()
            callers[:] = [connect(system) for _ in range(CALLERS)]
        for number, caller in enumerate(callers):
            caller.sendall(message(f"left-{number}", method, body=body))
        time.sleep(0.1)
        for caller in callers:
            caller.close()

    await hold_up_loop(send_and_leave)
    assert executed(system, "left-") == []


async def test_time_budget_counts_from_the_arrival(system):
    """A deadline that passes during a late pass is not started anew after it."""
    caller = connect(system)
    await asyncio.sleep(0.1)
    await hold_up_loop(lambda: caller.sendall(message("late-1", deadline_ms=300)))
    caller.close()
    assert executed(system, "late-") == []


async def test_caller_that_left_with_many_pipelined_requests(system):
    """The gateway reads no further than some requests, so it did not see the close."""
    requests = [message(f"pipe-{number}") for number in range(PIPELINED)]
    await leave_behind(system, b"".join(requests))
    await asyncio.sleep(0.5)
    assert executed(system, "pipe-") == []


async def test_caller_that_left_with_a_large_pipelined_body(system):
    """Nothing is read behind a body that waits for its turn."""
    await leave_behind(system, message("body-1", "POST", body=bytes(2_000_000)))


async def leave_behind(system, pipelined):
    """Leave while a request is worked on and others wait behind it.

    The work must end within half a second, before the route's timeout of 800 ms.
    """
    for server in system.servers.values():
        server.slow_path, server.work_s = "/read/slow", 5.0
    caller = connect(system)
    caller.setblocking(False)
    caller.sendall(message("slow", path="/read/slow"))
    await asyncio.sleep(0.1)
    assert caller.send(pipelined) > 5_000
    await asyncio.sleep(0.05)
    caller.close()
    await asyncio.sleep(0.5)
    assert sum(server.abandoned_requests for server in system.servers.values()) == 1
