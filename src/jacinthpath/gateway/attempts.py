"""What follows an attempt: the server's response, a retry, or a local response."""

from __future__ import annotations

__all__ = [
    "MAX_RETRY_AFTER_S",
    "Step",
    "StepKind",
    "final_step",
    "jittered_retry_after_s",
    "next_step",
    "was_received",
]

import enum
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from .exchange import NOT_EXECUTED_OUTCOMES, AttemptResult, Outcome
from .model import Route

MIN_REMAINING_SHARE = 0.6
"""A retry needs at least this share of the expected response time; with less time left
it would only add load to the next server."""

MAX_RETRIES = 3
"""Attempts of one request beyond the first. A server that refuses a share of its
requests without executing them is tried again, within the shared retry budget."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.5

MAX_PLANNED_JITTER = 0.25
"""A time that was planned for one caller already differs from those of others."""

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Callers take them for the promise that the request has not run and never will, and
send it once more."""


class StepKind(enum.Enum):
    """What to do next with a request."""

    RESPOND = "answer"
    """Return the server's response to the caller."""
    RETRY = "repeat"
    """Send the request again, to the same server or another one."""
    REFUSE = "refuse"
    """Respond that the request was not executed, with a Retry-After time."""
    GIVE_UP = "give-up"
    """Respond that the outcome is unknown."""
    TIME_OUT = "time-out"
    """Respond that the server did not respond in time."""


class Step(NamedTuple):
    """The next step and the reason for it."""

    kind: StepKind
    reason: str


def next_step(
    route: Route,
    results: list[AttemptResult],
    server_count: int,
    remaining_s: float,
    expected_s: float,
    has_alternative: bool,
    budget_allows: bool,
) -> Step:
    """Return the step that follows the last of ``results``.

    :param server_count: distinct servers that may have received the request after a
        retry.
    :param remaining_s: time until the request's deadline.
    :param expected_s: expected response time of the server that a retry goes to.
    :param has_alternative: whether there is a server that a retry may go to.
    :param budget_allows: whether the shared retry budget allows a retry.
    """
    last = results[-1]
    if last.outcome is Outcome.ANSWERED:
        return final_step(route, last)
    may_have_executed = any(
        result.outcome not in NOT_EXECUTED_OUTCOMES for result in results
    )
    reason = _reason_against_retry(
        route,
        results,
        server_count,
        may_have_executed,
        remaining_s,
        expected_s,
        has_alternative,
        budget_allows,
    )
    if not reason:
        return Step(StepKind.RETRY, last.outcome.value)
    if last.outcome is Outcome.FAILED:
        return final_step(route, last, reason)
    if not may_have_executed:
        return Step(StepKind.REFUSE, f"{last.outcome.value}, {reason}")
    if last.outcome is Outcome.TIMED_OUT:
        return Step(StepKind.TIME_OUT, reason)
    return Step(StepKind.GIVE_UP, f"{last.outcome.value}, {reason}")


def final_step(route: Route, result: AttemptResult, reason: str = "") -> Step:
    """Return the step for a server's response that is not retried.

    A status by which callers conclude that a request has not run is not passed on if
    the server did not say so and the request must not run twice.

    :param reason: why it is not retried.
    """
    response = result.response
    if route.idempotent or response.status not in NOT_EXECUTED_STATUSES:
        return Step(StepKind.RESPOND, reason)
    return Step(StepKind.GIVE_UP, f"may-have-run, status {response.status}")


def was_received(results: Iterable[AttemptResult]) -> bool:
    """Return whether a server has received one of the attempts.

    One without a connection adds no load to any server.
    """
    return any(
        result.was_sent and result.outcome is not Outcome.UNREACHABLE
        for result in results
    )


def jittered_retry_after_s(
    wait_s: float, random: Random, is_planned: bool = False
) -> float:
    """Return the Retry-After time for a refused caller, with jitter.

    :param wait_s: time until the cause of the refusal is expected to have passed.
    :param is_planned: whether there will be room for this caller then, and not before.
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    if is_planned:
        return base_s * (1 + MAX_PLANNED_JITTER * random.random())
    return base_s * (0.75 + 0.75 * random.random())


def _reason_against_retry(
    route: Route,
    results: list[AttemptResult],
    server_count: int,
    may_have_executed: bool,
    remaining_s: float,
    expected_s: float,
    has_alternative: bool,
    budget_allows: bool,
) -> str:
    """Return why the request is not retried, or an empty string."""
    if may_have_executed and not route.idempotent:
        return "not-repeatable"
    if server_count > route.max_servers or len(results) > MAX_RETRIES:
        return "max-servers"
    if not has_alternative:
        return "no-other-server"
    if remaining_s < MIN_REMAINING_SHARE * expected_s:
        return "too-little-time"
    if not budget_allows and was_received(results):
        return "repeat-budget-spent"
    return ""
