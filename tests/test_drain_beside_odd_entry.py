"""Drains that were not followed beside an odd entry: requests reached servers after
their leaving had been acknowledged."""

import asyncio
import json
import time

import pytest

from jacinthpath.errors import StoreUnavailable

from .gateway_system import GatewaySystem

DRAIN_LIMIT_S = 2.0
"""Time after which no request may reach a server that drains (according to the
platform's documentation)."""

SEND_INTERVAL_S = 0.05
SENT_AFTER_LIMIT_S = 1.5

UNENCODABLE = "\ud800"

ENTRY = {
    "address": "127.0.0.1:1",
    "born": 5,
    "info": {"service": "plain", "version": "v1", "zone": "a", "slots": 3},
    "status": {"state": "ready", "sequence": 1, "warmup_left": "0ms"},
}


def entry(**fields):
    """Return an entry of which some fields are replaced."""
    replaced = json.loads(json.dumps(ENTRY))
    for name, value in fields.items():
        for part in (replaced, replaced["info"], replaced["status"]):
            if name in part:
                part[name] = value
    return json.dumps(replaced).encode()


ODD_ENTRIES = {
    "service": {"odd": entry(service=UNENCODABLE)},
    "others": {
        "odd-zone": entry(zone=UNENCODABLE),
        "odd-address": entry(address=UNENCODABLE),
        "odd-state": entry(state=UNENCODABLE),
        "odd-slots": entry(slots=-1),
        "odd-\ud800-key": entry(service="unknown"),
    },
}
"""Entries by the server that their key names."""


@pytest.fixture(params=ODD_ENTRIES)
def odd_entries(request):
    return ODD_ENTRIES[request.param]


@pytest.fixture
async def fleet(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(plain=1, gateways=3)
    await system.wait_until_ready()
    # Followers end the watches that they sent before they followed.
    await asyncio.sleep(1.5)
    yield system
    await system.close()


def leader_of(system):
    (leader,) = (g for g in system.gateways if g._election.authority is not None)
    return leader


async def restart_hosts(system):
    for gateway in system.gateways:
        await gateway.stop()
    system.gateways.clear()
    for index in range(3):
        await system.add_gateway(10 + index)
    await system.wait_until_ready()


async def lose_history(system):
    """Let all hosts list anew that watch the servers."""
    system.store.put("servers/p0", system.servers["p0"].entry())
    system.store.forget_history()
    await asyncio.sleep(1.0)


async def change_leader(system):
    leader = leader_of(system)
    system.gateways.remove(leader)
    await leader.stop()
    await asyncio.sleep(1.0)


async def send_in_turn(system, duration_s):
    """Send requests by each host in turn; return the statuses."""
    statuses = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        index = len(statuses) % len(system.gateways)
        response = await system.send("/read/a", f"r{len(statuses)}", index)
        statuses.append(response[0])
        await asyncio.sleep(SEND_INTERVAL_S)
    return statuses


async def assert_drain_is_followed(system):
    """Replace the only server of a service by another one, and drain it."""
    await system.add_server("p1", "plain")
    drained = system.servers["p0"]
    system.store.put("servers/p0", drained.entry("draining"))
    acknowledged_s = time.monotonic()
    await send_in_turn(system, DRAIN_LIMIT_S)
    statuses = await send_in_turn(system, SENT_AFTER_LIMIT_S)
    ages_s = [arrival_s - acknowledged_s for arrival_s in drained.arrivals_s]
    assert not [age_s for age_s in ages_s if age_s > DRAIN_LIMIT_S]
    assert {*statuses} == {200}


@pytest.mark.parametrize("list_anew", [restart_hosts, lose_history, change_leader])
async def test_drain_is_followed_by_hosts_that_list_beside_an_odd_entry(
    fleet, odd_entries, list_anew
):
    """Issue 43: the log line of the odd entry raised while the list was applied, so
    that each host that listed anew kept the servers as they were."""
    for server, content in odd_entries.items():
        fleet.store.put(f"servers/{server}", content)
    await list_anew(fleet)
    await assert_drain_is_followed(fleet)


async def test_drain_is_followed_by_followers_of_a_leader_that_cannot_apply_a_list(
    fleet,
):
    """Followers of a leader that dropped each list trusted its list, as its age told
    when the store had responded, and not what the leader had applied."""
    leader = leader_of(fleet)

    def fail(*_args):
        raise KeyError("an error of our own")

    leader._view.replace_servers = fail
    await lose_history(fleet)
    await assert_drain_is_followed(fleet)


async def test_drain_is_followed_though_the_leader_alone_cannot_apply_it(fleet):
    """The leader had applied all entries but one, and told its followers a fresh age;
    none of them read that one from the store."""
    leader = leader_of(fleet)
    followers = [gateway for gateway in fleet.gateways if gateway is not leader]
    put = leader._view.directory.put

    def put_all_but_one(backend, now_s):
        if backend.server == "p0":
            raise KeyError("an error of our own")
        put(backend, now_s)

    leader._view.directory.put = put_all_but_one
    fleet.store.put("servers/p0", fleet.servers["p0"].entry("draining"))
    await asyncio.sleep(DRAIN_LIMIT_S)
    assert all(g._view.directory.find("p0").draining for g in followers)


async def test_drain_is_followed_by_a_host_that_cannot_apply_a_peer_list(fleet):
    """A follower trusted its leader's age, although it had applied nothing of the
    leader's list."""
    leader = leader_of(fleet)
    follower = next(g for g in fleet.gateways if g is not leader)

    def fail(*_args):
        raise KeyError("an error of our own")

    follower._view.apply_peer_servers = fail
    follower._view.apply_peer_server_delta = fail
    await assert_drain_is_followed(fleet)


async def test_drain_is_followed_while_the_leader_hears_nothing_of_the_servers(fleet):
    """Followers trusted a list until it was 1.5 s old, and its leader for 1 s more; the
    leader asked nobody else before its watch failed."""
    leader = leader_of(fleet)
    watch = leader._watcher._store.watch

    async def watch_all_but_the_servers(prefix, revision, wait_s):
        if prefix == "servers/":
            await asyncio.sleep(wait_s + 1.0)
            raise StoreUnavailable("unavailable", "")
        return await watch(prefix, revision, wait_s)

    leader._watcher._store.watch = watch_all_but_the_servers
    # Ends the leader's watch that is waiting.
    fleet.store.put("servers/p0", fleet.servers["p0"].entry())
    while leader._view.servers_age_s() > 0.1:
        await asyncio.sleep(0.01)
    await assert_drain_is_followed(fleet)
