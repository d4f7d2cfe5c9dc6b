import random
from collections import Counter
from itertools import accumulate

from hypothesis import given, settings, strategies as st

from jacinthpath.hashing import key_hash, slice_of
from jacinthpath.hotkeys import (
    HotKeySelector,
    HotKeySketch,
    KeyLoad,
    LoadReport,
    LoadWindow,
    SliceLoads,
    merge_reports,
    report_interval_s,
)

SEEDED = settings(derandomize=True, deadline=None)
streams = st.lists(st.integers(0, 40), max_size=400)


@SEEDED
@given(streams, st.integers(1, 8))
def test_sketch_bounds_hold_against_an_exact_counter(stream, capacity):
    """Guards against estimates outside their error bounds, and unbounded memory."""
    sketch, exact = HotKeySketch(capacity), Counter(stream)
    for key in stream:
        sketch.record(key)
        assert len(sketch) < 2 * capacity
    estimates = {key: (count, error) for key, count, error in sketch.heaviest(99)}
    assert sketch.floor <= len(stream) / capacity
    for key, true in exact.items():
        count, error = estimates.get(key, (sketch.floor, sketch.floor))
        assert count - error <= true <= count


@SEEDED
@given(st.lists(streams, max_size=5), st.integers(2, 8))
def test_windows_never_count_a_request_twice(windows, capacity):
    """Guards against counting requests of an earlier window in a later report."""
    sketch = HotKeySketch(capacity)
    for now, stream in enumerate(windows):
        for key in stream:
            sketch.record(key)
        exact = Counter(stream)
        for load in sketch.collect(float(now)):
            assert 0 < load.guaranteed <= exact[load.key_hash]


def test_sketch_forgets_a_key_without_further_requests():
    """Guards against reporting hot keys long after their traffic has ended."""
    sketch = HotKeySketch(capacity=8, half_life_s=3.0)
    for now in range(60):
        for _ in range(100):
            sketch.record(1 if now < 30 else 2)
        sketch.collect(float(now))
    weights = {key: count for key, count, _ in sketch.heaviest(2)}
    assert weights[1] < weights[2] / 500


@SEEDED
@given(streams, st.integers(1, 64))
def test_slice_loads_match_an_exact_counter(stream, slice_count):
    """Guards against lost counts, and counts carried over to the next window."""
    hashes = [key_hash(str(key)) for key in stream]
    loads = SliceLoads(slice_count)
    for hash_value in hashes:
        loads.record(hash_value)
    exact = Counter(slice_of(value, slice_count) for value in hashes)
    assert loads.collect() == [exact[index] for index in range(slice_count)]
    assert loads.collect() == [0] * slice_count


reports = st.builds(
    LoadReport,
    st.just("router"),
    st.just(1.0),
    st.lists(st.integers(0, 99), min_size=8, max_size=8),
    st.lists(
        st.builds(KeyLoad, st.integers(0, 9), st.integers(10, 99), st.integers(0, 9)),
        unique_by=lambda load: load.key_hash,
    ).map(tuple),
)


@SEEDED
@given(st.lists(reports, max_size=6), st.integers(0, 6))
def test_merging_in_steps_equals_merging_at_once(parts, cut):
    """Guards against sums that depend on the order in which relays merge reports."""
    at_once = merge_reports(parts)
    first, second = merge_reports(parts[:cut]), merge_reports(parts[cut:])
    in_steps = merge_reports([first, second])
    assert list(in_steps.slice_loads) == list(at_once.slice_loads)
    assert set(in_steps.hot_keys) == set(at_once.hot_keys)
    sums = [sum(column) for column in zip(*(p.slice_loads for p in parts), strict=True)]
    assert list(at_once.slice_loads) == sums
    expected = Counter()
    for report in parts:
        expected.update({load.key_hash: load.guaranteed for load in report.hot_keys})
    assert {load.key_hash: load.guaranteed for load in at_once.hot_keys} == expected


def test_merged_reports_keep_a_bounded_number_of_the_heaviest_keys():
    """Guards against memory that grows with the number of routers."""
    parts = [
        LoadReport(
            "r", 1.0, {}, tuple(KeyLoad(r * 64 + k, k + 1, 0) for k in range(64))
        )
        for r in range(100)
    ]
    merged = merge_reports(parts, key_limit=256)
    assert len(merged.hot_keys) == 256
    assert min(load.requests for load in merged.hot_keys) >= 62
    window = LoadWindow(8)
    for now, part in enumerate(parts):
        window.add(part, float(now))
        assert len(window.key_loads) <= 256 + 64


def test_window_ignores_slices_of_another_table_size():
    """Guards against an exception in the coordinator on a stale router's report."""
    window = LoadWindow(4)
    window.add(LoadReport("r", 1.0, [0, 0, 0, 5], ()), 0.0)
    window.add(LoadReport("r", 1.0, [7] * 8, ()), 0.0)
    window.add(LoadReport("r", 1.0, [], ()), 0.0)
    assert window.slice_loads == [0, 0, 0, 5]


@SEEDED
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 100)), max_size=40))
def test_window_matches_the_sum_of_decayed_requests(arrivals):
    """Guards against keys and slices that decay at different rates."""
    arrivals = sorted(arrivals)
    window = LoadWindow(1, half_life_s=3.0)
    for now, count in arrivals:
        window.add(LoadReport("r", 1.0, [count], (KeyLoad(7, count, 0),)), now)
    exact = sum(count * 0.5 ** ((31 - now) / 3) for now, count in arrivals)
    window.decay(31.0)
    assert abs(window.slice_loads[0] - exact) < 1e-6
    assert abs(window.key_loads.get(7, 0) - exact) < 1e-6


def test_key_near_the_threshold_does_not_change_back_and_forth():
    """Guards against churn while a load varies around the split threshold."""
    selector, placed, changes = HotKeySelector(), set(), 0
    for now in range(200):
        load = 35.0 if now % 2 else 25.0
        decision = selector.decide(float(now), placed, {1: load}, 1000.0)
        changes += len(decision.split) + len(decision.merge)
        placed = placed.union(decision.split).difference(decision.merge)
    assert changes == 1


def test_cold_key_is_merged_only_after_the_dwell_time():
    """Guards against hot keys that are never merged, or merged on a short dip."""
    selector = HotKeySelector(dwell_s=10.0)
    for now in range(10):
        assert selector.decide(float(now), {1}, {1: 1.0}, 1000.0).merge == ()
    assert selector.decide(10.0, {1}, {1: 1.0}, 1000.0).merge == (1,)
    assert selector.decide(11.0, {1}, {1: 20.0}, 1000.0).merge == ()
    assert selector.decide(12.0, {1}, {1: 1.0}, 1000.0).merge == ()


def test_limit_holds_and_a_much_hotter_key_displaces_the_coldest():
    """Guards against ignoring new hot keys while the limit is reached."""
    selector, placed = HotKeySelector(limit=4), {1, 2, 3, 4}
    loads = {1: 40.0, 2: 50.0, 3: 60.0, 4: 70.0, 5: 79.0}
    assert selector.decide(0.0, placed, loads, 1000.0) == ((), ())
    loads[5] = 81.0
    assert selector.decide(1.0, placed, loads, 1000.0) == ((), (1,))
    assert selector.decide(2.0, {2, 3, 4}, loads, 1000.0).split == (5,)


def test_sparse_traffic_splits_and_merges_nothing():
    """Guards against decisions based on a handful of requests."""
    assert HotKeySelector().decide(0.0, {1}, {2: 5.0}, 8.0) == ((), ())


def test_report_interval_bounds_reports_per_second():
    """Guards against a coordinator load that grows with the number of hosts."""
    assert report_interval_s(10) == 1.0
    assert 500 / report_interval_s(500) <= 50


def test_new_hot_keys_are_found_within_five_seconds():
    """Guards against a load window that is too long to follow changing hot keys."""
    randomness = random.Random(20261204)
    weights = list(accumulate(1 / rank**0.99 for rank in range(1, 20_001)))
    ranked = [key_hash(str(number)) for number in range(20_000)]
    sketches = [HotKeySketch() for _ in range(10)]
    window, selector, placed = LoadWindow(64), HotKeySelector(), set()
    for now in range(26):
        if now == 20:
            ranked[:12], ranked[500:512] = ranked[500:512], ranked[:12]
        slices = [SliceLoads(64) for _ in sketches]
        for key in randomness.choices(ranked, cum_weights=weights, k=4_000):
            router = randomness.randrange(10)
            sketches[router].record(key)
            slices[router].record(key)
        parts = zip(sketches, slices, strict=True)
        collected = [
            LoadReport("r", 1.0, s.collect(), k.collect(float(now))) for k, s in parts
        ]
        window.add(merge_reports(collected), float(now))
        decision = selector.decide(
            float(now), placed, window.key_loads, window.total() / 10
        )
        placed = placed.union(decision.split).difference(decision.merge)
        if now in (10, 24):
            assert placed.issuperset(ranked[:12])
