"""Targets of requests, which reach servers byte for byte."""

import asyncio

import pytest

from .gateway_system import GatewaySystem

HEAD = "GET {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: n1\r\n\r\n"

TARGETS = (
    "/read/x?", "/read/?", "/read/a%20b?", "/read/x??", "/read/x?a=1&b=", "/read/x?%3f",
    "/read//x", "/read/%2f", "/read/%2F?", "/read/;?;", "/read/x;a=b",
    "/read/../read/x", "/read/./x", "/read/%zz", "/read/x%", "/read/x+y?z+",
    "/read/x?a=//b", "/read/x?/?",
)  # fmt: skip


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start(keyed=0)
    await system.wait_until_ready()
    yield system
    await system.close()


async def send_target(system, target):
    """Return the status line of the response."""
    host, _, port = system.gateways[0].settings.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(HEAD.format(target).encode())
    status_line = await reader.readline()
    writer.close()
    return status_line


@pytest.mark.parametrize("target", TARGETS)
async def test_target_arrives_as_it_was_sent(system, target):
    """Guards against an empty query that is left out (review/15), and other changes."""
    assert b" 200 " in await send_target(system, target)
    (received,) = [r for s in system.servers.values() for r in s.executed_requests]
    assert received[1] == target


@pytest.mark.parametrize("target", ["/read/x#y", "/read/x?#", "/read/#"])
async def test_fragment_is_refused(system, target):
    """Guards against a target that arrives without the fragment that was sent."""
    assert b" 400 " in await send_target(system, target)
    assert not any(s.executed_requests for s in system.servers.values())
