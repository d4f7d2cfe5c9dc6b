import heapq
import random

from hypothesis import given, settings, strategies as st

from jacinthpath.limits import (
    BASELINE_PERIOD_S,
    LATENCY_CAP_FACTOR,
    ConcurrencyLimit,
    LatencyTrend,
)

SEEDED = settings(derandomize=True, deadline=None)


class NaiveTrend:
    """Recomputes the ratio from the whole history."""

    def __init__(self):
        self.history = []

    def ratio(self):
        recent_mean = slow_mean = baseline = self.history[0][0]
        period_end = self.history[0][1] + BASELINE_PERIOD_S
        period_means = []
        for latency, now in self.history:
            latency = min(latency, LATENCY_CAP_FACTOR * baseline)
            recent_mean = 0.9 * recent_mean + 0.1 * latency
            slow_mean = 0.95 * slow_mean + 0.05 * latency
            period_means.append(slow_mean)
            baseline = min(baseline, slow_mean)
            if now >= period_end:
                baseline = min(period_means)
                period_means = [slow_mean]
                period_end = now + BASELINE_PERIOD_S
        return max(1.0, recent_mean / baseline)


@SEEDED
@given(
    st.lists(
        st.tuples(st.floats(0.001, 1.0), st.floats(0.0, 20.0)), min_size=1, max_size=50
    )
)
def test_trend_equals_the_naive_recomputation(steps):
    """Guards against a baseline that keeps an old minimum or drops it too soon."""
    trend, naive = LatencyTrend(), NaiveTrend()
    now = 0.0
    for latency, gap in steps:
        now += gap
        trend.observe(latency, now)
        naive.history.append((latency, now))
        assert abs(trend.ratio(now) - naive.ratio()) < 1e-6 * naive.ratio()


def test_measured_congestion_decays():
    """Guards against work that is held back for ever by the last slow response."""
    trend = LatencyTrend()
    for number in range(50):
        trend.observe(0.01 if number < 25 else 0.05, number * 0.1)
    assert trend.ratio(4.9) > 2.0
    assert trend.ratio(6.0) == 1.0


@SEEDED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["acquire", "answer", "refuse"]), st.floats(0.0, 0.2)
        ),
        max_size=200,
    ),
    st.integers(1, 500),
)
def test_limit_keeps_its_bounds(operations, hosts):
    """Guards against a limit that stops all work or exceeds the connections."""
    limit = ConcurrencyLimit(3, hosts, 100)
    started = []
    now = 0.0
    for operation, gap in operations:
        now += gap
        if operation == "acquire":
            expected = len(started) < max(1.0, limit.value)
            assert limit.acquire() is expected
            if expected:
                started.append(now)
        elif started:
            limit.release(started.pop(0), now, refused=operation == "refuse")
        assert limit.in_flight == len(started)
        assert limit.minimum <= limit.value <= limit.maximum
    assert limit.maximum <= max(1.0, 100 / hosts)


def test_refusals_of_one_burst_count_once():
    """Guards against a limit that collapses when a server refuses a burst."""
    limit = ConcurrencyLimit(3, 1, 100)
    limit.value = 3.0
    for _ in range(3):
        limit.acquire()
    for _ in range(3):
        limit.release(0.0, 1.0, refused=True)
    assert limit.value == 3.0 * 0.8


def test_spare_capacity_does_not_grow_the_limit():
    """Guards against a limit that grows under light load, before a surge."""
    limit = ConcurrencyLimit(3, 10, 100)
    before = limit.value
    for number in range(500):
        limit.acquire()
        limit.release(number, number + 0.01, binding=False)
    assert limit.value == before


def run_hosts(host_count, duration_s):
    """Run saturated hosts against one server of three slots.

    Returns the longest queue in the second half and the final sum of the limits.
    """
    source = random.Random(1)
    limits = [ConcurrencyLimit(3, host_count, 100) for _ in range(host_count)]
    queue, events, running = [], [], 0
    now = max_queued = 0.0
    while now < duration_s:
        source.shuffle(limits)
        for limit in limits:
            while limit.acquire():
                queue.append((limit, now))
        while running < 3 and queue:
            limit, sent = queue.pop(0)
            length = source.uniform(0.005, 0.015)
            heapq.heappush(events, (now + length, id(limit), limit, sent))
            running += 1
        if now > duration_s / 2:
            max_queued = max(max_queued, len(queue))
        now, _, limit, sent = heapq.heappop(events)
        running -= 1
        limit.release(sent, now)
    return max_queued, sum(limit.value for limit in limits)


def test_hosts_share_a_server_without_coordination():
    """Guards against hosts that fill a server's queue without detecting it."""
    max_queued, total = run_hosts(10, 20.0)
    assert max_queued <= 20
    assert total >= 3.0
