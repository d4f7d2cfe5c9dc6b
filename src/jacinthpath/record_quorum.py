"""At-most-once claims in the entry process: combines the results of three holders."""

from __future__ import annotations

__all__ = ["Decision", "RecordQuorum"]

import random
from typing import NamedTuple

from .record_messages import (
    CANNOT_TELL,
    MISMATCH,
    NEW,
    RUNNING,
    SETTLED,
    UNKNOWN,
    Claim,
    ClaimResult,
    KeptResponse,
)
from .record_roster import QUORUM

# Timeout of one round. Data centres of a region are 1.5 ms apart; the rest covers
# a busy control process.
ROUND_TIMEOUT_S = 0.25

# Rounds until the caller gets a final answer such as "running". A split between
# three live claimants is resolved in the second round unless messages are lost.
MAX_ROUNDS = 6

# Base of the exponential back-off before another round, which is jittered.
INITIAL_BACKOFF_S = 0.005


class Decision(NamedTuple):
    """Next step of the entry process.

    ``action`` is one of

    - ``wait``: wait for results, for ``after_s`` at most;
    - ``send``: the request may be sent to an endpoint, once;
    - ``claim``: claim again after ``after_s``; with ``withdraw``, withdraw the
      attempt first and use a new attempt number;
    - ``refresh``: as ``claim``, after learning the roster of ``roster_version``;
    - ``answer``: return the state to the caller, and the response if it is settled.

    ``withdraw`` means that holders may have accepted the attempt, which must not
    run any more. With the action ``answer``, the state :data:`CANNOT_TELL` means
    that this attempt was not sent but an earlier one may have been: the caller gets
    "outcome unknown" and may retry the request with the same key. :data:`NEW`
    means that two holders had accepted the attempt, but too late to send it: no
    earlier attempt was sent either, and the caller gets "not run".
    """

    action: str
    state: str = ""
    after_s: float = 0.0
    withdraw: bool = False
    response: KeptResponse | None = None
    roster_version: int = 0


class RecordQuorum:
    """Claims the idempotency key of one request of a caller.

    Two of the holders must accept the same attempt at the same roster version
    before the request may be sent. When claimants split the holders, the one with
    the lowest attempt number keeps its claims and the others withdraw.

    :param send_by: time from which the request is not sent any more.
    """

    def __init__(self, send_by: float) -> None:
        self._send_by = send_by
        self._rounds = 0
        self._round_ends_at = 0.0
        self._claim: Claim | None = None
        self._holders: tuple[str, ...] = ()
        self._accepted: set[str] = set()
        self._results: dict[str, ClaimResult] = {}
        self._final_decision: Decision | None = None

    def start_round(self, claim: Claim, holders: tuple[str, ...], now: float) -> None:
        """Start a round; the caller sends ``claim`` to all ``holders``."""
        previous = self._claim
        if (
            previous is None
            or previous.attempt != claim.attempt
            or previous.roster_version != claim.roster_version
        ):
            self._accepted.clear()
        self._results.clear()
        self._claim = claim
        self._holders = holders
        self._rounds += 1
        self._round_ends_at = now + ROUND_TIMEOUT_S

    def add_result(self, holder: str, claim: Claim, result: ClaimResult) -> None:
        """Add a holder's result for ``claim``; results of old rounds are ignored."""
        if claim != self._claim or holder not in self._holders:
            return
        self._results[holder] = result
        is_accepted = result.state == NEW and result.attempt == claim.attempt
        if is_accepted and result.roster_version == claim.roster_version:
            self._accepted.add(holder)

    def decide(self, now: float, randomness: random.Random) -> Decision:
        """Return the next step; ``send`` and ``answer`` are final."""
        if self._final_decision is None:
            decision = self._combine_results(now, randomness)
            if decision.action in ("send", "answer"):
                self._final_decision = decision
            return decision
        return self._final_decision

    def _combine_results(self, now: float, randomness: random.Random) -> Decision:
        if now >= self._send_by:
            return self._conclude()
        if len(self._accepted) >= QUORUM:
            if any(each.state == SETTLED for each in self._results.values()):
                return self._conclude()
            return Decision("send")
        has_missing_results = any(each not in self._results for each in self._holders)
        if (
            has_missing_results
            and now < self._round_ends_at
            and not self._is_round_decided()
        ):
            return Decision("wait", after_s=self._round_ends_at - now)
        if self._rounds >= MAX_ROUNDS or self._is_conclusive():
            return self._conclude()
        backoff_s = INITIAL_BACKOFF_S * 2**self._rounds * randomness.uniform(0.5, 1.0)
        newest_roster_version = max(
            (each.roster_version for each in self._results.values()), default=0
        )
        if any(each.reason == "roster-version" for each in self._results.values()):
            return Decision(
                "refresh", "", backoff_s, True, roster_version=newest_roster_version
            )
        return Decision("claim", "", backoff_s, withdraw=not self._has_lowest_attempt())

    def _is_round_decided(self) -> bool:
        """Whether the results that are still missing need not be waited for."""
        results = self._results.values()
        if any(each.state == SETTLED for each in results):
            return True
        running_attempts = [each.attempt for each in results if each.state == RUNNING]
        return any(
            running_attempts.count(attempt) >= QUORUM for attempt in running_attempts
        )

    def _is_conclusive(self) -> bool:
        """Whether the caller can be answered without another round."""
        results = self._results.values()
        definite = any(each.state in (UNKNOWN, MISMATCH) for each in results)
        return definite or self._is_round_decided()

    def _has_lowest_attempt(self) -> bool:
        running_attempts = [
            each.attempt for each in self._results.values() if each.state == RUNNING
        ]
        return all(self._claim.attempt < attempt for attempt in running_attempts)

    def _conclude(self) -> Decision:
        """Return the final answer, with the most definite state of the results."""
        for state in (SETTLED, UNKNOWN, MISMATCH, RUNNING):
            for result in self._results.values():
                if result.state == state:
                    response = result.response
                    return Decision("answer", state, 0.0, True, response)
        has_quorum = len(self._accepted) >= QUORUM
        return Decision("answer", NEW if has_quorum else CANNOT_TELL, withdraw=True)
