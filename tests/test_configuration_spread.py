"""A changed configuration reaches many hosts over a weak link of the leader."""

import asyncio

import pytest

from .host_fleet import SETTLING_S, HostFleet

APPLY_LIMIT_S = 2.0
"""Time in which a change has to be in force on every host (according to the platform's
documentation)."""

HOSTS = 6
LINK_BYTES_PER_S = 2_500_000 / 8
"""The part of these hosts of the 10 Mbit/s that a leader has for 24 or more."""

MORE_ROUTES = 1_500
CHANGE_INTERVAL_S = 0.33

MAX_LINK_SHARE = 0.1
"""A host gets what changed, not the document: the link carries a tenth of the whole
documents at most."""


@pytest.fixture
async def fleet(tmp_path):
    fleet = HostFleet(tmp_path, MORE_ROUTES)
    await fleet.start(HOSTS)
    yield fleet
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
    assert len(times_s) == HOSTS
    assert max(times_s.values()) <= APPLY_LIMIT_S, times_s
    whole_bytes = changes * HOSTS * fleet.system.configuration_bytes
    assert link.carried_bytes - carried_bytes < MAX_LINK_SHARE * whole_bytes


async def test_changed_route_over_a_weak_link_of_the_leader(fleet):
    """One changed route took the leader's link for seconds, as each host was sent the
    whole document; most gave the response up and read the store."""
    await assert_spreads(fleet)


async def test_storm_of_changes_over_a_weak_link_of_the_leader(fleet):
    """Each version of a storm was another whole document for each host, so the link
    was full for seconds after the last one."""
    await assert_spreads(fleet, changes=10)


async def test_hosts_without_the_store_over_a_weak_link_of_the_leader(fleet):
    """Hosts that could not read the store followed too late: the responses that they
    gave up filled the leader's link."""
    for gateway in fleet.system.gateways[: HOSTS // 2]:
        if gateway is not fleet.system.leader():
            gateway.store_proxy.mode = "silent"
    await asyncio.sleep(SETTLING_S)
    await assert_spreads(fleet)
