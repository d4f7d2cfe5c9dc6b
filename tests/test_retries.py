import random

from hypothesis import given, settings, strategies as st

from jacinthpath.configuration import Endpoint, ServicePolicy
from jacinthpath.retries import (
    MAX_ATTEMPTS,
    MAX_TOKENS,
    RetryBudget,
    decide_retry,
    retry_after_s,
)

SEEDED = settings(derandomize=True, deadline=None)


def make_policy(keyed, idempotent, endpoint_count):
    endpoints = tuple(Endpoint(f"s{n}", f"h{n}:80") for n in range(endpoint_count))
    return ServicePolicy("s", keyed=keyed, idempotent=idempotent, endpoints=endpoints)


def full_budget():
    budget = RetryBudget(1.0)
    for _ in range(20):
        budget.deposit()
    return budget


def naive_may_retry(outcome, idempotent, attempts, tokens):
    """Return whether the documented rules allow a retry."""
    safe = outcome == "not-run" or (outcome == "unknown" and idempotent)
    return safe and attempts < MAX_ATTEMPTS and tokens >= 1.0


@SEEDED
@given(
    st.booleans(),
    st.booleans(),
    st.integers(1, 4),
    st.sampled_from(["not-run", "unknown", "answered", "running"]),
    st.lists(st.sampled_from(["s0", "s1", "s2"]), min_size=1, max_size=4),
    st.sampled_from([0.005, 0.05, 3.0, 100.0]),
    st.sampled_from([0.0, 2.0]),
    st.booleans(),
    st.integers(0, 1000),
)
def test_retry_follows_the_naive_rules(
    keyed,
    idempotent,
    count,
    outcome,
    tried,
    time_left_s,
    endpoint_retry_after_s,
    has_budget,
    seed,
):
    """Guards against a second run, a retry past the deadline or a retry storm."""
    policy = make_policy(keyed, idempotent, count)
    budget = full_budget() if has_budget else RetryBudget(0.0)
    tokens = budget.tokens
    retry = decide_retry(
        policy,
        outcome,
        tuple(tried),
        10.0 + time_left_s,
        10.0,
        budget,
        random.Random(seed),
        expected_s=0.01,
        endpoint_retry_after_s=endpoint_retry_after_s,
    )
    permitted = naive_may_retry(outcome, idempotent, len(tried), tokens)
    has_untried_server = not keyed and count > len(set(tried))
    longest_wait = 0.06 + (0.0 if has_untried_server else endpoint_retry_after_s) + 0.01
    if retry is None:
        assert budget.tokens == tokens
        assert not permitted or longest_wait >= time_left_s
        return
    assert permitted and budget.tokens == tokens - 1
    assert 10.0 + retry.delay_s + 0.01 < 10.0 + time_left_s
    assert set(retry.exclude) == (set(tried) if has_untried_server else set())
    assert has_untried_server or retry.delay_s >= endpoint_retry_after_s


@SEEDED
@given(st.booleans(), st.integers(1, 4), st.integers(0, 1000))
def test_request_that_may_have_run_is_not_run_again(keyed, count, seed):
    """Guards against a non-idempotent request that runs twice."""
    policy = make_policy(keyed, False, count)
    arguments = (("s0",), 1e6, 0.0, full_budget(), random.Random(seed))
    assert decide_retry(policy, "unknown", *arguments) is None
    assert decide_retry(policy, "not-run", *arguments) is not None


@SEEDED
@given(st.floats(0.0, 1.0), st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_budget(ratio, steps):
    """Guards against retries that multiply the load during an outage."""
    budget = RetryBudget(ratio)
    first_attempts = retries = 0
    for is_first in steps:
        if is_first:
            budget.deposit()
            first_attempts += 1
        elif budget.withdraw():
            retries += 1
    assert retries <= ratio * first_attempts + 1.0 + 1e-6
    assert budget.tokens <= MAX_TOKENS


def test_backoff_and_retry_after_have_jitter():
    """Guards against refused callers that all return in the same second."""
    source = random.Random(3)
    times = [retry_after_s(10.0, source) for _ in range(1000)]
    assert min(times) >= 10.0
    per_second = [sum(s <= t < s + 1 for t in times) for s in range(10, 30)]
    assert max(per_second) <= 90
    policy = make_policy(False, True, 3)
    delays = {
        decide_retry(
            policy, "not-run", ("s0",), 9.0, 0.0, full_budget(), source
        ).delay_s
        for _ in range(100)
    }
    assert len(delays) == 100
