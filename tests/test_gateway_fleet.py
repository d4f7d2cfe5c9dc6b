"""Several gateways: one leader, and hosts that follow it."""

import asyncio

import pytest

from .gateway_system import GatewaySystem


@pytest.fixture
async def fleet(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(gateways=3)
    await system.wait_until_ready()
    yield system
    await system.close()


def leaders(system):
    return [g for g in system.gateways if g._leadership.authority is not None]


async def test_one_host_leads_and_all_serve_keys(fleet):
    assert len(leaders(fleet)) == 1
    for index in range(3):
        status, _, _ = await fleet.send("/keyed/x", f"n{index}", index, key=40_000)
        assert status == 200


async def test_metrics_tell_of_holds_and_failed_calls(fleet):
    """On-call engineers see keys that are about to be refused, and why."""
    (leader,) = leaders(fleet)
    fleet.store.mode = "busy"
    await asyncio.sleep(1.3)
    for gateway in fleet.gateways:
        metrics = gateway._metrics
        hold_s = metrics.value("shortest_hold_seconds")
        assert (hold_s > 0.5) is (gateway is leader)
    failed = {"call": "kv-keep", "outcome": "unavailable"}
    assert leader._metrics.value("store_call_failures_total", **failed) > 0
    fleet.store.mode = "up"


async def test_followers_leave_the_servers_entries_to_the_leader(fleet):
    """Store calls must not grow with the fleet."""
    await asyncio.sleep(1.0)
    follower = next(g for g in fleet.gateways if g not in leaders(fleet))
    before = follower._store.calls["kv-watch"]
    for _ in range(10):
        fleet.store.put("servers/p0", fleet.servers["p0"].entry())
        await asyncio.sleep(0.1)
    assert follower._store.calls["kv-watch"] - before <= 2


async def test_a_host_that_joins_learns_from_the_leader(fleet):
    """At the start of 90 hosts each of them read everything from the store."""
    await asyncio.sleep(0.5)
    joined = await fleet.add_gateway(5)
    await asyncio.sleep(1.0)
    assert joined.unready_reason() == ""
    assert joined._store.calls["kv-range"] == 2


async def test_a_host_turned_away_by_the_store_follows_its_peers(fleet):
    """It sent to a server 12 s after that had left (DRAIN)."""
    await asyncio.sleep(0.5)
    follower = next(g for g in fleet.gateways if g not in leaders(fleet))
    follower._store._base = "http://127.0.0.1:9"
    await asyncio.sleep(0.5)
    fleet.store.delete("servers/p0")
    await asyncio.sleep(1.5)
    assert follower._view.directory.find("p0") is None


async def test_a_resigned_leader_is_followed_by_another(fleet):
    (leader,) = leaders(fleet)
    await leader._leadership.resign()
    await asyncio.sleep(1.0)
    (successor,) = leaders(fleet)
    assert successor is not leader
    status, _, _ = await fleet.send("/keyed/x", key=100)
    assert status == 200


async def test_a_leader_that_leaves_in_an_outage_keeps_the_keys_served(fleet):
    """Half of the keyed requests were refused for six seconds of an outage."""
    (leader,) = leaders(fleet)
    for gateway in fleet.gateways:
        gateway._store._base = "http://127.0.0.1:9"
    draining = asyncio.create_task(leader.drain())
    await asyncio.sleep(4.0)
    other = next(i for i, g in enumerate(fleet.gateways) if g is not leader)
    status, _, _ = await fleet.send("/keyed/x", "n1", other, key=100)
    assert status == 200
    assert not draining.done()
    assert await draining == 0


async def test_after_all_hosts_are_gone_the_next_one_adopts_the_owners(fleet, tmp_path):
    """A restart of everything moves no key."""
    before = {
        name: sorted((hold.first, hold.last) for hold in server.holds)
        for name, server in fleet.servers.items()
        if server.keyed
    }
    for gateway in fleet.gateways:
        await gateway.stop()
    fleet.gateways.clear()
    await fleet.add_gateway(7)
    await fleet.wait_until_ready()
    await asyncio.sleep(2.0)
    after = {
        name: sorted((hold.first, hold.last) for hold in server.holds)
        for name, server in fleet.servers.items()
        if server.keyed
    }
    assert after == before
