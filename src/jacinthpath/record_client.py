"""At-most-once records as an entry process uses them."""

from __future__ import annotations

__all__ = ["HolderClient", "RequestRefused", "RequestRunning"]

import asyncio
import hashlib
import random
import secrets
import time
from collections.abc import Callable

from multidict import CIMultiDict

from .codec import new_frame
from .errors import (
    FrameError,
    NotRun,
    OutcomeUnknown,
    PeerUnavailable,
    RequestError,
)
from .exchange import Attempt, AttemptOutcome, HttpExchange
from .logs import get_logger
from .peers import PeerPool
from .record_frames import claim_frame, read_answer, settle_frame
from .record_messages import (
    MISMATCH,
    NEW,
    RUNNING,
    SETTLED,
    UNKNOWN,
    Answer,
    Claim,
    KeptResponse,
)
from .record_quorum import ROUND_LIMIT_S, Decision, RecordQuorum
from .record_roster import QUORUM, Roster, choose_holders, decode_roster
from .record_standing import MAX_CLAIM_S

ROSTER_TOPIC = "records/roster"

# A settle is repeated while a holder does not take it. A lost withdrawal leaves
# a key "running" and later "unknown" although it was not run.
SETTLE_TRIES = 6
SETTLE_RETRY_S = 0.1

# The response waits this long for two holders to know it, so that a caller whose
# connection breaks finds it through another entry process.
SETTLE_WAIT_S = 0.1

_log = get_logger()


class RequestRunning(RequestError):
    """The same request is running for an earlier caller."""

    status = 409
    outcome = "running"
    kind = "request-running"


class RequestRefused(RequestError):
    """The idempotency key belongs to another request."""

    status = 422
    outcome = "refused"
    kind = "idempotency-key-reused"


class HolderClient:
    """Claims and settles idempotency keys at the record holders.

    :param pool: connections to control processes.
    :param control_address: returns the control process to learn the roster from.
    """

    def __init__(self, pool: PeerPool, control_address: Callable[[], str]) -> None:
        self.roster: Roster | None = None
        self._pool = pool
        self._control_address = control_address
        self._random = random.Random()
        self._claims: dict[int, tuple[Claim, Roster]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for the messages that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=SETTLE_RETRY_S * SETTLE_TRIES)

    async def claim(self, exchange: HttpExchange) -> Attempt | None:
        """Claim the idempotency key of a request before anything is sent.

        :return: ``None`` when this process may send, once and before the
            deadline; else the response of the earlier run.
        :raises RequestError: the key is running, its outcome is unknown, or it
            belongs to another request.
        """
        now = time.monotonic()
        remaining_s = exchange.deadline_s - asyncio.get_running_loop().time()
        if remaining_s > MAX_CLAIM_S:
            raise RequestRefused(
                f"A non-idempotent request may take {MAX_CLAIM_S:.0f} s at most.",
                "Send a shorter deadline.",
                status=400,
                kind="deadline-too-long",
            )
        quorum = RecordQuorum(now + remaining_s)
        claim, decision = await self._decide(exchange, quorum, now + remaining_s)
        if decision.action == "send":
            self._claims[id(exchange)] = (claim, self.roster)
            return None
        return _answer_caller(decision)

    async def settle(self, exchange: HttpExchange, attempt: Attempt) -> None:
        """Tell the holders how the claimed run ended."""
        claim, roster = self._claims.pop(id(exchange))
        state, response = _settled(attempt)
        known = self._tell(claim, roster, state, response)
        await asyncio.wait([known], timeout=SETTLE_WAIT_S)

    async def _decide(
        self, exchange: HttpExchange, quorum: RecordQuorum, send_by: float
    ) -> tuple[Claim, Decision]:
        claim = self._new_claim(exchange, send_by)
        while True:
            await self._refresh(claim.roster_version)
            roster = self.roster or Roster(0, ())
            claim = claim._replace(roster_version=roster.version)
            decision = await self._round(quorum, claim, roster)
            if decision.withdraw:
                self._tell(claim, roster, NEW, None)
            if decision.action in ("send", "answer"):
                return claim, decision
            await asyncio.sleep(decision.after_s)
            if decision.withdraw:
                claim = self._new_claim(exchange, send_by)
            claim = claim._replace(roster_version=decision.roster_version)

    async def _round(
        self, quorum: RecordQuorum, claim: Claim, roster: Roster
    ) -> Decision:
        """Ask all holders in parallel until the answers allow a decision."""
        holders = choose_holders(*claim.key, roster.hosts())
        quorum.begin(claim, holders, time.monotonic())
        tasks = [
            asyncio.create_task(self._ask(roster, holder, claim)) for holder in holders
        ]
        for task in tasks:
            # A late answer may still accept the claim; the task outlives the round.
            self._keep(task)
        pending = set(tasks)
        decision = quorum.decide(time.monotonic(), self._random)
        while decision.action == "wait":
            done, pending = await asyncio.wait(
                pending,
                timeout=decision.after_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                holder, answer = task.result()
                if answer is not None:
                    quorum.take(holder, claim, answer)
            if not pending and any(task.result()[1] is None for task in tasks):
                # Nothing more can come in this round.
                return quorum.decide(time.monotonic() + ROUND_LIMIT_S, self._random)
            decision = quorum.decide(time.monotonic(), self._random)
        return decision

    async def _ask(
        self, roster: Roster, holder: str, claim: Claim
    ) -> tuple[str, Answer | None]:
        try:
            frame = claim_frame(claim)
            answer = await self._request(roster, holder, frame, ROUND_LIMIT_S)
            return holder, read_answer(answer.body.claimed)
        except (PeerUnavailable, FrameError, TimeoutError):
            return holder, None

    async def _request(self, roster: Roster, holder: str, frame, timeout_s: float):
        """Send a frame to the very process that the roster names."""
        member = roster.member(holder)
        async with asyncio.timeout(timeout_s):
            connection = await self._pool.connect(member.address)
        if member.process not in ("", connection.remote.process_id):
            raise PeerUnavailable("The record holder was restarted.")
        return await connection.request(frame, timeout_s)

    async def _refresh(self, version: int) -> None:
        """Learn the roster from a control process if a newer one is needed."""
        if self.roster is not None and self.roster.version >= version:
            return
        frame = new_frame()
        frame.body.init("fetch").names = [ROSTER_TOPIC]
        try:
            answer = await self._pool.request(
                self._control_address(), frame, ROUND_LIMIT_S
            )
            for topic in answer.body.publish.topics:
                self.take_roster(decode_roster(bytes(topic.content)))
        except (PeerUnavailable, FrameError, ValueError) as error:
            _log.warning("roster_not_learned", error=str(error))

    def take_roster(self, roster: Roster) -> None:
        """Take a roster into use if it is newer."""
        if self.roster is None or roster.version > self.roster.version:
            self.roster = roster

    def _new_claim(self, exchange: HttpExchange, send_by: float) -> Claim:
        return Claim(
            exchange.account,
            exchange.service,
            exchange.idempotency_key,
            _digest(exchange),
            self._pool.identity.process_id,
            secrets.randbits(63) + 1,
            max(0.0, send_by - time.monotonic()),
            self.roster.version if self.roster else 1,
        )

    def _tell(
        self, claim: Claim, roster: Roster, state: str, response: KeptResponse | None
    ) -> asyncio.Future[None]:
        """Settle at all holders; the result is set when two have taken it."""
        holders = choose_holders(*claim.key, roster.hosts())
        known = asyncio.get_running_loop().create_future()
        taken: list[str] = []

        async def settle(holder: str) -> None:
            for number in range(SETTLE_TRIES):
                try:
                    frame = settle_frame(claim, state, response)
                    await self._request(roster, holder, frame, ROUND_LIMIT_S)
                except (PeerUnavailable, FrameError, TimeoutError):
                    await asyncio.sleep(SETTLE_RETRY_S * 2**number)
                    continue
                taken.append(holder)
                break
            if len(taken) >= QUORUM and not known.done():
                known.set_result(None)

        for holder in holders:
            self._keep(asyncio.create_task(settle(holder)))
        return known

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _digest(exchange: HttpExchange) -> bytes:
    """Return what tells this request from another one with the same key.

    A streamed body is told by its length only.
    """
    length = exchange.headers.get("content-length", "")
    digest = hashlib.blake2b(digest_size=16)
    for part in (exchange.method, exchange.path, exchange.key, length):
        digest.update(part.encode() + b"\0")
    digest.update(exchange.body or b"")
    return digest.digest()


def _settled(attempt: Attempt) -> tuple[str, KeptResponse | None]:
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        return NEW, None
    if attempt.outcome is AttemptOutcome.UNKNOWN or not attempt.status:
        return UNKNOWN, None
    headers = tuple((attempt.headers or {}).items())
    body = attempt.body
    return SETTLED, KeptResponse(
        attempt.status, headers, body or b"", body_kept=body is not None
    )


def _answer_caller(decision: Decision) -> Attempt:
    """Return the response of the earlier run, or raise what the caller is told."""
    response = decision.response
    if decision.state == SETTLED and response is not None:
        if response.body_kept:
            headers = CIMultiDict(response.headers)
            outcome = AttemptOutcome.ANSWERED
            return Attempt(outcome, "", response.status, headers, response.body)
        raise RequestRefused(
            f"The request ran and was answered with status {response.status}; the "
            "response was too large to keep.",
            "Read the result from the service.",
            status=409,
            kind="response-not-kept",
        )
    if decision.state == RUNNING:
        raise RequestRunning(
            "The request is running.", "Repeat it later.", retry_after_s=1.0
        )
    if decision.state == MISMATCH:
        raise RequestRefused(
            "The idempotency key was used for another request.", "Use a new key."
        )
    if decision.state == NEW:
        raise NotRun(
            "The request was claimed too late to be sent.",
            "Repeat it.",
            retry_after_s=1.0,
        )
    if decision.state == UNKNOWN:
        raise OutcomeUnknown(
            "The request may have run; its outcome is not known.",
            "Ask the service for its result before you send it under a new key.",
        )
    raise OutcomeUnknown(
        "The record holders cannot tell whether the request was run before.",
        "Repeat it with the same idempotency key.",
        status=503,
        kind="records-unavailable",
        retry_after_s=1.0 + random.random(),
    )
