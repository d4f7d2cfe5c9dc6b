"""Client of the at-most-once records, used by entry processes."""

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
from .record_completeness import MAX_CLAIM_S
from .record_frames import claim_frame, read_claim_result, settle_frame
from .record_messages import (
    MISMATCH,
    NEW,
    RUNNING,
    SETTLED,
    UNKNOWN,
    Claim,
    ClaimResult,
    KeptResponse,
)
from .record_quorum import ROUND_TIMEOUT_S, Decision, RecordQuorum
from .record_roster import QUORUM, Roster, choose_holders, decode_roster

ROSTER_TOPIC = "records/roster"

# Attempts to settle at a holder that does not respond. A lost withdrawal leaves a
# key "running" and later "unknown" although its request was not run.
SETTLE_ATTEMPTS = 6
SETTLE_BACKOFF_S = 0.1

# The response is held back for this long at most until two holders have stored it,
# so that a caller whose connection breaks gets it through another entry process.
SETTLE_QUORUM_TIMEOUT_S = 0.1

_log = get_logger()


class RequestRunning(RequestError):
    """The same request is running for an earlier caller."""

    status = 409
    outcome = "running"
    kind = "request-running"


class RequestRefused(RequestError):
    """The request or its idempotency key cannot be accepted."""

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
        """Wait for pending messages, with a timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=SETTLE_BACKOFF_S * SETTLE_ATTEMPTS)

    async def claim(self, exchange: HttpExchange) -> Attempt | None:
        """Claim the idempotency key of a request before anything is sent.

        :return: ``None`` when this process may send the request, once and before
            the deadline; else the response of the earlier run.
        :raises RequestError: the request is running, its outcome is unknown, its
            response was not kept, the key belongs to another request, the deadline
            is too long, or the request was claimed too late.
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
        claim, decision = await self._claim_until_decided(
            exchange, quorum, now + remaining_s
        )
        if decision.action == "send":
            self._claims[id(exchange)] = (claim, self.roster)
            return None
        return _replay_response(decision)

    async def settle(self, exchange: HttpExchange, attempt: Attempt) -> None:
        """Report the outcome of the claimed request to the holders."""
        claim, roster = self._claims.pop(id(exchange))
        state, response = _settlement_of(attempt)
        quorum_settled = self._settle_at_holders(claim, roster, state, response)
        await asyncio.wait([quorum_settled], timeout=SETTLE_QUORUM_TIMEOUT_S)

    async def _claim_until_decided(
        self, exchange: HttpExchange, quorum: RecordQuorum, send_by: float
    ) -> tuple[Claim, Decision]:
        claim = self._new_claim(exchange, send_by)
        while True:
            await self._refresh_roster(claim.roster_version)
            roster = self.roster or Roster(0, ())
            claim = claim._replace(roster_version=roster.version)
            decision = await self._run_round(quorum, claim, roster)
            if decision.withdraw:
                self._settle_at_holders(claim, roster, NEW, None)
            if decision.action in ("send", "answer"):
                return claim, decision
            await asyncio.sleep(decision.after_s)
            if decision.withdraw:
                claim = self._new_claim(exchange, send_by)
            claim = claim._replace(roster_version=decision.roster_version)

    async def _run_round(
        self, quorum: RecordQuorum, claim: Claim, roster: Roster
    ) -> Decision:
        """Send the claim to all holders in parallel and wait for a decision."""
        holders = choose_holders(*claim.key, roster.hosts())
        quorum.start_round(claim, holders, time.monotonic())
        tasks = [
            asyncio.create_task(self._claim_at_holder(roster, holder, claim))
            for holder in holders
        ]
        for task in tasks:
            # The task outlives the round: a late claim may still be accepted.
            self._track_task(task)
        pending = set(tasks)
        decision = quorum.decide(time.monotonic(), self._random)
        while decision.action == "wait":
            done, pending = await asyncio.wait(
                pending,
                timeout=decision.after_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                holder, result = task.result()
                if result is not None:
                    quorum.add_result(holder, claim, result)
            if not pending and any(task.result()[1] is None for task in tasks):
                # No further result can arrive in this round, so end it now.
                return quorum.decide(time.monotonic() + ROUND_TIMEOUT_S, self._random)
            decision = quorum.decide(time.monotonic(), self._random)
        return decision

    async def _claim_at_holder(
        self, roster: Roster, holder: str, claim: Claim
    ) -> tuple[str, ClaimResult | None]:
        try:
            frame = claim_frame(claim)
            response = await self._request_holder(
                roster, holder, frame, ROUND_TIMEOUT_S
            )
            return holder, read_claim_result(response.body.claimed)
        except (PeerUnavailable, FrameError, TimeoutError):
            return holder, None

    async def _request_holder(
        self, roster: Roster, holder: str, frame, timeout_s: float
    ):
        """Send a frame to the process listed in the roster, not to a successor."""
        member = roster.member(holder)
        async with asyncio.timeout(timeout_s):
            connection = await self._pool.connect(member.address)
        if member.process_id not in ("", connection.remote.process_id):
            raise PeerUnavailable("The record holder has been restarted.")
        return await connection.request(frame, timeout_s)

    async def _refresh_roster(self, version: int) -> None:
        """Fetch the roster from a control process if ``version`` is newer."""
        if self.roster is not None and self.roster.version >= version:
            return
        frame = new_frame()
        frame.body.init("fetch").names = [ROSTER_TOPIC]
        try:
            response = await self._pool.request(
                self._control_address(), frame, ROUND_TIMEOUT_S
            )
            for topic in response.body.publish.topics:
                self.update_roster(decode_roster(bytes(topic.content)))
        except (PeerUnavailable, FrameError, ValueError) as error:
            _log.warning("roster_not_learned", error=str(error))

    def update_roster(self, roster: Roster) -> None:
        """Use a roster if it is newer than the current one."""
        if self.roster is None or roster.version > self.roster.version:
            self.roster = roster

    def _new_claim(self, exchange: HttpExchange, send_by: float) -> Claim:
        return Claim(
            exchange.account,
            exchange.service,
            exchange.idempotency_key,
            _digest_request(exchange),
            self._pool.identity.process_id,
            secrets.randbits(63) + 1,
            max(0.0, send_by - time.monotonic()),
            self.roster.version if self.roster else 1,
        )

    def _settle_at_holders(
        self, claim: Claim, roster: Roster, state: str, response: KeptResponse | None
    ) -> asyncio.Future[None]:
        """Settle at all holders; the future is done when two have confirmed it."""
        holders = choose_holders(*claim.key, roster.hosts())
        quorum_settled = asyncio.get_running_loop().create_future()
        settled_holders: list[str] = []

        async def settle(holder: str) -> None:
            for retry in range(SETTLE_ATTEMPTS):
                try:
                    frame = settle_frame(claim, state, response)
                    await self._request_holder(roster, holder, frame, ROUND_TIMEOUT_S)
                except (PeerUnavailable, FrameError, TimeoutError):
                    await asyncio.sleep(SETTLE_BACKOFF_S * 2**retry)
                    continue
                settled_holders.append(holder)
                break
            if len(settled_holders) >= QUORUM and not quorum_settled.done():
                quorum_settled.set_result(None)

        for holder in holders:
            self._track_task(asyncio.create_task(settle(holder)))
        return quorum_settled

    def _track_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _digest_request(exchange: HttpExchange) -> bytes:
    """Return a digest that distinguishes requests with the same key.

    Of a streamed body, only the length is included.
    """
    length = exchange.headers.get("content-length", "")
    digest = hashlib.blake2b(digest_size=16)
    for part in (exchange.method, exchange.path, exchange.key, length):
        digest.update(part.encode() + b"\0")
    digest.update(exchange.body or b"")
    return digest.digest()


def _settlement_of(attempt: Attempt) -> tuple[str, KeptResponse | None]:
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        return NEW, None
    if attempt.outcome is AttemptOutcome.UNKNOWN or not attempt.status:
        return UNKNOWN, None
    headers = tuple((attempt.headers or {}).items())
    body = attempt.body
    return SETTLED, KeptResponse(
        attempt.status, headers, body or b"", body_kept=body is not None
    )


def _replay_response(decision: Decision) -> Attempt:
    """Return the response of the earlier run, or raise the error for the caller."""
    response = decision.response
    if decision.state == SETTLED and response is not None:
        if response.body_kept:
            headers = CIMultiDict(response.headers)
            outcome = AttemptOutcome.ANSWERED
            return Attempt(outcome, "", response.status, headers, response.body)
        raise RequestRefused(
            f"The request was run and returned status {response.status}; its response "
            "was too large to be kept.",
            "Query the service for the result.",
            status=409,
            kind="response-not-kept",
        )
    if decision.state == RUNNING:
        raise RequestRunning(
            "The request is already running.", "Retry it later.", retry_after_s=1.0
        )
    if decision.state == MISMATCH:
        raise RequestRefused(
            "The idempotency key was used for a different request.", "Use a new key."
        )
    if decision.state == NEW:
        raise NotRun(
            "The request was claimed too late to be sent.",
            "Retry it.",
            retry_after_s=1.0,
        )
    if decision.state == UNKNOWN:
        raise OutcomeUnknown(
            "The request may have been run; its outcome is unknown.",
            "Query the service for its result before you send it with a new key.",
        )
    raise OutcomeUnknown(
        "The record holders cannot determine whether the request was run before.",
        "Retry it with the same idempotency key.",
        status=503,
        kind="records-unavailable",
        retry_after_s=1.0 + random.random(),
    )
