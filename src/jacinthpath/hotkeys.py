"""Counts the load of slices and heavy keys in bounded memory and merges it over hosts.

Each router counts its own requests with a :class:`HotKeySketch` and a
:class:`SliceLoads` and sends a :class:`LoadReport` about once a second. The
coordinator adds the reports to a :class:`LoadWindow` and asks a
:class:`HotKeySelector` which keys to place individually.
"""

from __future__ import annotations

__all__ = [
    "HotKeyDecision",
    "HotKeySelector",
    "HotKeySketch",
    "KeyLoad",
    "LoadReport",
    "LoadWindow",
    "SliceLoads",
    "merge_reports",
    "report_interval_s",
]

import heapq
from collections.abc import Collection, Iterable, Mapping, Sequence
from operator import add, itemgetter
from typing import NamedTuple

from .hashing import HASH_BITS

REPORTED_KEYS = 64
MERGED_KEYS = 256

# Short enough to detect new hot keys within seconds. At 100 requests/s per server the
# window holds about 430 requests of each server, a sampling error of 5%.
HALF_LIFE_S = 3.0

# Decay costs one pass over all slices, so it runs at most once in this interval however
# many reports arrive.
MIN_DECAY_INTERVAL_S = 0.25

# Adding a report of 1,024 slices and 64 keys takes 0.1 to 0.2 ms, so this rate costs
# the coordinator about 1% of a core.
MAX_REPORTS_PER_S = 50


class KeyLoad(NamedTuple):
    """Requests of one key in the window of a report.

    :param key_hash: hash of the key.
    :param requests: upper estimate of its requests.
    :param error: maximum overestimate; ``requests - error`` never exceeds the true
        count.
    """

    key_hash: int
    requests: int
    error: int

    @property
    def guaranteed(self) -> int:
        """Lower bound of the key's requests."""
        return self.requests - self.error


class LoadReport(NamedTuple):
    """Requests that one router, or several in a merged report, sent for one service.

    :param router: process identity of the router; empty for a merged report.
    :param window_s: seconds that the counts cover.
    :param slice_loads: requests of each slice, including those of hot keys.
    :param hot_keys: heaviest keys.
    """

    router: str
    window_s: float
    slice_loads: Sequence[int]
    hot_keys: tuple[KeyLoad, ...]


class HotKeySketch:
    """Space-Saving sketch of the heaviest keys of a request stream.

    The sketch holds fewer than ``2 * capacity`` keys. When it is full, the lighter
    half is evicted in one pass, and the heaviest evicted estimate becomes the floor, at
    which the count of a new key starts. This is Space-Saving with batched eviction: the
    floor never exceeds the window's requests divided by ``capacity``, and a request
    costs one dictionary update. Counts halve every ``half_life_s``.

    :param capacity: number of keys that an eviction keeps.
    :param half_life_s: seconds in which a past request loses half its weight.
    """

    def __init__(self, capacity: int = 512, half_life_s: float = HALF_LIFE_S) -> None:
        self.capacity = capacity
        self.half_life_s = half_life_s
        self.floor = 0.0
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}
        self._counts_at_window_start: dict[int, float] = {}
        self._collected_at: float | None = None

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, key_hash: int) -> None:
        """Count one request for a key."""
        counts = self._counts
        count = counts.get(key_hash)
        if count is not None:
            counts[key_hash] = count + 1.0
            return
        counts[key_hash] = self.floor + 1.0
        self._errors[key_hash] = self.floor
        if len(counts) >= 2 * self.capacity:
            self._evict()

    def heaviest(self, limit: int) -> list[tuple[int, float, float]]:
        """Return the heaviest keys as (key hash, estimate, error), heaviest first.

        The decayed true count lies between ``estimate - error`` and ``estimate``.
        """
        items = heapq.nlargest(limit, self._counts.items(), key=itemgetter(1))
        return [(key, count, self._errors[key]) for key, count in items]

    def collect(self, now: float, limit: int = REPORTED_KEYS) -> tuple[KeyLoad, ...]:
        """Return the heaviest keys with their requests since the last call.

        Start a new window and decay the counts to ``now``.
        """
        loads = tuple(self._window_load(*item) for item in self.heaviest(limit))
        self._decay(now)
        return tuple(load for load in loads if load.guaranteed > 0)

    def _window_load(self, key: int, count: float, error: float) -> KeyLoad:
        start = self._counts_at_window_start.get(key)
        if start is None:
            guaranteed = round(count - error)
            return KeyLoad(key, guaranteed + round(error), round(error))
        return KeyLoad(key, round(count - start), 0)

    def _decay(self, now: float) -> None:
        if self._collected_at is not None:
            factor = 0.5 ** ((now - self._collected_at) / self.half_life_s)
            self.floor *= factor
            self._counts = {key: n * factor for key, n in self._counts.items()}
            self._errors = {key: n * factor for key, n in self._errors.items()}
        self._collected_at = now
        self._counts_at_window_start = dict(self._counts)

    def _evict(self) -> None:
        ranked = sorted(self._counts.items(), key=itemgetter(1), reverse=True)
        kept = ranked[: self.capacity]
        self.floor = ranked[self.capacity][1]
        self._counts = dict(kept)
        self._errors = {key: self._errors[key] for key, _ in kept}
        start = self._counts_at_window_start
        self._counts_at_window_start = {
            key: start[key] for key, _ in kept if key in start
        }


class SliceLoads:
    """Counts the requests of each slice since the last report.

    :param slice_count: number of slices in the service's hash space.
    """

    def __init__(self, slice_count: int) -> None:
        self._slice_count = slice_count
        self._counts = [0] * slice_count

    def record(self, key_hash: int) -> None:
        """Count one request for the slice of a key hash."""
        self._counts[(key_hash * self._slice_count) >> HASH_BITS] += 1

    def collect(self) -> list[int]:
        """Return the requests of each slice since the last call; start a new window."""
        counts, self._counts = self._counts, [0] * self._slice_count
        return counts


def report_interval_s(host_count: int) -> float:
    """Return the interval between the reports of one router, in seconds.

    The interval increases with the number of hosts, so that the number of reports
    per second at the coordinator is bounded.
    """
    return max(1.0, host_count / MAX_REPORTS_PER_S)


def merge_reports(
    reports: Iterable[LoadReport], key_limit: int = MERGED_KEYS
) -> LoadReport:
    """Return the sum of reports of different routers over the same window.

    Merged reports can be merged again. ``requests - error`` of a key remains a lower
    bound; a router that does not list a key adds nothing to it.

    :param key_limit: maximum number of keys in the result, heaviest first.
    """
    window_s = 0.0
    slices: Sequence[int] = ()
    keys: dict[int, tuple[int, int]] = {}
    for report in reports:
        window_s = max(window_s, report.window_s)
        slices = _sum_slices(slices, report.slice_loads)
        for key, requests, error in report.hot_keys:
            old_requests, old_error = keys.get(key, (0, 0))
            keys[key] = (old_requests + requests, old_error + error)
    loads = (KeyLoad(key, *counts) for key, counts in keys.items())
    heaviest = heapq.nlargest(key_limit, loads, key=lambda load: load.guaranteed)
    return LoadReport("", window_s, slices, tuple(heaviest))


def _sum_slices(first: Sequence[int], second: Sequence[int]) -> Sequence[int]:
    """Return the sum by slice, or the longer list if the slice counts differ."""
    if len(first) == len(second):
        return list(map(add, first, second))
    return max(first, second, key=len)


class LoadWindow:
    """Exponentially decaying sum of the reports of all routers.

    Slices and keys decay at the same rate, so the load of a key can be subtracted from
    that of its slice at any time.

    :param slice_count: number of slices in the service's hash space.
    :param half_life_s: seconds in which a past request loses half its weight.
    """

    def __init__(self, slice_count: int, half_life_s: float = HALF_LIFE_S) -> None:
        self.half_life_s = half_life_s
        self.slice_loads = [0.0] * slice_count
        self.key_loads: dict[int, float] = {}
        self._decayed_at: float | None = None

    def add(self, report: LoadReport, now: float) -> None:
        """Add a report that arrived at ``now``.

        Slice loads are ignored if the router's table has another number of slices.
        """
        self.decay(now)
        if len(report.slice_loads) == len(self.slice_loads):
            self.slice_loads = list(map(add, self.slice_loads, report.slice_loads))
        key_loads = self.key_loads
        for key, requests, error in report.hot_keys:
            if requests > error:
                key_loads[key] = key_loads.get(key, 0.0) + requests - error

    def decay(self, now: float) -> None:
        """Decay all loads to their weight at ``now``.

        Does nothing within :data:`MIN_DECAY_INTERVAL_S` of the last decay.
        """
        if self._decayed_at is None:
            self._decayed_at = now
        elapsed_s = now - self._decayed_at
        if elapsed_s < MIN_DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / self.half_life_s)
        self.slice_loads = [load * factor for load in self.slice_loads]
        heaviest = heapq.nlargest(
            MERGED_KEYS, self.key_loads.items(), key=itemgetter(1)
        )
        self.key_loads = {key: load * factor for key, load in heaviest}

    def total(self) -> float:
        """Return the decayed number of requests in the window."""
        return sum(self.slice_loads)


class HotKeyDecision(NamedTuple):
    """Keys to place individually, and keys to merge back into their slice."""

    split: tuple[int, ...]
    merge: tuple[int, ...]


class HotKeySelector:
    """Decides which keys are placed individually.

    A key is split out of its slice when its load reaches ``split_share`` of a server's
    fair load, and is merged back after it has stayed below ``merge_share`` for
    ``dwell_s``. The gap between the two shares and the dwell time keep a key near the
    threshold from changing back and forth. Under Zipf traffic over ten servers the
    12th key has about 6% of a server's load. With a threshold of half of that, such a
    key is detected one half-life after it became hot.

    :param limit: maximum number of keys placed individually.
    :param min_requests: fewest requests in the window for which a key is split; with
        fewer, sampling noise alone exceeds the gap between the shares.
    """

    def __init__(
        self,
        limit: int = 64,
        split_share: float = 0.03,
        merge_share: float = 0.012,
        dwell_s: float = 10.0,
        min_requests: float = 16.0,
    ) -> None:
        self.limit = limit
        self.split_share = split_share
        self.merge_share = merge_share
        self.dwell_s = dwell_s
        self.min_requests = min_requests
        self._cold_since: dict[int, float] = {}

    def decide(
        self,
        now: float,
        placed: Collection[int],
        loads: Mapping[int, float],
        fair_load: float,
    ) -> HotKeyDecision:
        """Return the keys to split and the keys to merge back.

        :param placed: keys that are placed individually now.
        :param loads: load of each heavy key, in requests in the window.
        :param fair_load: mean load of a server, in the same unit.
        """
        if fair_load < self.min_requests:
            self._cold_since.clear()
            return HotKeyDecision((), ())
        merge = self._cold_keys(now, placed, loads, fair_load)
        threshold = max(self.split_share * fair_load, self.min_requests)
        hot = [key for key, load in loads.items() if load >= threshold]
        candidates = sorted(set(hot).difference(placed), key=lambda key: -loads[key])
        free_places = max(0, self.limit - len(placed))
        merge |= self._displaced_keys(
            placed, loads, candidates[free_places:], len(merge)
        )
        return HotKeyDecision(tuple(candidates[:free_places]), tuple(sorted(merge)))

    def _cold_keys(
        self,
        now: float,
        placed: Collection[int],
        loads: Mapping[int, float],
        fair_load: float,
    ) -> set[int]:
        threshold = self.merge_share * fair_load
        cold = [key for key in placed if loads.get(key, 0.0) < threshold]
        self._cold_since = {key: self._cold_since.get(key, now) for key in cold}
        return {
            key
            for key, since in self._cold_since.items()
            if now - since >= self.dwell_s
        }

    def _displaced_keys(
        self,
        placed: Collection[int],
        loads: Mapping[int, float],
        waiting: list[int],
        already_merging: int,
    ) -> set[int]:
        """Return placed keys with less than half the load of a waiting key.

        :param waiting: hot keys for which the limit leaves no place, hottest first.
        :param already_merging: number of keys that are merged for other reasons.
        """
        coldest = sorted(placed, key=lambda key: (loads.get(key, 0.0), key))
        pairs = zip(coldest[already_merging:], waiting[already_merging:], strict=False)
        return {old for old, new in pairs if 2 * loads.get(old, 0.0) < loads[new]}
