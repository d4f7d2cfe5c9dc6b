"""Several gateways in one process: a leader and its followers."""

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


def leading_gateways(system):
    return [g for g in system.gateways if g._election.authority is not None]


async def test_one_host_leads_and_all_hosts_serve_keys(fleet):
    assert len(leading_gateways(fleet)) == 1
    for index in range(3):
        status, _, _ = await fleet.send("/keyed/x", f"n{index}", index, key=40_000)
        assert status == 200


async def test_metrics_show_the_shortest_hold_and_failed_store_calls(fleet):
    """The metrics show that keys are about to be refused, and why."""
    (leader,) = leading_gateways(fleet)
    fleet.store.mode = "busy"
    await asyncio.sleep(1.3)
    for gateway in fleet.gateways:
        metrics = gateway._metrics
        hold_s = metrics.value("shortest_hold_seconds")
        assert (hold_s > 0.5) is (gateway is leader)
    failed = {"call": "kv-keep", "outcome": "unavailable"}
    assert leader._metrics.value("store_call_failures_total", **failed) > 0
    fleet.store.mode = "up"


async def test_followers_do_not_watch_the_server_entries(fleet):
    """Guards against store calls that grow with the number of hosts."""
    await asyncio.sleep(1.0)
    follower = next(g for g in fleet.gateways if g not in leading_gateways(fleet))
    before = follower._store.calls["kv-watch"]
    for _ in range(10):
        fleet.store.put("servers/p0", fleet.servers["p0"].entry())
        await asyncio.sleep(0.1)
    assert follower._store.calls["kv-watch"] - before <= 2


async def test_joining_host_gets_documents_from_the_leader(fleet):
    """Guards against a load peak: of 90 hosts that started together, each read
    everything from the store."""
    await asyncio.sleep(0.5)
    joined = await fleet.add_gateway(5)
    await asyncio.sleep(1.0)
    assert joined.unready_reason() == ""
    assert joined._store.calls["kv-range"] == 1


async def test_host_turned_away_by_the_store_gets_updates_from_peers(fleet):
    """Guards against requests to a server that has left (DRAIN in docs/PROMISES.md): a
    host that the store refused still sent them 12 s later."""
    await asyncio.sleep(0.5)
    follower = next(g for g in fleet.gateways if g not in leading_gateways(fleet))
    follower._store._base = "http://127.0.0.1:9"
    await asyncio.sleep(0.5)
    fleet.store.delete("servers/p0")
    await asyncio.sleep(1.5)
    assert follower._view.directory.find("p0") is None


async def test_successor_takes_over_from_a_resigned_leader(fleet):
    (leader,) = leading_gateways(fleet)
    await leader._election.resign()
    await asyncio.sleep(1.0)
    (successor,) = leading_gateways(fleet)
    assert successor is not leader
    status, _, _ = await fleet.send("/keyed/x", key=100)
    assert status == 200


async def test_leader_that_drains_in_a_store_outage_keeps_keys_served(fleet):
    """Half of the keyed requests were refused for six seconds of a store outage, in
    which the leader left and no successor could be elected."""
    (leader,) = leading_gateways(fleet)
    for gateway in fleet.gateways:
        gateway._store._base = "http://127.0.0.1:9"
    draining = asyncio.create_task(leader.drain())
    await asyncio.sleep(4.0)
    other = next(i for i, g in enumerate(fleet.gateways) if g is not leader)
    status, _, _ = await fleet.send("/keyed/x", "n1", other, key=100)
    assert status == 200
    assert not draining.done()
    assert await draining == 0


async def test_first_host_after_a_full_stop_adopts_the_owners(fleet, tmp_path):
    """A restart of all hosts moves no key."""
    before = {
        name: sorted((hold.first, hold.last) for hold in server.held_ranges)
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
        name: sorted((hold.first, hold.last) for hold in server.held_ranges)
        for name, server in fleet.servers.items()
        if server.keyed
    }
    assert after == before
