import math
import random
from collections import Counter

from hypothesis import given, settings, strategies as st

from jacinthpath.configuration import Endpoint
from jacinthpath.selection import (
    EJECT_FAILURES,
    MIN_AVAILABLE_SHARE,
    SLOW_START_S,
    EndpointPool,
)

SEEDED = settings(derandomize=True, deadline=None)


def make_endpoints(count, draining=()):
    return [
        Endpoint(
            f"s{number}",
            f"10.0.0.{number}:80",
            f"dc{number % 2}",
            "draining" if number in draining else "active",
        )
        for number in range(count)
    ]


def make_pool(count=4, draining=()):
    return EndpointPool(make_endpoints(count, draining), "dc0", random.Random(7))


def complete(pool, endpoint, now, latency=0.01, outcome="answered"):
    pool.record_start(endpoint, now - latency)
    pool.record_end(endpoint, latency, outcome, now)


def selectable_servers(pool, count, now):
    """Return the servers that are chosen when all others are excluded."""
    servers = {endpoint.server for endpoint in make_endpoints(count)}
    return {server for server in servers if pool.choose(now, servers - {server})}


class NaivePool:
    """Computes the best servers by a full scan after the same events."""

    def __init__(self, endpoints):
        self.endpoints = endpoints
        self.in_flight = Counter()
        self.latency = {}

    def record_end(self, server, latency):
        self.in_flight[server] -= 1
        mean = self.latency.get(server, latency)
        self.latency[server] = mean + 0.15 * (min(latency, 8 * mean) - mean)

    def best(self, exclude):
        """Return the servers with the lowest score; each limit is one request here."""
        scores = {}
        for endpoint in self.endpoints:
            server = endpoint.server
            if endpoint.state != "active" or server in exclude:
                continue
            if self.in_flight[server] >= 1:
                continue
            remote_factor = 1.1 if endpoint.data_centre != "dc0" else 1.0
            scores[server] = self.latency.get(server, 0.001) * remote_factor
        lowest = min(scores.values(), default=math.inf)
        return {
            server for server, score in scores.items() if score <= lowest * 1.000001
        }


@SEEDED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["choose", "choose", "finish"]),
            st.sampled_from([0.010, 0.011, 0.013, 0.012]),
            st.sets(st.sampled_from(["s0", "s1"])),
        ),
        max_size=60,
    ),
    st.sets(st.integers(0, 5), max_size=2),
)
def test_choice_equals_the_naive_scan(operations, draining):
    """Guards against choosing a draining, excluded or full endpoint, or a worse one."""
    endpoints = make_endpoints(6, draining)
    pool = EndpointPool(endpoints, "dc0", random.Random(1))
    naive = NaivePool(endpoints)
    running = []
    for number, (operation, latency, exclude) in enumerate(operations):
        if operation == "choose":
            chosen = pool.choose(float(number), exclude)
            best = naive.best(exclude)
            assert (chosen.server if chosen else None) in (best or {None})
            if chosen:
                pool.record_start(chosen, float(number))
                naive.in_flight[chosen.server] += 1
                running.append(chosen)
        elif running:
            endpoint = running.pop(0)
            pool.record_end(endpoint, latency, "answered", float(number), binding=False)
            naive.record_end(endpoint.server, latency)


@SEEDED
@given(st.integers(1, 12))
def test_ejection_leaves_a_minimum_share(count):
    """Guards against a common fault that removes every endpoint."""
    pool = make_pool(count)
    for now in range(EJECT_FAILURES * 2):
        for endpoint in make_endpoints(count):
            complete(pool, endpoint, now * 0.01, outcome="failed")
    chosen = selectable_servers(pool, count, 0.2)
    assert len(chosen) >= min(count, math.ceil(MIN_AVAILABLE_SHARE * count))
    if count >= 2:
        assert len(chosen) < count


def test_ejected_endpoint_returns_by_slow_start():
    """Guards against a recovered endpoint that gets a full load at once."""
    pool = make_pool()
    for now in range(EJECT_FAILURES):
        complete(pool, Endpoint("s1", "10.0.0.1:80"), now * 0.01, outcome="failed")
    assert selectable_servers(pool, 4, 0.1) == {"s0", "s2", "s3"}
    assert pool.capacity(0.1) < pool.capacity(1000.0)


def test_slow_endpoint_is_ejected():
    """Guards against an endpoint that reports healthy but responds slowly."""
    pool = make_pool()
    for number in range(60):
        for endpoint in make_endpoints(4):
            latency = 0.2 if endpoint.server == "s2" else 0.01
            complete(pool, endpoint, number * 0.1, latency)
    assert selectable_servers(pool, 4, 6.0) == {"s0", "s1", "s3"}


def test_unhealthy_report_does_not_exclude_an_endpoint():
    """Guards against a false report that takes an endpoint out of service."""
    pool = make_pool(2)
    pool.record_health_report("s0", False, 0.0)
    assert pool.choose(0.0).server == "s1"
    assert pool.choose(0.0, exclude={"s1"}).server == "s0"


def test_new_endpoint_goes_through_slow_start():
    """Guards against a new endpoint that receives its full share at once."""
    pool = make_pool(3)
    pool.update(make_endpoints(4), 100.0)
    counts = [0, 0]
    running = []
    for number in range(2000):
        now = 100.0 + number * SLOW_START_S / 1000
        endpoint = pool.choose(now)
        counts[number >= 1000] += endpoint.server == "s3"
        pool.record_start(endpoint, now)
        running.append(endpoint)
        if len(running) == 3:
            latency = random.Random(number).uniform(0.008, 0.012)
            pool.record_end(running.pop(0), latency, "answered", now, binding=False)
    assert counts[0] < 0.7 * counts[1]


def test_leaving_endpoint_gets_no_new_work():
    """Guards against new work for a server that is shutting down."""
    pool = make_pool()
    endpoint = pool.choose(0.0)
    pool.record_start(endpoint, 0.0)
    draining = int(endpoint.server[1:])
    pool.update(make_endpoints(4, {draining}), 1.0)
    assert endpoint.server not in selectable_servers(pool, 4, 1.0)
    assert len(selectable_servers(pool, 4, 1.0)) == 3
    pool.record_end(endpoint, 1.0, "answered", 1.0)


def test_local_endpoint_is_preferred_while_not_slower():
    """Guards against needless remote requests, and against a slow local endpoint."""
    pool = make_pool(2)
    for number in range(50):
        for endpoint in make_endpoints(2):
            complete(pool, endpoint, number * 0.1, 0.010)
    assert pool.choose(5.0).server == "s0"
    for number in range(50):
        complete(pool, make_endpoints(1)[0], 5.0 + number * 0.1, 0.015)
    assert pool.choose(10.0).server == "s1"
