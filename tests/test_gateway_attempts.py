"""The step after an attempt, and the retry budget."""

import pytest
from hypothesis import given, strategies as st

from jacinthpath.gateway.attempts import StepKind, next_step
from jacinthpath.gateway.exchange import AttemptResult, Outcome, local_response
from jacinthpath.gateway.model import Route, WeightedService
from jacinthpath.gateway.retry_budget import RetryBudget


def route(idempotent=True, max_servers=2):
    return Route(
        "r",
        "h",
        "/a/",
        idempotent,
        1.0,
        0.3,
        1,
        max_servers,
        (WeightedService("s", 1),),
    )


def decide(
    outcomes,
    idempotent=True,
    servers=1,
    remaining_s=1.0,
    has_alternative=True,
    budget_allows=True,
):
    results = [
        AttemptResult(outcome, "", local_response(500, "x")) for outcome in outcomes
    ]
    return next_step(
        route(idempotent),
        results,
        servers,
        remaining_s,
        0.1,
        has_alternative,
        budget_allows,
    )


def test_request_refused_by_the_owner_is_retried_there():
    """Without it, half of the requests to a server that shed half of them failed."""
    assert decide([Outcome.REFUSED], servers=1).kind is StepKind.RETRY


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.FAILED])
def test_request_that_may_have_executed_is_retried_only_if_idempotent(outcome):
    """A shop order that may have been executed would be executed twice."""
    assert decide([outcome], idempotent=False).kind is not StepKind.RETRY
    assert decide([outcome], idempotent=True).kind is StepKind.RETRY


def test_no_refusal_after_an_attempt_that_may_have_executed():
    """A refusal promises that no attempt of the request was executed."""
    step = decide([Outcome.BROKEN, Outcome.REFUSED], has_alternative=False)
    assert step.kind is StepKind.GIVE_UP


def test_no_more_servers_than_the_route_allows():
    assert decide([Outcome.REFUSED], servers=3).kind is StepKind.REFUSE


def test_exhausted_budget_ends_the_retries():
    assert decide([Outcome.REFUSED], budget_allows=False).kind is StepKind.REFUSE


def test_attempt_that_no_server_received_needs_no_budget():
    """Guards against a host whose path is disturbed: it spent the budget on attempts
    that no server received, and refused what the next one would have served."""
    unreachable = [Outcome.UNREACHABLE] * 2
    assert decide(unreachable, budget_allows=False).kind is StepKind.RETRY
    received = [Outcome.REFUSED, Outcome.UNREACHABLE]
    assert decide(received, budget_allows=False).kind is StepKind.REFUSE


def test_attempts_without_a_connection_end_too():
    """Guards against a request that tries all servers of a service that has failed."""
    assert decide([Outcome.UNREACHABLE] * 4).kind is StepKind.REFUSE


def test_no_retry_with_too_little_time():
    assert decide([Outcome.REFUSED], remaining_s=0.01).kind is StepKind.REFUSE


@given(
    st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300),
    st.integers(1, 12),
)
def test_retries_of_all_hosts_stay_within_the_budget_in_any_window(steps, hosts):
    """All hosts together never exceed the ratio of the requests plus the slack."""
    budgets = [RetryBudget(10.0, 0.2, 58) for _ in range(hosts)]
    now_s, requests, retries = 0.0, [], []
    for index, (pause_s, wants_retry) in enumerate(steps):
        now_s += pause_s
        budget = budgets[index % hosts]
        budget.record_request(now_s)
        requests.append(now_s)
        if wants_retry and budget.allows(now_s, hosts):
            budget.record_retry(now_s)
            retries.append(now_s)
        retried = [at for at in retries if at > now_s - 10.0]
        arrived = [at for at in requests if at > now_s - 10.0]
        assert len(retried) <= 0.2 * len(arrived) + 58
