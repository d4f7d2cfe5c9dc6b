import random

from hypothesis import given, settings, strategies as st

from jacinthpath.deferral import RELEASE_BY_SHARE, DeferralPlanner

SEEDED = settings(derandomize=True, deadline=None)


def run_planner(arrivals, demand, limit_s, seed=1):
    """Return release times by request and attempts by second."""
    planner = DeferralPlanner(random.Random(seed))
    released = {}
    attempts = []
    request_id = 0
    due = {}
    for second in range(max(len(arrivals), len(demand)) + limit_s):
        for _ in range(arrivals[second] if second < len(arrivals) else 0):
            planner.defer(request_id, limit_s, float(second))
            due[request_id] = second + limit_s
            request_id += 1
        immediate = demand[second] if second < len(demand) else 0
        planner.record_attempts(immediate)
        releases = planner.release_times(float(second))
        attempts.append(immediate + len(releases))
        for release in releases:
            assert second <= release.release_at < second + 1
            assert release.request_id not in released
            released[release.request_id] = release.release_at
    assert len(released) == request_id and not len(planner)
    return released, due, attempts


@SEEDED
@given(
    st.lists(st.integers(0, 20), min_size=1, max_size=120),
    st.lists(st.integers(0, 200), min_size=1, max_size=120),
    st.integers(10, 300),
)
def test_everything_is_released_once_and_in_time(arrivals, demand, limit_s):
    """Guards against deferrable work that is lost, released twice or late."""
    released, due, _ = run_planner(arrivals, demand, limit_s)
    for request_id, release_at in released.items():
        assert release_at <= due[request_id] - (1 - RELEASE_BY_SHARE) * limit_s + 2.0


def naive_min_release_rate(pending, now):
    """Return the lowest sufficient rate, computed per request without buckets."""
    rate = 0.0
    for count, release_by in enumerate(sorted(pending), 1):
        rate = max(rate, count / max(1.0, release_by - now))
    return rate


@SEEDED
@given(st.lists(st.integers(100, 2000), min_size=1, max_size=60))
def test_min_release_rate_is_close_to_the_naive_one(limits):
    """Guards against buckets that release too late or much too early."""
    planner = DeferralPlanner(random.Random(1))
    for request_id, limit_s in enumerate(limits):
        planner.defer(request_id, limit_s, 0.0)
    naive = naive_min_release_rate(
        [RELEASE_BY_SHARE * limit_s for limit_s in limits], 0.0
    )
    # A bucket counts as due at its start, up to 15 s early of at least 90 s.
    assert naive <= planner._min_release_rate(0.0) * 1.000001 <= naive * 90 / 74


def test_no_work_is_added_to_a_surge():
    """Guards against deferrable work that raises the billed busiest minute."""
    demand = [100] * 300 + [800] * 120 + [100] * 300
    arrivals = [40] * 300 + [320] * 120 + [40] * 300
    _, _, attempts = run_planner(arrivals, demand, 900)
    minutes = [sum(attempts[s : s + 60]) for s in range(0, len(attempts), 60)]
    assert max(minutes) <= 1.05 * 800 * 60


def test_backlog_is_not_released_at_once():
    """Guards against a spike that the planner itself causes after a large batch."""
    arrivals = [20_000] + [0] * 600
    _, _, attempts = run_planner(arrivals, [50] * 600, 3600)
    assert max(attempts) <= 60
    released, _, _ = run_planner([100] * 60, [50] * 60, 600)
    fractions = sorted(release_at % 1 for release_at in released.values())
    assert fractions[len(fractions) // 4] < 0.3 < 0.7 < fractions[-len(fractions) // 4]


def test_batch_due_within_a_peak_is_spread():
    """Guards against a spike at the latest release time of work delayed by a peak."""
    demand = [100] * 100 + [1000] * 600
    arrivals = [0] * 150 + [6000] + [0] * 549
    released, _, _ = run_planner(arrivals, demand, 300)
    by_second = [0] * 1000
    for release_at in released.values():
        by_second[int(release_at)] += 1
    # 6000 requests over 270 s are 22/s, and a bucket counts up to 15 s early.
    assert max(by_second) <= 25


def test_cancelled_request_is_not_released():
    """Guards against attempts for callers that have gone away."""
    planner = DeferralPlanner(random.Random(1))
    planner.defer(1, 5.0, 0.0)
    planner.cancel(1)
    assert not any(planner.release_times(float(second)) for second in range(10))
