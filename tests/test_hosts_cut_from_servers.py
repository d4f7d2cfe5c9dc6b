"""Hosts that lose the path to all servers, while callers and other hosts reach them."""

import asyncio
import time
from collections import Counter

import pytest

from .gateway_system import GatewaySystem
from .host_paths import HostPath

HOSTS = 3
CONTACT_S = 3.0
"""Time after which a host has to serve its callers by another path."""

MEASURED_S = 3.0
MIN_SERVED_SHARE = 2 / 3
CALLS_PER_S = 15
"""Requests of each kind at each host."""

KINDS = ("read", "order", "keyed")
FORMS = ("reset", "silent", "one-way", "refuse-new")


@pytest.fixture
async def fleet(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(plain=4, keyed=4, gateways=0)
    system.paths = []
    for index in range(HOSTS):
        path = HostPath()
        system.paths.append(path)
        await system.add_gateway(index, path)
    await system.wait_until_ready()
    await asyncio.sleep(1.0)
    yield system
    for path in system.paths:
        await path.close()
    await system.close()


def leader_index(fleet):
    return next(
        index
        for index, gateway in enumerate(fleet.gateways)
        if gateway._election.authority is not None
    )


async def call_all_hosts(fleet, duration_s, path_of=lambda kind: f"/{kind}/x"):
    """Send requests of all kinds to all hosts; return (sent_s, host, kind, status)."""
    started_s = time.monotonic()
    results = []

    async def call(number, host, kind):
        sent_s = time.monotonic() - started_s
        key = number * 4_099 % 65_536 if kind == "keyed" else None
        attempt = f"{kind}-{host}-{number}"
        status, _, _ = await fleet.send(path_of(kind), attempt, host, key=key)
        results.append((sent_s, host, kind, status))

    async with asyncio.TaskGroup() as group:
        for number in range(int(duration_s * CALLS_PER_S)):
            for host in range(HOSTS):
                for kind in KINDS:
                    group.create_task(call(number, host, kind))
            next_s = started_s + (number + 1) / CALLS_PER_S
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    return results


def served_share(results, hosts, kinds=KINDS, since_s=CONTACT_S):
    """Return the share of requests served among those sent later than ``since_s``."""
    statuses = [
        status
        for sent_s, host, kind, status in results
        if sent_s >= since_s and host in hosts and kind in kinds
    ]
    return sum(status == 200 for status in statuses) / len(statuses)


def executed_counts(fleet, prefix):
    """Return how often each request whose id begins so was executed."""
    return Counter(
        attempt
        for server in fleet.servers.values()
        for attempt in server.executed_attempts
        if attempt.startswith(prefix)
    )


@pytest.mark.parametrize("form", FORMS)
async def test_callers_of_a_host_without_a_path_to_servers_are_served(fleet, form):
    """Guards against a host that refuses what another host could send."""
    cut = (leader_index(fleet) + 1) % HOSTS
    fleet.paths[cut].cut(form)
    results = await call_all_hosts(fleet, CONTACT_S + MEASURED_S)
    others = served_share(results, {*range(HOSTS)} - {cut})
    assert served_share(results, {cut}) >= MIN_SERVED_SHARE * others
    assert others > 0.95
    assert set(executed_counts(fleet, "order").values()) == {1}


async def test_keys_are_served_while_the_leader_has_no_path_to_servers(fleet):
    """Guards against a leader that keeps its lease while its grants run out."""
    cut = leader_index(fleet)
    fleet.paths[cut].cut("silent")
    results = await call_all_hosts(fleet, CONTACT_S + MEASURED_S)
    assert served_share(results, {*range(HOSTS)} - {cut}, ("keyed",), 0.0) > 0.95


async def test_host_without_a_path_to_servers_blocks_no_request(fleet):
    """Guards against a cut that is reported as the crash of all servers: what one
    caller sends often was in flight at each of them."""
    for server in fleet.servers.values():
        server.fault = "slow"
    cut = (leader_index(fleet) + 1) % HOSTS
    calls = asyncio.create_task(call_all_hosts(fleet, CONTACT_S))
    await asyncio.sleep(1.0)
    fleet.paths[cut].cut("reset")
    await calls
    for gateway in fleet.gateways:
        assert gateway._metrics.value("requests_at_crashes_total") == 0
