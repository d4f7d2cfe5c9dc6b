"""At-most-once claims on the entry side: the answers of three holders combined."""

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
    Answer,
    Claim,
    KeptResponse,
)
from .record_roster import QUORUM

# Time for one round of answers. Data centres of a region are 1.5 ms apart; the
# rest covers a busy control process.
ROUND_LIMIT_S = 0.25

# Rounds until a caller hears "running". A split of three live claimants ends in
# the second round unless messages are lost.
MAX_ROUNDS = 6

# Pause before another round, doubled each time and jittered.
FIRST_PAUSE_S = 0.005


class Decision(NamedTuple):
    """What the entry process does next.

    ``action`` is one of

    - ``wait``: for answers, until ``after_s`` from now at most;
    - ``send``: the request may go to an endpoint, once;
    - ``claim``: claim again after ``after_s``; with ``withdraw``, withdraw the
      attempt first and use a new attempt number;
    - ``refresh``: as ``claim``, after learning the roster of ``roster_version``;
    - ``answer``: give the caller the state, and the response if it is settled.

    ``withdraw`` says that holders may have accepted the attempt, which must not
    run any more. :data:`CANNOT_TELL` as the state of an answer means that this
    attempt was not sent but an earlier one may have been: the caller hears
    "outcome unknown" and may repeat the request with the same key. :data:`NEW`
    means that two holders had accepted the attempt, but too late to send it: no
    earlier attempt was sent either, and the caller hears "not run".
    """

    action: str
    state: str = ""
    after_s: float = 0.0
    withdraw: bool = False
    response: KeptResponse | None = None
    roster_version: int = 0


class RecordQuorum:
    """Claims one idempotency key for one request of a caller.

    Two of the holders must accept the same attempt at the same roster version
    before the request may be sent. Of claimants that split the holders, the one
    with the lowest attempt number keeps its claims and the others withdraw.

    :param send_by: time after which the request is not sent any more.
    """

    def __init__(self, send_by: float) -> None:
        self._send_by = send_by
        self._rounds = 0
        self._ends_at = 0.0
        self._claim: Claim | None = None
        self._holders: tuple[str, ...] = ()
        self._accepted: set[str] = set()
        self._answers: dict[str, Answer] = {}
        self._final: Decision | None = None

    def begin(self, claim: Claim, holders: tuple[str, ...], now: float) -> None:
        """Start a round; the caller sends ``claim`` to all ``holders``."""
        previous = self._claim
        if (
            previous is None
            or previous.attempt != claim.attempt
            or previous.roster_version != claim.roster_version
        ):
            self._accepted.clear()
        self._answers.clear()
        self._claim = claim
        self._holders = holders
        self._rounds += 1
        self._ends_at = now + ROUND_LIMIT_S

    def take(self, holder: str, claim: Claim, answer: Answer) -> None:
        """Take the answer of a holder to ``claim``; ones of old rounds are ignored."""
        if claim != self._claim or holder not in self._holders:
            return
        self._answers[holder] = answer
        is_accepted = answer.state == NEW and answer.attempt == claim.attempt
        if is_accepted and answer.roster_version == claim.roster_version:
            self._accepted.add(holder)

    def decide(self, now: float, randomness: random.Random) -> Decision:
        """Return what to do next; a final decision stays the same."""
        if self._final is None:
            decision = self._combine(now, randomness)
            if decision.action in ("send", "answer"):
                self._final = decision
            return decision
        return self._final

    def _combine(self, now: float, randomness: random.Random) -> Decision:
        if now >= self._send_by:
            return self._conclude()
        if len(self._accepted) >= QUORUM:
            if any(each.state == SETTLED for each in self._answers.values()):
                return self._conclude()
            return Decision("send")
        missing = any(each not in self._answers for each in self._holders)
        if missing and now < self._ends_at and not self._is_decided():
            return Decision("wait", after_s=self._ends_at - now)
        if self._rounds >= MAX_ROUNDS or self._is_known():
            return self._conclude()
        pause_s = FIRST_PAUSE_S * 2**self._rounds * randomness.uniform(0.5, 1.0)
        newest = max(
            (each.roster_version for each in self._answers.values()), default=0
        )
        if any(each.reason == "roster-version" for each in self._answers.values()):
            return Decision("refresh", "", pause_s, True, roster_version=newest)
        return Decision("claim", "", pause_s, withdraw=not self._goes_first())

    def _is_decided(self) -> bool:
        """Whether answers that are still missing would not matter."""
        answers = self._answers.values()
        if any(each.state == SETTLED for each in answers):
            return True
        others = [each.attempt for each in answers if each.state == RUNNING]
        return any(others.count(attempt) >= QUORUM for attempt in others)

    def _is_known(self) -> bool:
        """Whether another round would not change what the caller is told."""
        answers = self._answers.values()
        definite = any(each.state in (UNKNOWN, MISMATCH) for each in answers)
        return definite or self._is_decided()

    def _goes_first(self) -> bool:
        others = [
            each.attempt for each in self._answers.values() if each.state == RUNNING
        ]
        return all(self._claim.attempt < attempt for attempt in others)

    def _conclude(self) -> Decision:
        """Return the answer to the caller, from the most definite state down."""
        for state in (SETTLED, UNKNOWN, MISMATCH, RUNNING):
            for answer in self._answers.values():
                if answer.state == state:
                    response = answer.response
                    return Decision("answer", state, 0.0, True, response)
        held = len(self._accepted) >= QUORUM
        return Decision("answer", NEW if held else CANNOT_TELL, withdraw=True)
