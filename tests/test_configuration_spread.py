"""A changed configuration reaches many hosts over a weak link of the leader."""

import asyncio

import pytest

from .host_fleet import SETTLING_S, HostFleet

APPLY_LIMIT_S = 2.0
"""Time in which a change has to be in force on every host (according to the platform's
documentation)."""

LINK_BYTES_PER_S = 10_000_000 / 8
"""Link of most hosts of the users' largest deployments."""

HOSTS = 12
MORE_ROUTES = 1_500
CHANGE_INTERVAL_S = 0.33


MAX_LINK_SHARE = 0.1
"""A host gets what changed, not the document: the link carries a tenth of the whole
documents at most."""


@pytest.fixture
async def start_fleet(tmp_path):
    fleet = HostFleet(tmp_path, MORE_ROUTES)

    async def start(hosts):
        await fleet.start(hosts)
        return fleet

    yield start
    await fleet.close()


async def assert_spreads(fleet, changes=1):
    """Change one route after the other while the leader's link is weak."""
    link = fleet.limit_leader_link(LINK_BYTES_PER_S)
    carried_bytes = link.carried_bytes
    for _ in range(changes - 1):
        fleet.system.configure()
        await asyncio.sleep(CHANGE_INTERVAL_S)
    fleet.system.configure()
    times_s, _ = await asyncio.gather(
        fleet.measure_spread(), asyncio.sleep(APPLY_LIMIT_S)
    )
    hosts = len(fleet.system.gateways)
    assert len(times_s) == hosts
    assert max(times_s.values()) <= APPLY_LIMIT_S, times_s
    whole_bytes = changes * hosts * fleet.system.configuration_bytes
    assert link.carried_bytes - carried_bytes < MAX_LINK_SHARE * whole_bytes


async def test_changed_route_over_a_weak_link_of_the_leader(start_fleet):
    """One changed route took the leader's link for seconds, as each host was sent the
    whole document; most gave the response up and read the store."""
    await assert_spreads(await start_fleet(HOSTS))


async def test_storm_of_changes_over_a_weak_link_of_the_leader(start_fleet):
    """Each version of a storm was another whole document for each host, so the link
    was full for seconds after the last one."""
    await assert_spreads(await start_fleet(HOSTS), changes=10)


async def test_hosts_without_the_store_over_a_weak_link_of_the_leader(start_fleet):
    """Hosts that could not read the store followed after 2.4 s: the responses that they
    gave up filled the leader's link."""
    fleet = await start_fleet(2 * HOSTS)
    for gateway in fleet.system.gateways[:HOSTS]:
        if gateway is not fleet.system.leader():
            gateway.store_proxy.mode = "silent"
    await asyncio.sleep(SETTLING_S)
    await assert_spreads(fleet)
