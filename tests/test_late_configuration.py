"""Configurations that came into force late, though every host was healthy."""

import asyncio

import pytest

from standins.platform_documents import CONFIGURATION_KEY, configuration, route

from .gateway_system import ROUTES, GatewaySystem

APPLY_LIMIT_S = 2.0
"""Time in which a change has to be in force on every host (according to the platform's
documentation)."""

MAX_CALLS = 2
"""One list and one watch."""

NEW_ROUTES = [*ROUTES, route("new", "/new/", "plain")]


@pytest.fixture
async def fleet(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(gateways=3)
    await system.wait_until_ready()
    await asyncio.sleep(1.5)
    # Ends the watches that followers sent before they followed.
    system.store.put(CONFIGURATION_KEY, configuration(9, ROUTES))
    await asyncio.sleep(1.0)
    yield system
    await system.close()


def leader_and_followers(system):
    leaders = [g for g in system.gateways if g._election.authority is not None]
    assert len(leaders) == 1
    return leaders[0], [g for g in system.gateways if g is not leaders[0]]


async def assert_served_by(system, gateways):
    """Write a configuration with a new route; each host has to serve it in time."""
    system.store.put(CONFIGURATION_KEY, configuration(10, NEW_ROUTES))
    await asyncio.sleep(APPLY_LIMIT_S)
    for gateway in gateways:
        index = system.gateways.index(gateway)
        status, _, _ = await system.send("/new/a", f"n{index}", index)
        assert status == 200, gateway.status()


async def test_followers_of_a_leader_whose_watch_hears_nothing(fleet):
    """Followers kept the old configuration for up to 18 s, as the leader's list of
    servers was fresh and its watch of the configuration was never answered."""
    leader, followers = leader_and_followers(fleet)
    watch = leader._watcher._store.watch

    async def watch_all_but_the_configuration(prefix, revision, wait_s):
        if prefix == CONFIGURATION_KEY:
            await asyncio.Event().wait()
        return await watch(prefix, revision, wait_s)

    leader._watcher._store.watch = watch_all_but_the_configuration
    # Ends the leader's watch that is waiting.
    fleet.store.put(CONFIGURATION_KEY, configuration(9, ROUTES))
    await asyncio.sleep(3.0)
    await assert_served_by(fleet, followers)


async def test_followers_of_a_leader_that_refuses_the_configuration(fleet):
    """A leader of another build that could not read a document kept it from all."""
    leader, followers = leader_and_followers(fleet)
    decode = leader._view.configuration._decode_routes

    def refuse_new(content):
        if b"/new/" in content:
            raise ValueError("a field of another build")
        return decode(content)

    leader._view.configuration._decode_routes = refuse_new
    await assert_served_by(fleet, followers)


async def test_followers_read_a_configuration_that_nobody_can_read_once(fleet):
    """Each host of a fleet listed it again and again as long as it stood."""
    _, followers = leader_and_followers(fleet)
    before = [sum(gateway._store.calls.values()) for gateway in followers]
    fleet.store.put(CONFIGURATION_KEY, b'{"version": "r10", "routes"')
    await asyncio.sleep(6.0)
    after = [sum(gateway._store.calls.values()) for gateway in followers]
    assert max(a - b for a, b in zip(after, before, strict=True)) <= MAX_CALLS
