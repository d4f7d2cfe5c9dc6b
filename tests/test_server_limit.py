"""Servers that name the request rate that they take from all hosts together."""

import asyncio
import time

import pytest

from .gateway_system import GatewaySystem

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
SETTLING_S = 1.0
"""Time after which all hosts have to keep a limit that one of them was told."""

ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 40


@pytest.fixture
async def fleet(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(gateways=3)
    await system.wait_until_ready()
    yield system
    await system.close()


async def call_steadily(fleet, path, duration_s, key_of=lambda _number: None):
    """Send requests to all hosts in turn; return their statuses."""
    started_s = time.monotonic()
    tasks = []
    for number in range(int(duration_s * CALLS_PER_S)):
        await asyncio.sleep(max(0, started_s + number / CALLS_PER_S - time.monotonic()))
        call = fleet.send(path, f"n{number}", number % 3, key=key_of(number))
        tasks.append(asyncio.create_task(call))
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def most_in_window(server, since_s):
    """Return the most requests that arrived within any :data:`WINDOW_S`."""
    arrivals = [at_s for at_s in server.arrivals_s if at_s >= since_s]
    return max(
        (sum(start <= at_s < start + WINDOW_S for at_s in arrivals))
        for start in [since_s, *arrivals]
    )


@pytest.mark.parametrize("service", ["plain", "keys"])
async def test_servers_that_name_a_limit_get_no_more_from_all_hosts(fleet, service):
    """Guards against hosts that ignore a limit, or each use the whole of it."""
    servers = [s for s in fleet.servers.values() if s.service == service]
    for server in servers:
        server.limit = str(LIMIT_PER_S)
    named_s = time.monotonic()
    path = "/read/x" if service == "plain" else "/keyed/x"
    await call_steadily(fleet, path, 6.0, lambda number: number * 997 % 65_536)
    for server in servers:
        count = most_in_window(server, named_s + SETTLING_S)
        assert 4 <= count <= ALLOWED_IN_WINDOW
