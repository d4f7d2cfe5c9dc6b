"""What follows an attempt, and the budget of repeats."""

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


def step(outcomes, idempotent=True, servers=1, left_s=1.0, another=True, budget=True):
    results = [
        AttemptResult(outcome, "", local_response(500, "x")) for outcome in outcomes
    ]
    return next_step(route(idempotent), results, servers, left_s, 0.1, another, budget)


def test_a_request_turned_away_by_the_owner_is_offered_to_it_again():
    """A server that sheds half of its requests left half of them unserved."""
    assert step([Outcome.REFUSED], servers=1).kind is StepKind.RETRY


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.FAILED])
def test_what_may_have_run_is_not_repeated_unless_idempotent(outcome):
    """An order that may have run would run twice."""
    assert step([outcome], idempotent=False).kind is not StepKind.RETRY
    assert step([outcome], idempotent=True).kind is StepKind.RETRY


def test_an_earlier_run_forbids_a_refusal():
    """A refusal promises that no attempt of the request has run."""
    decided = step([Outcome.BROKEN, Outcome.REFUSED], another=False)
    assert decided.kind is StepKind.GIVE_UP


def test_no_more_servers_than_the_route_allows():
    assert step([Outcome.REFUSED], servers=3).kind is StepKind.REFUSE


def test_a_spent_budget_ends_the_repeats():
    assert step([Outcome.REFUSED], budget=False).kind is StepKind.REFUSE


def test_too_little_time_is_not_spent_on_another_server():
    assert step([Outcome.REFUSED], left_s=0.01).kind is StepKind.REFUSE


@given(
    st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300),
    st.integers(1, 12),
)
def test_the_repeats_of_all_hosts_stay_within_any_window(steps, hosts):
    """Together the hosts never exceed the ratio of the requests plus the slack."""
    budgets = [RetryBudget(10.0, 0.2, 58) for _ in range(hosts)]
    now_s, requests, repeats = 0.0, [], []
    for index, (pause_s, wants_repeat) in enumerate(steps):
        now_s += pause_s
        budget = budgets[index % hosts]
        budget.record_request(now_s)
        requests.append(now_s)
        if wants_repeat and budget.allows(now_s, hosts):
            budget.record_retry(now_s)
            repeats.append(now_s)
        window = [at for at in repeats if at > now_s - 10.0]
        served = [at for at in requests if at > now_s - 10.0]
        assert len(window) <= 0.2 * len(served) + 58
