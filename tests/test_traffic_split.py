"""Requests of a split route: each part gets its weight, whatever the hosts' number."""

from random import Random

import pytest

from jacinthpath.gateway.model import Route, WeightedService
from jacinthpath.gateway.route_index import SmoothWeightedRoundRobin

HOSTS = 400
WEIGHT_TOLERANCE = 0.1
"""How far a share may lie off its weight (from the platform's documentation)."""


def split_route(weight):
    services = WeightedService("a", weight), WeightedService("b", 1 - weight)
    return Route("r", "h", "/", True, 1.0, 1.0, 1, 2, services)


@pytest.mark.parametrize("weight", [0.5, 0.6, 0.7, 0.75, 0.9])
@pytest.mark.parametrize("requests", [1, 2, 3, 40])
def test_few_requests_of_many_hosts_follow_the_weights(weight, requests):
    """Each of 69 hosts gave its first request of a split to the heaviest part, so that
    it got all of them where a host had one request."""
    random, route = Random(7), split_route(weight)
    chosen = []
    for _ in range(HOSTS):
        robin = SmoothWeightedRoundRobin(random)
        chosen += [robin.choose(route) for _ in range(requests)]
    assert abs(chosen.count("a") / len(chosen) - weight) < WEIGHT_TOLERANCE


def test_one_host_stays_within_a_request_of_the_weights():
    robin, route = SmoothWeightedRoundRobin(Random(3)), split_route(0.7)
    chosen = [robin.choose(route) for _ in range(1_000)]
    for count in range(1, 1_000):
        assert abs(chosen[:count].count("a") - 0.7 * count) < 2
