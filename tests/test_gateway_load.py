"""Placement of keys under load patterns of the users' deployments.

Each pattern runs in the simulation of a keyed service, with the real placement and
with a baseline without it. To be worth its code, the placement has to avoid at least
half of the late or refused requests of the baseline.
"""

import pytest

from bench.keyed_model import KeyedLoad, plan_no_moves, simulate_keyed_load
from jacinthpath.gateway import loads
from jacinthpath.gateway.assignment import OwnedRange
from jacinthpath.gateway.balance import CandidateServer, KeyLoads, plan_moves

SEEDS = range(3)

BURST_OF_HOT_KEYS = KeyedLoad(
    servers=11,
    rate=254,
    mean_s=0.051,
    duration_sigma=0.3,
    target_latency_s=0.2,
    zipf_exponent=0.738,
    hot=((5, 5, 0.35, 200), (10.8, 4, 0.4, 60)),
    burst=(10.1, 3, 1.4),
)
LONG_WORK = KeyedLoad(
    servers=8,
    rate=145,
    mean_s=0.076,
    duration_sigma=0.5,
    target_latency_s=0.3,
    zipf_exponent=0.78,
    hot=((5.7, 5, 0.4, 200), (11.2, 4, 0.43, 60)),
    burst=(11.5, 2.6, 1.4),
)
ONE_HOT_KEY = KeyedLoad(
    servers=11,
    rate=150,
    mean_s=0.051,
    duration_sigma=0.3,
    target_latency_s=0.2,
    zipf_exponent=0.738,
    hot=((10.4, 5, 0.42, 1), (15.9, 4, 0.41, 1)),
)


def mean_share_within_target(load, **options):
    results = [simulate_keyed_load(load, seed, **options) for seed in SEEDS]
    return sum(result.share_within_target for result in results) / len(results)


@pytest.mark.parametrize("load", [BURST_OF_HOT_KEYS, LONG_WORK, ONE_HOT_KEY])
def test_moving_keys_halves_the_requests_that_miss_the_objective(load):
    """With equal ranges, hot keys that lie close together overload one server."""
    baseline = mean_share_within_target(load, plan=plan_no_moves)
    assert mean_share_within_target(load) >= baseline + 0.5 * (1 - baseline)


def test_slow_server_without_responses_loses_keys(monkeypatch):
    """A server that sent no response in time looked idle and kept its keys."""
    slow = KeyedLoad(8, 60, 0.076, 0.5, 0.3, 0.78, slow=(10, 12, 0.4, 12))
    served = sum(1 - simulate_keyed_load(slow, seed).refused for seed in SEEDS)
    monkeypatch.setattr(loads, "QUEUED_LATENCY_GAIN", 0.0)
    baseline = sum(1 - simulate_keyed_load(slow, seed).refused for seed in SEEDS)
    assert served > baseline


def owned(first, last, server, target=""):
    return OwnedRange(first, last, server, "", 1, 1, target)


def test_single_hot_key_moves_to_a_faster_server():
    """A hot key that cannot be split overloaded the slow server that owned it."""
    ranges = [owned(0, 999, "slow"), owned(1_000, 65_535, "fast")]
    candidates = [CandidateServer("slow", 0.7), CandidateServer("fast", 1.6)]
    moves = plan_moves(ranges, candidates, KeyLoads({500: 50.0, 2_000: 5.0}))
    assert (500, 500, "fast") in moves


def test_load_of_a_server_is_divided_by_its_slots():
    """Thresholds assumed three slots on every server."""
    evidence = loads.ServerEvidence("a", 10, -20.0, 2 * loads.LOAD_DECAY_S)
    report = loads.HostReport("h", 0.3, (loads.ServiceReport("s", {}, (evidence,)),))
    for slots, expected in ((2, 1.0), (8, 0.25)):
        load_aggregator = loads.LoadAggregator(lambda _server, slots=slots: slots)
        load_aggregator.add(report)
        assert load_aggregator.requests_per_slot("s", "a") == pytest.approx(expected)


def test_server_that_did_not_respond_to_a_grant_receives_no_keys():
    """A busy key was moved to a server that had just stopped responding."""
    ranges = [owned(0, 30_000, "a"), owned(30_001, 65_535, "b")]
    candidates = [
        CandidateServer("a", 1.0),
        CandidateServer("b", 1.0),
        CandidateServer("c", 1.0, accepting=False),
    ]
    rates = {key: 10.0 for key in range(0, 30_000, 1_000)}
    moves = plan_moves(ranges, candidates, KeyLoads(rates))
    assert moves
    assert {move.target for move in moves} == {"b"}


def test_all_keys_of_an_evacuating_server_are_moved():
    ranges = [owned(0, 30_000, "a"), owned(30_001, 65_535, "b")]
    candidates = [
        CandidateServer("a", 1.0, evacuating=True),
        CandidateServer("b", 1.0),
        CandidateServer("c", 1.0),
    ]
    moves = plan_moves(ranges, candidates, KeyLoads({}))
    covered = sorted((move.first, move.last) for move in moves)
    assert covered[0][0] == 0
    assert covered[-1][1] == 30_000
    assert all(a[1] + 1 == b[0] for a, b in zip(covered, covered[1:], strict=False))


def test_lightly_loaded_servers_keep_their_keys():
    """Moving a key has a cost, and no request waits at a server with little load."""
    ranges = [owned(0, 30_000, "a"), owned(30_001, 65_535, "b")]
    candidates = [
        CandidateServer("a", 1.0, requests_per_slot=0.5),
        CandidateServer("b", 1.0, requests_per_slot=0.1),
    ]
    assert plan_moves(ranges, candidates, KeyLoads({5: 20.0, 9: 20.0})) == []
