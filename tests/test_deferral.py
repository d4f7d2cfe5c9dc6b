import random

from hypothesis import given, settings, strategies as st

from jacinthpath.deferral import RELEASE_BY, DeferralPlanner

RELIABLE = settings(derandomize=True, deadline=None)


def run_planner(arrivals, demand, limit, seed=1):
    """Return release times by request and attempts by second."""
    planner = DeferralPlanner(random.Random(seed))
    released = {}
    attempts = []
    number = 0
    due = {}
    for second in range(max(len(arrivals), len(demand)) + limit):
        for _ in range(arrivals[second] if second < len(arrivals) else 0):
            planner.defer(number, limit, float(second))
            due[number] = second + limit
            number += 1
        immediate = demand[second] if second < len(demand) else 0
        planner.attempted(immediate)
        releases = planner.release_times(float(second))
        attempts.append(immediate + len(releases))
        for release in releases:
            assert second <= release.release_at < second + 1
            assert release.request_id not in released
            released[release.request_id] = release.release_at
    assert len(released) == number and not len(planner)
    return released, due, attempts


@RELIABLE
@given(
    st.lists(st.integers(0, 20), min_size=1, max_size=120),
    st.lists(st.integers(0, 200), min_size=1, max_size=120),
    st.integers(10, 300),
)
def test_everything_is_released_once_and_in_time(arrivals, demand, limit):
    """Guards against deferrable work that is lost, repeated or late."""
    released, due, _ = run_planner(arrivals, demand, limit)
    for number, when in released.items():
        assert when <= due[number] - (1 - RELEASE_BY) * limit + 2.0


def naive_forced_rate(pending, now):
    """Return the lowest rate over every single release time, without buckets."""
    rate = 0.0
    for count, release_by in enumerate(sorted(pending), 1):
        rate = max(rate, count / max(1.0, release_by - now))
    return rate


@RELIABLE
@given(st.lists(st.integers(100, 2000), min_size=1, max_size=60))
def test_forced_rate_is_close_to_the_naive_one(limits):
    """Guards against buckets that release too late or much too early."""
    planner = DeferralPlanner(random.Random(1))
    for number, limit in enumerate(limits):
        planner.defer(number, limit, 0.0)
    naive = naive_forced_rate([RELEASE_BY * limit for limit in limits], 0.0)
    # A bucket counts as due at its start, up to 15 s early of at least 90 s.
    assert naive <= planner._forced_rate(0.0) * 1.000001 <= naive * 90 / 74


def test_no_work_is_added_to_a_surge():
    """Guards against deferrable work in the minute that is billed."""
    demand = [100] * 300 + [800] * 120 + [100] * 300
    arrivals = [40] * 300 + [320] * 120 + [40] * 300
    _, _, attempts = run_planner(arrivals, demand, 900)
    minutes = [sum(attempts[s : s + 60]) for s in range(0, len(attempts), 60)]
    assert max(minutes) <= 1.05 * 800 * 60


def test_backlog_is_not_released_at_once():
    """Guards against a spike of the planner's own after a large batch."""
    arrivals = [20_000] + [0] * 600
    _, _, attempts = run_planner(arrivals, [50] * 600, 3600)
    assert max(attempts) <= 60
    released, _, _ = run_planner([100] * 60, [50] * 60, 600)
    fractions = sorted(when % 1 for when in released.values())
    assert fractions[len(fractions) // 4] < 0.3 < 0.7 < fractions[-len(fractions) // 4]


def test_cancelled_request_is_not_released():
    """Guards against attempts for callers that have gone away."""
    planner = DeferralPlanner(random.Random(1))
    planner.defer(1, 5.0, 0.0)
    planner.cancel(1)
    assert not any(planner.release_times(float(second)) for second in range(10))
