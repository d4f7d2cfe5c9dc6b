"""Choice among the servers of a service without keys, replayed for many hosts."""

import heapq
from random import Random

import pytest

from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.pool import ServerPool

ZONES = ("a", "b", "c", "d", "e", "f")
SERVERS_PER_ZONE = 9
HOSTS_PER_ZONE = 8


def make_servers():
    return [
        Backend(f"{zone}{index}", "x", "10.0.0.1:1", zone, 3, False, 0.0, 1, 1)
        for zone in ZONES
        for index in range(SERVERS_PER_ZONE)
    ]


def replay(rate_by_zone, work_s=0.3, duration_s=20.0, seed=1):
    """Return the servers chosen by zone of the host, with their latencies.

    A server works on three requests at a time; more of them share its speed.
    """
    random = Random(seed)
    servers = make_servers()
    pools = {
        zone: [ServerPool(zone, Random(seed + i)) for i in range(HOSTS_PER_ZONE)]
        for zone in ZONES
    }
    in_flight = dict.fromkeys((s.server for s in servers), 0)
    arrivals = []
    for zone in ZONES:
        at_s = 0.0
        while at_s < duration_s:
            at_s += random.expovariate(rate_by_zone[zone])
            arrivals.append((at_s, zone))
    ends = []
    chosen = []
    for at_s, zone in sorted(arrivals):
        while ends and ends[0][0] <= at_s:
            end_s, _, server, pool, latency_s = heapq.heappop(ends)
            in_flight[server.server] -= 1
            pool.record_response(server, latency_s, end_s)
        pool = random.choice(pools[zone])
        server = pool.choose(servers, at_s)
        pool.record_start(server, at_s)
        in_flight[server.server] += 1
        latency_s = work_s * max(1.0, in_flight[server.server] / 3)
        heapq.heappush(ends, (at_s + latency_s, len(chosen), server, pool, latency_s))
        chosen.append((zone, server, latency_s))
    return chosen


def local_share(chosen):
    return sum(zone == server.data_centre for zone, server, _ in chosen) / len(chosen)


@pytest.mark.parametrize("rate", [10.0, 60.0])
def test_requests_stay_in_their_data_centre_at_even_load(rate):
    """With six data centres, two servers drawn from all of them were mostly in others:
    traffic between data centres is paid for, and connections were seldom used again."""
    chosen = replay(dict.fromkeys(ZONES, rate))
    assert local_share(chosen) > 0.75


def test_shifted_load_spreads_to_other_data_centres():
    """Guards against a data centre whose callers wait for its own servers while others
    are idle, when clients move from one to another."""
    rates = dict.fromkeys(ZONES, 20.0) | {"a": 200.0}
    latencies = [latency_s for zone, _, latency_s in replay(rates) if zone == "a"]
    assert sum(latencies) / len(latencies) < 0.45


def test_servers_of_a_data_centre_share_its_load_evenly():
    chosen = replay(dict.fromkeys(ZONES, 60.0))
    counts = {}
    for _, server, _ in chosen:
        counts[server.server] = counts.get(server.server, 0) + 1
    mean = sum(counts.values()) / len(make_servers())
    assert max(counts.values()) < 1.3 * mean


def count_resets(hosts=40, rounds=200, cap=30, plain=False):
    """Replay many hosts at one server that resets connections over its cap.

    Each host has three requests in each round, and each lasts for two rounds.
    """
    server = make_servers()[0]
    pools = [ServerPool("a", Random(index)) for index in range(hosts)]
    in_flight = []
    resets = accepted = 0
    for now_s in range(rounds):
        for pool in [pool for pool, end_s in in_flight if end_s <= now_s]:
            pool.record_response(server, 2.0, now_s)
        in_flight = [entry for entry in in_flight if entry[1] > now_s]
        for pool in Random(now_s).sample(pools * 3, hosts * 3):
            if not plain and pool.in_flight(server) >= pool.window(server):
                continue
            pool.record_start(server, now_s)
            if len(in_flight) < cap:
                in_flight.append((pool, now_s + 2))
                accepted += 1
                continue
            resets += 1
            pool.record_reset(server, now_s)
            pool.record_failure(server, now_s, no_response=False)
    return resets, accepted


def test_hosts_that_share_a_full_server_send_it_less():
    """Servers reset 1,512 connections over their cap on a quiet day of 195 hosts, each
    of which counted on an equal share of the cap; the requests on them may have run."""
    plain_resets, plain_accepted = count_resets(plain=True)
    resets, accepted = count_resets()
    assert resets < 0.5 * plain_resets
    assert accepted > 0.9 * plain_accepted


def test_window_grows_again_after_resets():
    server = make_servers()[0]
    pool = ServerPool("a", Random(1))
    for _ in range(8):
        pool.record_start(server, 0.0)
    pool.record_reset(server, 0.0)
    assert pool.window(server) == 4
    for _ in range(30):
        pool.record_response(server, 0.1, 1.0)
    assert pool.window(server) > 8
