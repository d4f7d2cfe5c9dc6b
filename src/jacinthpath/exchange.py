"""One request of a caller on its way through an entry process."""

from __future__ import annotations

__all__ = ["Attempt", "AttemptOutcome", "Exchange"]

import enum
from typing import NamedTuple

from multidict import CIMultiDict

from .configuration import ServicePolicy
from .tracing import TraceContext


class AttemptOutcome(enum.Enum):
    """What is known of one attempt at an endpoint."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Attempt(NamedTuple):
    """Result of one attempt.

    :param reason: kind of failure, for logs, metrics and the caller.
    :param status: HTTP status of the answer, 0 when there is none.
    :param body: whole body of a short answer, ``None`` when it was streamed.
    :param retry_after_s: when the endpoint asked to come back.
    """

    outcome: AttemptOutcome
    reason: str = ""
    status: int = 0
    headers: CIMultiDict[str] | None = None
    body: bytes | None = None
    retry_after_s: float | None = None


class Exchange:
    """A request with all that was decided about it.

    :param deadline_s: on the clock of the event loop.
    :param body: whole body, or ``None`` when it is streamed.
    :param key_hash: hash of the key of a keyed request.
    :param shape: method and first path segment; requests of one shape are
        expected to run for about the same time.
    """

    __slots__ = (
        "account",
        "arrived_s",
        "body",
        "deadline_s",
        "headers",
        "idempotency_key",
        "key",
        "key_hash",
        "method",
        "path",
        "policy",
        "service",
        "shape",
        "stream",
        "trace",
    )

    account: str
    arrived_s: float
    body: bytes | None
    deadline_s: float
    headers: CIMultiDict[str]
    idempotency_key: str
    key: str
    key_hash: int
    method: str
    path: str
    policy: ServicePolicy
    service: str
    shape: str
    stream: object | None
    trace: TraceContext
