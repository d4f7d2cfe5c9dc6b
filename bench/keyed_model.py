"""Simulation of a keyed service under changing load, with the real placement.

Servers of unequal speed run requests in a few slots with a short queue; busy keys lie
close together and change. Everything runs on a virtual clock.
"""

from __future__ import annotations

__all__ = ["KeyedLoad", "KeyedResult", "simulate_keyed_load"]

import heapq
import math
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from jacinthpath.gateway.assignment import OwnedRange
from jacinthpath.gateway.balance import (
    CandidateServer,
    RangeMove,
    initial_ranges,
    plan_moves,
)
from jacinthpath.gateway.loads import LoadAggregator, LoadRecorder
from jacinthpath.gateway.model import KEY_COUNT

SLOTS = 3
MAX_QUEUE_LENGTH = 12
HOSTS = 9
REPORT_INTERVAL_S = 0.3
PLAN_INTERVAL_S = 0.3
MOVE_DURATION_S = 0.15
"""Approximate time for which a moved range is unserved while its requests end."""

DISTINCT_KEYS = 60_000
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_FACTOR = 7.0


class KeyedLoad(NamedTuple):
    """Load of a keyed service, as on the users' deployments.

    :param rate: mean requests per second.
    :param duration_sigma: standard deviation of the logarithm of the durations.
    :param rate_amplitude: relative amplitude of the periodic change of the rate.
    :param slow: start, duration, share of servers that become slow and factor by
        which their requests take longer.
    :param deadline_s: time after which a request is dropped at its server.
    :param hot: periods with hot keys; start, duration, share of the requests and
        number of keys of each.
    """

    servers: int
    rate: float
    mean_s: float
    duration_sigma: float
    target_latency_s: float
    zipf_exponent: float
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    rate_amplitude: float = 0.55
    period_s: float = 14.0
    length_s: float = 32.0
    hot: tuple[tuple[float, float, float, int], ...] = ()
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    slow: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 1.0)
    deadline_s: float = 0.8


class KeyedResult(NamedTuple):
    """Outcome of the requests.

    :param share_within_target: share completed within the target latency.
    :param late: share completed later.
    :param refused: share refused by full servers or dropped at the deadline.
    :param moved: share of all keys that moved, summed over the moves.
    :param min_share_within_target: lowest share within the target latency over any two
        seconds with more than 20 requests.
    """

    share_within_target: float
    late: float
    refused: float
    moved: float
    min_share_within_target: float


class _Server:
    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.running = 0
        self.queue: deque[tuple[float, float, int]] = deque()


PlanFunction = Callable[
    [Sequence[OwnedRange], Sequence[CandidateServer], LoadAggregator], list[RangeMove]
]


def plan_by_load(
    ranges: Sequence[OwnedRange],
    candidates: Sequence[CandidateServer],
    load_aggregator: LoadAggregator,
) -> list[RangeMove]:
    """Plan moves as the leader does."""
    return plan_moves(ranges, candidates, load_aggregator.key_loads("s"))


def plan_no_moves(
    _ranges: Sequence[OwnedRange],
    _candidates: Sequence[CandidateServer],
    _load_aggregator: LoadAggregator,
) -> list[RangeMove]:
    """Plan no moves; the baseline, in which the servers keep their equal ranges."""
    return []


def simulate_keyed_load(
    load: KeyedLoad, seed: int, plan: PlanFunction = plan_by_load
) -> KeyedResult:
    """Simulate a load and return the outcome of its requests."""
    return _Simulation(load, seed, plan).simulate()


class _Simulation:
    def __init__(self, load: KeyedLoad, seed: int, plan: PlanFunction) -> None:
        self.load = load
        self.random = Random(seed)
        self.plan = plan
        names = [f"s{index}" for index in range(load.servers)]
        speeds = [load.speeds[i % len(load.speeds)] for i in range(load.servers)]
        self.random.shuffle(speeds)
        self.servers = dict(zip(names, map(_Server, speeds), strict=True))
        equal = [CandidateServer(name, 1.0) for name in names]
        self.ranges = [
            OwnedRange(first, last, server, "", 1, 1)
            for first, last, server in initial_ranges(equal)
        ]
        self.load_aggregator = LoadAggregator()
        self.load_recorder = LoadRecorder()
        self.served_from_s: dict[int, float] = {}
        self.events: list[tuple[float, int, str, object]] = []
        self.event_count = 0
        self.outcomes: list[tuple[float, str]] = []
        self.moved = 0.0
        self.base = self.random.randrange(KEY_COUNT)
        self.hot_first_keys = [self.random.randrange(KEY_COUNT) for _ in load.hot]
        weights = [
            1 / (rank + 1) ** load.zipf_exponent for rank in range(DISTINCT_KEYS)
        ]
        total = sum(weights)
        self.cumulative_weights = []
        cumulative_weight = 0.0
        for weight in weights:
            cumulative_weight += weight / total
            self.cumulative_weights.append(cumulative_weight)

    def simulate(self) -> KeyedResult:
        self._push(0.0, "arrive", None)
        self._push(REPORT_INTERVAL_S, "report", None)
        self._push(PLAN_INTERVAL_S, "plan", None)
        while self.events:
            now_s, _, kind, content = heapq.heappop(self.events)
            if kind != "finish" and now_s > self.load.length_s:
                continue
            getattr(self, f"_{kind}")(now_s, content)
        return self._result()

    def _push(self, at_s: float, kind: str, content: object) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at_s, self.event_count, kind, content))

    def _arrive(self, now_s: float, _content: object) -> None:
        load = self.load
        start_s, length, factor = load.burst
        rate = load.rate * (
            1 + load.rate_amplitude * math.sin(2 * math.pi * now_s / load.period_s)
        )
        if start_s <= now_s < start_s + length:
            rate *= factor
        self._push(now_s + self.random.expovariate(rate), "arrive", None)
        key = self._key(now_s)
        index = self._range_of(key)
        self.load_recorder.record_request("s", key)
        delay_s = max(0.0, self.served_from_s.get(index, 0.0) - now_s)
        self._push(now_s + delay_s, "offer", (now_s, key))

    def _key(self, now_s: float) -> int:
        for (start_s, length, share, key_count), first_key in zip(
            self.load.hot, self.hot_first_keys, strict=True
        ):
            if start_s <= now_s < start_s + length and self.random.random() < share:
                return (first_key + self.random.randrange(key_count)) % KEY_COUNT
        rank = bisect_right(self.cumulative_weights, self.random.random())
        return (self.base + rank) % KEY_COUNT

    def _range_of(self, key: int) -> int:
        firsts = [owned.first for owned in self.ranges]
        return bisect_right(firsts, key) - 1

    def _offer(self, now_s: float, content: tuple[float, int]) -> None:
        arrived_s, key = content
        server = self.ranges[self._range_of(key)].server
        state = self.servers[server]
        if state.running < SLOTS:
            self._begin(now_s, server, arrived_s)
        elif len(state.queue) < MAX_QUEUE_LENGTH:
            state.queue.append((arrived_s, now_s, key))
        else:
            self.outcomes.append((arrived_s, "refused"))

    def _begin(self, now_s: float, server: str, arrived_s: float) -> None:
        state = self.servers[server]
        state.running += 1
        load = self.load
        sigma = load.duration_sigma
        work_s = load.mean_s * math.exp(self.random.gauss(-(sigma**2) / 2, sigma))
        if self.random.random() < LONG_REQUEST_SHARE:
            work_s *= LONG_REQUEST_FACTOR
        start_s, length, share, factor = load.slow
        if (
            start_s <= now_s < start_s + length
            and int(server[1:]) < share * load.servers
        ):
            work_s *= factor
        end_s = min(now_s + work_s / state.speed, arrived_s + load.deadline_s)
        self._push(max(now_s, end_s), "finish", (server, arrived_s))

    def _finish(self, now_s: float, content: tuple[str, float]) -> None:
        server, arrived_s = content
        state = self.servers[server]
        state.running -= 1
        latency_s = now_s - arrived_s
        kind = "in" if latency_s <= self.load.target_latency_s else "late"
        if latency_s < self.load.deadline_s:
            self.load_recorder.record_response("s", server, latency_s)
        else:
            self.load_recorder.record_timeout("s", server, latency_s)
            kind = "refused"
        self.outcomes.append((arrived_s, kind))
        if state.queue:
            next_arrived_s, _, _ = state.queue.popleft()
            self._begin(now_s, server, next_arrived_s)

    def _report(self, now_s: float, _content: object) -> None:
        self.load_aggregator.add(
            self.load_recorder.collect_report("host", REPORT_INTERVAL_S)
        )
        self._push(now_s + REPORT_INTERVAL_S, "report", None)

    def _plan(self, now_s: float, _content: object) -> None:
        self.load_aggregator.decay(now_s)
        speeds = self.load_aggregator.speeds("s")
        candidates = [
            CandidateServer(
                name,
                speeds.get(name, 1.0),
                False,
                self.load_aggregator.requests_per_slot("s", name),
            )
            for name in self.servers
        ]
        for move in self.plan(self.ranges, candidates, self.load_aggregator):
            self._move(now_s, move)
        self._push(now_s + PLAN_INTERVAL_S, "plan", None)

    def _move(self, now_s: float, move: RangeMove) -> None:
        self.moved += (move.last - move.first + 1) / KEY_COUNT
        ranges = []
        for owned in self.ranges:
            if owned.last < move.first or move.last < owned.first:
                ranges.append(owned)
                continue
            if owned.first < move.first:
                ranges.append(owned._replace(last=move.first - 1))
            moved_range = owned._replace(
                first=max(owned.first, move.first),
                last=min(owned.last, move.last),
                server=move.target,
            )
            ranges.append(moved_range)
            if move.last < owned.last:
                ranges.append(owned._replace(first=move.last + 1))
        self.ranges = ranges
        self.served_from_s = {
            index: now_s + MOVE_DURATION_S
            for index, owned in enumerate(ranges)
            if move.first <= owned.first and owned.last <= move.last
        } | {}

    def _result(self) -> KeyedResult:
        total = max(1, len(self.outcomes))
        counts = {"in": 0, "late": 0, "refused": 0}
        windows: dict[int, list[int]] = {}
        for arrived_s, kind in self.outcomes:
            counts[kind] += 1
            window = windows.setdefault(int(arrived_s / 2), [0, 0])
            window[0] += kind == "in"
            window[1] += 1
        min_share_within_target = min(
            within_target / arrivals
            for within_target, arrivals in windows.values()
            if arrivals > 20
        )
        return KeyedResult(
            counts["in"] / total,
            counts["late"] / total,
            counts["refused"] / total,
            self.moved,
            min_share_within_target,
        )
