"""A planned stop of a gateway: what it takes until its end, and what it refuses."""

import asyncio
import os
import signal
import time
from typing import NamedTuple

import pytest

from jacinthpath import daemon
from jacinthpath.gateway.shutdown_window import EXIT_MARGIN_S, ShutdownWindow
from jacinthpath.gateway.waiting import ShutdownTimeout
from standins.platform_documents import CONFIGURATION_KEY, configuration, route

from .gateway_system import GatewaySystem

GRACE_S = 6.0
WORK_S = 2.0
ROUTES = [
    route("order", "/order/", "plain", kind="non_idempotent", timeout="4000ms"),
    route("brief", "/brief/", "plain", kind="non_idempotent", timeout="500ms"),
    route("read", "/read/", "plain", timeout="4000ms"),
    route("keyed", "/keyed/", "keys", kind="non_idempotent", timeout="4000ms"),
]


TIMEOUTS_S = {"/order/a": 4.0, "/brief/a": 0.5, "/read/a": 4.0, "/keyed/a": 4.0}


class Upload(NamedTuple):
    """A request whose last byte is sent at a time after the signal to stop."""

    path: str
    opened_s: float
    complete_s: float


class Outcome(NamedTuple):
    """What the caller got; status 0 means that the connection closed without a word."""

    status: int
    closes: bool
    answered_s: float


UPLOADS = [
    Upload(path, opened_s, complete_s)
    for path in ("/order/a", "/brief/a", "/read/a", "/keyed/a")
    for opened_s, complete_s in (
        (0.2, 0.4),
        (0.3, 1.5),
        (0.5, 2.9),
        (1.0, 3.05),
        (1.4, 4.2),
        (2.0, 4.9),
        (2.4, 5.35),
        (2.4, 7.0),
    )
]


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start()
    system.store.put(CONFIGURATION_KEY, configuration(5, ROUTES))
    await system.wait_until_ready()
    await asyncio.sleep(0.3)
    yield system
    await system.close()


async def send_upload(address, number, upload, stopped_at_s):
    """Send the head of a request at once and the last byte of its body late."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    await asyncio.sleep(stopped_at_s + upload.opened_s - loop.time())
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = [
        f"POST {upload.path} HTTP/1.1",
        "Host: h.example",
        f"X-Attempt-Id: u{number}",
        "X-Request-Deadline-Ms: 9000",
        "X-Shard-Key: 7",
        "Content-Length: 4",
    ]
    writer.write("\r\n".join([*fields, "", "abc"]).encode())
    response = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
    wait_s = stopped_at_s + upload.complete_s - loop.time()
    done, _ = await asyncio.wait({response}, timeout=wait_s)
    if not done:
        writer.write(b"d")
    try:
        head = (await response).decode().lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Outcome(0, True, loop.time() - stopped_at_s)
    finally:
        writer.close()
    closes = "connection: close" in head
    return Outcome(int(head.split(" ")[1]), closes, loop.time() - stopped_at_s)


async def test_stop_cuts_no_request_that_it_has_taken(system):
    """Report 3 of issue 37: requests that came late in the grace period were passed on,
    and closed without an answer at its end."""
    for server in system.servers.values():
        server.fault, server.work_s = "slow", WORK_S
    gateway = system.gateways[0]
    stopped_at_s = asyncio.get_running_loop().time()
    draining = asyncio.create_task(gateway.drain())
    address = gateway.settings.callers_address
    sending = [
        asyncio.create_task(send_upload(address, number, upload, stopped_at_s))
        for number, upload in enumerate(UPLOADS)
    ]
    assert await draining == 0
    await gateway.stop()
    outcomes = await asyncio.gather(*sending)
    executed = {
        attempt
        for server in system.servers.values()
        for attempt in server.executed_attempts
    }
    for number, (upload, outcome) in enumerate(zip(UPLOADS, outcomes, strict=True)):
        assert outcome.closes, (upload, outcome)
        assert outcome.status in (200, 503, 504), (upload, outcome)
        if outcome.status == 503:
            assert f"u{number}" not in executed, (upload, outcome)
        if outcome.status == 504:
            took_s = outcome.answered_s - upload.opened_s
            assert took_s > TIMEOUTS_S[upload.path] - 0.1, (upload, outcome)
        assert outcome.answered_s < GRACE_S
    statuses = {
        (upload.path, upload.opened_s): outcome.status
        for upload, outcome in zip(UPLOADS, outcomes, strict=True)
    }
    # What fits into the rest of the grace period is still served.
    assert statuses["/order/a", 0.2] == statuses["/keyed/a", 0.2] == 200
    assert statuses["/read/a", 0.2] == 200


class StartedService:
    """What a daemon sees of a gateway that a test has started."""

    def __init__(self, gateway):
        self.drain = gateway.drain

    async def start(self):
        pass

    async def wait(self):
        await asyncio.Event().wait()

    async def stop(self):
        pass


async def test_grace_period_counts_from_the_arrival_of_the_signal(system):
    """Guards against a host that is killed in its drain because its event loop was late
    when the signal came."""
    loop = asyncio.get_running_loop()
    window = system.gateways[0]._shutdown_window
    running = asyncio.create_task(daemon._run(StartedService(system.gateways[0])))
    await asyncio.sleep(0.2)

    def hold_loop():
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.8)

    signalled_s = loop.time()
    loop.call_soon(hold_loop)
    async with asyncio.timeout(2.0):
        while not window.is_open:
            await asyncio.sleep(0.01)
    assert window.end_s <= signalled_s + GRACE_S - EXIT_MARGIN_S + 0.05
    assert await running == 0


def test_window_takes_what_ends_in_time():
    window = ShutdownWindow()
    assert window.admits(100.0, idempotent=False, now_s=0.0)
    window.open(10.0, GRACE_S)
    assert window.admits(15.0, idempotent=False, now_s=14.0)
    assert not window.admits(15.6, idempotent=False, now_s=10.1)
    assert window.admits(40.0, idempotent=True, now_s=12.9)
    assert not window.admits(40.0, idempotent=True, now_s=13.1)
    assert window.admits(15.0, idempotent=True, now_s=14.0)


def test_window_lets_what_has_waited_be_sent_while_it_very_likely_ends_in_time():
    window = ShutdownWindow()
    assert window.admits_attempt(100.0, 50.0, idempotent=False, now_s=0.0)
    window.open(10.0, GRACE_S)
    assert window.admits_attempt(40.0, 1.0, idempotent=False, now_s=13.3)
    assert not window.admits_attempt(40.0, 1.0, idempotent=False, now_s=13.5)
    assert window.admits_attempt(40.0, 9.0, idempotent=True, now_s=12.9)
    assert not window.admits_attempt(40.0, 9.0, idempotent=True, now_s=13.1)


async def test_wait_ends_when_the_window_opens_in_time_to_respond():
    """Guards against waits that learn of a stop only if they begin after it."""
    window, loop = ShutdownWindow(), asyncio.get_running_loop()
    with pytest.raises(TimeoutError):
        async with ShutdownTimeout(window):
            now_s = loop.time()
            loop.call_later(0.1, window.open, now_s, 0.8)
            await asyncio.sleep(5.0)
    assert 0.1 < loop.time() - now_s < 0.3
    assert not window.on_open


async def test_wait_whose_time_is_up_does_not_disturb_a_stop():
    """The timeout of an upload could not be set again, and the stop failed."""
    window = ShutdownWindow()
    with pytest.raises(TimeoutError):
        async with ShutdownTimeout(window, 0.0) as timeout:
            try:
                await asyncio.sleep(1.0)
            except asyncio.CancelledError:
                window.open(asyncio.get_running_loop().time(), GRACE_S)
                timeout.end_now()
                raise
    assert not window.on_open
