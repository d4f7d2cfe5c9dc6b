"""Retries: which, when, and how many."""

from __future__ import annotations

__all__ = ["Retry", "RetryBudget", "decide_retry", "retry_after_s"]

from random import Random
from typing import NamedTuple

from .configuration import ServicePolicy

# Retries that an account may make before its first attempts have earned any.
INITIAL_TOKENS = 1.0
# Largest saved budget; a longer quiet time must not allow a burst of retries.
TOKEN_LIMIT = 10.0
BACKOFF_FIRST_S = 0.01
BACKOFF_LIMIT_S = 1.0
ATTEMPT_LIMIT = 3
# A refused caller waits at least this long, and callers that are refused
# together are spread over at least the same time.
RETRY_AFTER_MINIMUM_S = 1.0
RETRY_AFTER_LIMIT_S = 60.0

NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Retry(NamedTuple):
    """A retry that was granted.

    :param delay_s: time to wait before the attempt.
    :param exclude: servers that the attempt must not use.
    """

    delay_s: float
    exclude: tuple[str, ...]


class RetryBudget:
    """Retries that one client account may make, earned by first attempts.

    :param ratio: retries earned by each first attempt.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = min(INITIAL_TOKENS, ratio * TOKEN_LIMIT)

    def deposit(self) -> None:
        """Record a first attempt."""
        self.tokens = min(TOKEN_LIMIT, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry from the budget, if it holds one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide_retry(
    policy: ServicePolicy,
    outcome: str,
    tried: tuple[str, ...],
    deadline: float,
    now: float,
    budget: RetryBudget,
    random: Random,
    expected_s: float = 0.0,
    endpoint_retry_after_s: float = 0.0,
) -> Retry | None:
    """Return the retry to make after a failed attempt, or ``None``.

    :param outcome: ``not-run`` when the request certainly was not run, or
        ``unknown``.
    :param tried: servers of the attempts so far, the latest last.
    :param deadline: monotonic time by which the response must have ended.
    :param expected_s: expected length of the attempt.
    :param endpoint_retry_after_s: ``Retry-After`` of the endpoint, or 0.
    """
    if outcome != NOT_RUN and not (outcome == UNKNOWN and policy.idempotent):
        return None
    if len(tried) >= ATTEMPT_LIMIT:
        return None
    delay_s = _backoff_s(len(tried), random)
    # Another server need not wait for the one that asked for time.
    elsewhere = not policy.keyed and len(policy.endpoints) > len(set(tried))
    if endpoint_retry_after_s and not elsewhere:
        delay_s += endpoint_retry_after_s
    if now + delay_s + expected_s >= deadline:
        return None
    if not budget.withdraw():
        return None
    return Retry(delay_s, tuple(tried) if elsewhere else ())


def retry_after_s(wait_s: float, random: Random) -> float:
    """Return the ``Retry-After`` in seconds for a caller that is refused.

    :param wait_s: estimated time until the overload has passed.
    """
    base_s = min(RETRY_AFTER_LIMIT_S, max(RETRY_AFTER_MINIMUM_S, wait_s))
    return base_s * (1.0 + 2.0 * random.random())


def _backoff_s(attempts: int, random: Random) -> float:
    limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2 ** (attempts - 1))
    return limit_s * (0.5 + random.random())
