"""Model of a keyed service under changing load, driven by the real placement.

Servers of unequal speed run requests in a few slots with a short queue; busy keys lie
close together and change. Everything runs on a virtual clock.
"""

from __future__ import annotations

__all__ = ["KeyedLoad", "KeyedResult", "run_keyed"]

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
QUEUE = 12
HOSTS = 9
REPORT_S = 0.3
PLAN_S = 0.3
MOVE_S = 0.15
"""A range that moves is unserved for about this long while running work ends."""

THINGS = 60_000
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


class KeyedLoad(NamedTuple):
    """Load of a keyed service, as on the users' deployments.

    :param rate: mean requests a second.
    :param slow: start, length, share and factor of servers that turn slow.
    :param deadline_s: time after which a request is dropped at its server.
    :param hot: start, length, share and count of keys of each time of hot keys.
    """

    servers: int
    rate: float
    mean_s: float
    spread: float
    objective_s: float
    skew: float
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    swing: float = 0.55
    period_s: float = 14.0
    length_s: float = 32.0
    hot: tuple[tuple[float, float, float, int], ...] = ()
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    slow: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 1.0)
    deadline_s: float = 0.8


class KeyedResult(NamedTuple):
    """What became of the requests.

    :param in_objective: share answered within the objective.
    :param late: share answered later.
    :param refused: share turned away by full servers.
    :param moved: share of all keys that moved, summed.
    :param worst: least share in the objective of any two seconds.
    """

    in_objective: float
    late: float
    refused: float
    moved: float
    worst: float


class _Server:
    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.running = 0
        self.queue: deque[tuple[float, float, int]] = deque()


Plan = Callable[
    [Sequence[OwnedRange], Sequence[CandidateServer], LoadAggregator], list[RangeMove]
]


def planned_by_load(
    ranges: Sequence[OwnedRange],
    members: Sequence[CandidateServer],
    load_aggregator: LoadAggregator,
) -> list[RangeMove]:
    """Plan as the leader does."""
    return plan_moves(ranges, members, load_aggregator.key_loads("s"))


def planned_never(
    _ranges: Sequence[OwnedRange],
    _members: Sequence[CandidateServer],
    _load_aggregator: LoadAggregator,
) -> list[RangeMove]:
    """Leave the equal ranges as they are: the plain version."""
    return []


def run_keyed(load: KeyedLoad, seed: int, plan: Plan = planned_by_load) -> KeyedResult:
    """Play a load and return what became of its requests."""
    return _Run(load, seed, plan).play()


class _Run:
    def __init__(self, load: KeyedLoad, seed: int, plan: Plan) -> None:
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
        self.ready_s: dict[int, float] = {}
        self.events: list[tuple[float, int, str, object]] = []
        self.count = 0
        self.outcomes: list[tuple[float, str]] = []
        self.moved = 0.0
        self.base = self.random.randrange(KEY_COUNT)
        self.hot_at = [self.random.randrange(KEY_COUNT) for _ in load.hot]
        weights = [1 / (rank + 1) ** load.skew for rank in range(THINGS)]
        total = sum(weights)
        self.cumulative = []
        reached = 0.0
        for weight in weights:
            reached += weight / total
            self.cumulative.append(reached)

    def play(self) -> KeyedResult:
        self._push(0.0, "arrive", None)
        self._push(REPORT_S, "report", None)
        self._push(PLAN_S, "plan", None)
        while self.events:
            now_s, _, kind, content = heapq.heappop(self.events)
            if kind != "finish" and now_s > self.load.length_s:
                continue
            getattr(self, f"_{kind}")(now_s, content)
        return self._result()

    def _push(self, at_s: float, kind: str, content: object) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, kind, content))

    def _arrive(self, now_s: float, _content: object) -> None:
        load = self.load
        begin, length, factor = load.burst
        rate = load.rate * (
            1 + load.swing * math.sin(2 * math.pi * now_s / load.period_s)
        )
        if begin <= now_s < begin + length:
            rate *= factor
        self._push(now_s + self.random.expovariate(rate), "arrive", None)
        key = self._key(now_s)
        index = self._range_of(key)
        self.load_recorder.record_request("s", key)
        delay_s = max(0.0, self.ready_s.get(index, 0.0) - now_s)
        self._push(now_s + delay_s, "offer", (now_s, key))

    def _key(self, now_s: float) -> int:
        for (begin, length, share, count), at in zip(
            self.load.hot, self.hot_at, strict=True
        ):
            if begin <= now_s < begin + length and self.random.random() < share:
                return (at + self.random.randrange(count)) % KEY_COUNT
        rank = bisect_right(self.cumulative, self.random.random())
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
        elif len(state.queue) < QUEUE:
            state.queue.append((arrived_s, now_s, key))
        else:
            self.outcomes.append((arrived_s, "refused"))

    def _begin(self, now_s: float, server: str, arrived_s: float) -> None:
        state = self.servers[server]
        state.running += 1
        load = self.load
        sigma = load.spread
        work_s = load.mean_s * math.exp(self.random.gauss(-(sigma**2) / 2, sigma))
        if self.random.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        begin, length, share, factor = load.slow
        if begin <= now_s < begin + length and int(server[1:]) < share * load.servers:
            work_s *= factor
        end_s = min(now_s + work_s / state.speed, arrived_s + load.deadline_s)
        self._push(max(now_s, end_s), "finish", (server, arrived_s))

    def _finish(self, now_s: float, content: tuple[str, float]) -> None:
        server, arrived_s = content
        state = self.servers[server]
        state.running -= 1
        took_s = now_s - arrived_s
        kind = "in" if took_s <= self.load.objective_s else "late"
        if took_s < self.load.deadline_s:
            self.load_recorder.record_response("s", server, took_s)
        else:
            self.load_recorder.record_timeout("s", server, took_s)
            kind = "refused"
        self.outcomes.append((arrived_s, kind))
        if state.queue:
            waiting_s, _, _ = state.queue.popleft()
            self._begin(now_s, server, waiting_s)

    def _report(self, now_s: float, _content: object) -> None:
        self.load_aggregator.add(self.load_recorder.collect_report("host", REPORT_S))
        self._push(now_s + REPORT_S, "report", None)

    def _plan(self, now_s: float, _content: object) -> None:
        self.load_aggregator.decay(now_s)
        speeds = self.load_aggregator.speeds("s")
        members = [
            CandidateServer(
                name,
                speeds.get(name, 1.0),
                False,
                self.load_aggregator.requests_per_slot("s", name),
            )
            for name in self.servers
        ]
        for move in self.plan(self.ranges, members, self.load_aggregator):
            self._move(now_s, move)
        self._push(now_s + PLAN_S, "plan", None)

    def _move(self, now_s: float, move: RangeMove) -> None:
        self.moved += (move.last - move.first + 1) / KEY_COUNT
        ranges = []
        for owned in self.ranges:
            if owned.last < move.first or move.last < owned.first:
                ranges.append(owned)
                continue
            if owned.first < move.first:
                ranges.append(owned._replace(last=move.first - 1))
            middle = owned._replace(
                first=max(owned.first, move.first),
                last=min(owned.last, move.last),
                server=move.target,
            )
            ranges.append(middle)
            if move.last < owned.last:
                ranges.append(owned._replace(first=move.last + 1))
        self.ranges = ranges
        self.ready_s = {
            index: now_s + MOVE_S
            for index, owned in enumerate(ranges)
            if move.first <= owned.first and owned.last <= move.last
        } | {}

    def _result(self) -> KeyedResult:
        total = max(1, len(self.outcomes))
        counts = {"in": 0, "late": 0, "refused": 0}
        spans: dict[int, list[int]] = {}
        for arrived_s, kind in self.outcomes:
            counts[kind] += 1
            span = spans.setdefault(int(arrived_s / 2), [0, 0])
            span[0] += kind == "in"
            span[1] += 1
        worst = min(good / count for good, count in spans.values() if count > 20)
        return KeyedResult(
            counts["in"] / total,
            counts["late"] / total,
            counts["refused"] / total,
            self.moved,
            worst,
        )
