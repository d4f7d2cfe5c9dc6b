"""What servers say about their load and their cold time."""

import asyncio

import pytest
from multidict import CIMultiDict

from jacinthpath.codec import new_frame
from jacinthpath.gateway.body_memory import BodyMemory
from jacinthpath.gateway.exchange import (
    AttemptResult,
    CallerRequest,
    HealthReport,
    Outcome,
    ServerLoad,
    ServerNotice,
)
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.relay_messages import read_relayed, write_relayed
from jacinthpath.platform.server_notice import read_notice
from jacinthpath.platform.servers import ServerClient
from standins.platform_server import HEALTH_PATH, PlatformServerStandIn

UNREADABLE_LOADS = (
    "", "1", "1,2", "1,2,3,4,5", "1,2,3,", ",1,2,3", "-1,0,3", "+1,0,3", "1,2,0",
    "1.5,2,3", "1e1,2,3", "nan,2,3", "1,2,100001", "1,2,9999999999", "1,2,3,0",
    "1,2,3,9", "1,2,3,100001", "1;2;3", "0x1,2,3", "\u0661,2,3", "1,2,3" + ",1" * 9_000,
)  # fmt: skip

UNREADABLE_WARMUPS = ("", "-1", "1.5", "600001", "9" * 400, "3s", "nan", "\u00b2")


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("2,5,3", ServerLoad(2, 5, 3, 1.0)),
        ("0,0,3,300", ServerLoad(0, 0, 3, 3.0)),
        (" 1, 2,\t3 , 150 ", ServerLoad(1, 2, 3, 1.5)),
        *((value, None) for value in UNREADABLE_LOADS),
    ],
)
def test_loads_out_of_bounds_are_ignored_and_named(value, load):
    """Guards against a server that changes its share of load by absurd figures."""
    notice = read_notice(CIMultiDict({"X-Server-Load": value}))
    assert notice.load == load
    assert bool(notice.malformed) is (load is None)
    assert len(notice.malformed) < 100


@pytest.mark.parametrize(
    ("value", "warmup_left_s"),
    [("0", 0.0), ("2500", 2.5), *((value, None) for value in UNREADABLE_WARMUPS)],
)
def test_warmup_out_of_bounds_is_ignored_and_named(value, warmup_left_s):
    """Guards against a server that is taken for cold for days."""
    notice = read_notice(CIMultiDict({"X-Warmup-Ms": value}))
    assert notice.warmup_left_s == warmup_left_s
    assert bool(notice.malformed) is (warmup_left_s is None)


def test_repeated_field_is_ignored_without_effect_on_the_others():
    """Guards against the choice of one of two figures that contradict each other, and
    against a malformed load that hides whether the server still names a limit."""
    fields = CIMultiDict([("X-Server-Load", "1,0,3"), ("X-Server-Load", "0,0,9")])
    fields["X-Warmup-Ms"] = "100"
    notice = read_notice(fields)
    assert (notice.load, notice.warmup_left_s) == (None, 0.1)
    assert notice.malformed == "X-Server-Load: 1,0,3, 0,0,9"
    assert not notice.limit_unreadable
    assert read_notice(CIMultiDict({"Server-Limit": "x"})).limit_unreadable


MAX_IN_BUFFERS_BYTES = 16 * 1024 * 1024
"""The system's buffers at both ends of a loopback connection hold less."""


@pytest.fixture
async def connected():
    """A client, a server, and what the client knows of it."""
    server = PlatformServerStandIn("s1", "plain")
    await server.start()
    client = ServerClient(BodyMemory())
    await client.start()
    yield client, server, Backend("s1", "plain", server.address, "a", 3, False, 0, 1, 1)
    await client.close()
    await server.close()


async def test_response_carries_load_and_cold_time(connected):
    client, server, backend = connected
    server.load, server.warmup_ms = "1,4,3,250", "1200"
    now_s = asyncio.get_running_loop().time()
    headers = CIMultiDict({"Host": "h", "X-Attempt-Id": "a"})
    request = CallerRequest("a", "GET", "h", "/x", "/x", None, now_s, 1.0, headers, b"")
    for server.fault in ("", "overloaded"):
        result = await client.send(request, backend, 1.0)
        assert result.notice.load == ServerLoad(1, 4, 3, 2.5)
        assert result.notice.warmup_left_s == 1.2


async def test_health_check_returns_what_the_server_says(connected):
    client, server, backend = connected
    server.load, server.warmup_ms = "0,0,3", "700"
    for server.healthy in (True, False):
        report = await client.check_health(backend, HEALTH_PATH)
        assert report.healthy is server.healthy
        assert report.notice.load == ServerLoad(0, 0, 3)
        assert report.notice.warmup_left_s == 0.7


@pytest.mark.parametrize("fault", ["body", "chunks", "interim", "trailer", "head"])
async def test_health_check_does_not_take_bytes_without_end(connected, fault):
    """Guards against a connection that goes on receiving after the check (issue 52)."""
    client, server, backend = connected
    server.fault = f"endless-{fault}"
    await client.check_health(backend, HEALTH_PATH)
    async with asyncio.timeout(1.0):
        while server.open_connections:
            await asyncio.sleep(0.01)
    assert server.sent_bytes < MAX_IN_BUFFERS_BYTES


async def test_health_check_takes_no_notice_of_another_server(connected):
    """Guards against the load of a server that has taken over an address."""
    client, server, backend = connected
    server.load = "0,0,3"
    other = backend._replace(server="s2")
    assert await client.check_health(other, HEALTH_PATH) == HealthReport(False)
    assert await client.responds(other, HEALTH_PATH)
    await server.close()
    assert await client.check_health(backend, HEALTH_PATH) is None
    assert not await client.responds(backend, HEALTH_PATH)


@pytest.mark.parametrize("load", [None, ServerLoad(1, 2, 3, 2.5)])
@pytest.mark.parametrize("warmup_left_s", [None, 0.0, 1.25])
def test_relayed_response_keeps_load_and_cold_time(load, warmup_left_s):
    """Guards against a host without a path that takes a full server for an idle one."""
    notice = ServerNotice(load=load, warmup_left_s=warmup_left_s, received_s=5.0)
    assert relay(notice) == notice


def test_relayed_response_tells_of_another_server_at_the_address():
    """Guards against retries that only cost the server which has got the address."""
    notice = ServerNotice(of_another_server=True, received_s=5.0)
    assert relay(notice) == notice


def relay(notice):
    """Return the notice of a response after a relay."""
    content = new_frame().body.init("relayed")
    write_relayed(content, AttemptResult(Outcome.REFUSED, "", notice=notice), True)
    return read_relayed(content, "g1", 5.0).result.notice
