"""Servers that name the request rate that they take from all hosts together."""

import asyncio
import time

import pytest

from jacinthpath.gateway.clock import boottime_s

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


async def test_refused_caller_is_told_when_to_return(fleet):
    """Guards against callers that wait for a permit, or are told nothing."""
    for server in fleet.servers.values():
        server.limit = "0.5"
    for number in range(12):
        await fleet.send("/keyed/x", f"n{number}", number % 3, key=number * 5_000)
    sent_s = time.monotonic()
    replies = [await fleet.send("/read/x", f"r{number}") for number in range(8)]
    replies += [
        await fleet.send("/keyed/x", f"k{number}", key=9) for number in range(8)
    ]
    assert time.monotonic() - sent_s < 1.0
    refused = [headers for status, headers, _ in replies if status == 503]
    assert len(refused) >= 10
    assert all(0.2 < float(headers["Retry-After"]) < 4 for headers in refused)


async def test_limit_that_is_raised_or_ends_is_noticed_by_all_hosts(fleet):
    """Guards against a server that keeps getting less than it takes again."""
    server = fleet.servers["p0"]
    server.limit = fleet.servers["p1"].limit = "2"
    await call_steadily(fleet, "/read/x", 2.0)
    assert all(gateway._view.limits.digest(boottime_s()) for gateway in fleet.gateways)
    server.limit = fleet.servers["p1"].limit = ""
    await call_steadily(fleet, "/read/x", 2.0)
    assert await call_steadily(fleet, "/read/x", 1.0) == [200] * CALLS_PER_S


async def test_restarted_server_is_not_held_to_its_earlier_limit(fleet):
    for server in fleet.servers.values():
        server.limit = "0.5"
    await call_steadily(fleet, "/read/x", 0.5)
    for name in ("p0", "p1"):
        fleet.servers[name].limit = ""
        fleet.servers[name].restart()
        fleet.store.put(f"servers/{name}", fleet.servers[name].entry())
    await asyncio.sleep(1.0)
    assert await call_steadily(fleet, "/read/x", 0.5) == [200] * (CALLS_PER_S // 2)


async def test_limit_is_kept_while_the_leader_stops(fleet):
    """Guards against a limit that the old and the new leader both use up."""
    servers = [s for s in fleet.servers.values() if s.service == "plain"]
    for server in servers:
        server.limit = str(LIMIT_PER_S)
    await call_steadily(fleet, "/read/x", 1.0)
    named_s = time.monotonic()
    calls = asyncio.create_task(call_steadily(fleet, "/read/x", 8.0))
    await asyncio.sleep(1.0)
    leader = next(g for g in fleet.gateways if g._election.authority is not None)
    await leader._election.resign()
    await calls
    for server in servers:
        assert 4 <= most_in_window(server, named_s) <= ALLOWED_IN_WINDOW


async def test_keys_of_a_limited_owner_are_served_by_others(fleet):
    """Guards against keys that are refused while other servers could serve them."""
    fleet.servers["k0"].limit = str(LIMIT_PER_S)

    def key_of(number):
        return number * 997 % 65_536

    await call_steadily(fleet, "/keyed/x", 5.0, key_of)
    statuses = await call_steadily(fleet, "/keyed/x", 3.0, key_of)
    assert statuses.count(200) >= 0.95 * len(statuses)
