"""Retry policy: retryable outcomes, back-off and retry budget."""

from __future__ import annotations

__all__ = ["Retry", "RetryBudget", "decide_retry", "retry_after_s"]

from random import Random
from typing import NamedTuple

from .configuration import ServicePolicy

# Retries that an account may make before its first attempts have earned any.
INITIAL_TOKENS = 1.0
# Largest unspent budget: a long time without failures must not allow a burst of
# retries.
MAX_TOKENS = 10.0
# First back-off and the cap of the exponential back-off, both before jitter.
BACKOFF_BASE_S = 0.01
MAX_BACKOFF_S = 1.0
MAX_ATTEMPTS = 3
# Bounds of ``Retry-After`` before jitter. A refused caller waits at least the lower
# bound, and callers refused at the same time are spread over at least the same time.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Retry(NamedTuple):
    """A retry that the policy and the budget allow.

    :param delay_s: time to wait before the attempt.
    :param exclude: servers that the attempt should avoid.
    """

    delay_s: float
    exclude: tuple[str, ...]


class RetryBudget:
    """Token bucket for the retries of one client account, filled by first attempts.

    :param ratio: tokens added by each first attempt; a retry costs one.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = min(INITIAL_TOKENS, ratio * MAX_TOKENS)

    def deposit(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take the token for one retry; return whether there was one."""
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
    :param expected_s: expected duration of the attempt.
    :param endpoint_retry_after_s: ``Retry-After`` of the endpoint, or 0.
    """
    if outcome != NOT_RUN and not (outcome == UNKNOWN and policy.idempotent):
        return None
    if len(tried) >= MAX_ATTEMPTS:
        return None
    delay_s = _backoff_s(len(tried), random)
    # The Retry-After of one server does not apply to the others.
    has_untried_server = not policy.keyed and len(policy.endpoints) > len(set(tried))
    if endpoint_retry_after_s and not has_untried_server:
        delay_s += endpoint_retry_after_s
    if now + delay_s + expected_s >= deadline:
        return None
    if not budget.withdraw():
        return None
    return Retry(delay_s, tuple(tried) if has_untried_server else ())


def retry_after_s(wait_s: float, random: Random) -> float:
    """Return the ``Retry-After`` in seconds for a caller that is refused.

    :param wait_s: estimated time until the overload ends.
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return base_s * (1.0 + 2.0 * random.random())


def _backoff_s(attempts: int, random: Random) -> float:
    limit_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** (attempts - 1))
    return limit_s * (0.5 + random.random())
