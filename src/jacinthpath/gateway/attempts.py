"""What follows an attempt: the server's answer, another server, or an own reply."""

from __future__ import annotations

__all__ = ["Step", "StepKind", "jittered_retry_after_s", "next_step"]

import enum
from random import Random
from typing import NamedTuple

from .exchange import NOT_EXECUTED_OUTCOMES, AttemptResult, Outcome
from .model import Route

RETRY_LEFT_SHARE = 0.6
"""A repeat needs this share of the time that an answer is expected to take, at the
least; with less left it would only load the next server."""

MAX_REPEATS = 3
"""Sends of one request beyond the first. A server that turns a share of its requests
away without running them is asked again, within the shared budget."""

RETRY_AFTER_LEAST_S = 0.1
RETRY_AFTER_MOST_S = 2.5


class StepKind(enum.Enum):
    """What to do next with a request."""

    ANSWER = "answer"
    """Pass the server's answer on."""
    RETRY = "repeat"
    """Send to another server."""
    REFUSE = "refuse"
    """Say that the request was not run and when to come back."""
    GIVE_UP = "give-up"
    """Say that the outcome is unknown."""
    TIME_OUT = "time-out"
    """Say that no answer came in time."""


class Step(NamedTuple):
    """The next step and why it was chosen."""

    kind: StepKind
    reason: str


def next_step(
    route: Route,
    results: list[AttemptResult],
    servers: int,
    left_s: float,
    expected_s: float,
    another: bool,
    budget_left: bool,
) -> Step:
    """Return the step after the last of ``results``.

    :param servers: servers that a repeat would bring the request to, in all.
    :param left_s: time that the caller still waits.
    :param expected_s: time that an answer of another server is expected to take.
    :param another: whether there is a server that may run the request.
    :param budget_left: whether the shared budget allows a repeat.
    """
    last = results[-1]
    if last.outcome is Outcome.ANSWERED:
        return Step(StepKind.ANSWER, "")
    may_have_run = any(
        result.outcome not in NOT_EXECUTED_OUTCOMES for result in results
    )
    obstacle = _obstacle(
        route, results, servers, may_have_run, left_s, expected_s, another, budget_left
    )
    if not obstacle:
        return Step(StepKind.RETRY, last.outcome.value)
    if last.outcome is Outcome.FAILED:
        return Step(StepKind.ANSWER, obstacle)
    if not may_have_run:
        return Step(StepKind.REFUSE, f"{last.outcome.value}, {obstacle}")
    if last.outcome is Outcome.TIMED_OUT:
        return Step(StepKind.TIME_OUT, obstacle)
    return Step(StepKind.GIVE_UP, f"{last.outcome.value}, {obstacle}")


def jittered_retry_after_s(wait_s: float, random: Random) -> float:
    """Return when a refused caller should come back, spread over a range.

    :param wait_s: time until the cause of the refusal is expected to have passed.
    """
    base_s = min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_LEAST_S, wait_s))
    return base_s * (0.75 + 0.75 * random.random())


def _obstacle(
    route: Route,
    results: list[AttemptResult],
    servers: int,
    may_have_run: bool,
    left_s: float,
    expected_s: float,
    another: bool,
    budget_left: bool,
) -> str:
    """Return why there is no repeat, or an empty string."""
    if may_have_run and not route.idempotent:
        return "not-repeatable"
    if servers > route.max_servers or len(results) > MAX_REPEATS:
        return "max-servers"
    if not another:
        return "no-other-server"
    if left_s < RETRY_LEFT_SHARE * expected_s:
        return "too-little-time"
    if not budget_left:
        return "repeat-budget-spent"
    return ""
