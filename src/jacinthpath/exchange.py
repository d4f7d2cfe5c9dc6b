"""State of a caller's request in an entry process."""

from __future__ import annotations

__all__ = ["Attempt", "AttemptOutcome", "HttpExchange"]

import enum
from typing import NamedTuple

from multidict import CIMultiDict

from .configuration import ServicePolicy
from .tracing import TraceContext


class AttemptOutcome(enum.Enum):
    """Whether an endpoint responded to an attempt, or may have executed it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Attempt(NamedTuple):
    """Result of one attempt.

    :param reason: kind of failure, for logs, metrics and the caller.
    :param status: HTTP status of the response, 0 when there is none.
    :param body: buffered response body, ``None`` when it was streamed.
    :param retry_after_s: delay before a retry that the endpoint asked for.
    """

    outcome: AttemptOutcome
    reason: str = ""
    status: int = 0
    headers: CIMultiDict[str] | None = None
    body: bytes | None = None
    retry_after_s: float | None = None


class HttpExchange:
    """A request with its policy, deadline and routing data.

    :param deadline_s: time on the clock of the event loop.
    :param body: buffered body, or ``None`` when it is streamed.
    :param key_hash: hash of the key of a keyed request.
    :param shape: method and first path segment; requests of the same shape are
        expected to take about the same time.
    """

    __slots__ = (
        "account",
        "body",
        "deadline_s",
        "headers",
        "idempotency_key",
        "key",
        "key_hash",
        "method",
        "path",
        "policy",
        "received_s",
        "service",
        "shape",
        "stream",
        "trace",
    )

    account: str
    body: bytes | None
    deadline_s: float
    headers: CIMultiDict[str]
    idempotency_key: str
    key: str
    key_hash: int
    method: str
    path: str
    policy: ServicePolicy
    received_s: float
    service: str
    shape: str
    stream: object | None
    trace: TraceContext
