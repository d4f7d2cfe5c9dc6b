"""Parses and validates the HTTP requests of callers."""

from __future__ import annotations

__all__ = ["RequestReader"]

import asyncio
import re

from aiohttp import web

from .errors import NotRun, RequestError
from .exchange import HttpExchange
from .hashing import key_hash
from .headers import (
    ACCOUNT,
    DEADLINE_MS,
    HOP_BY_HOP,
    IDEMPOTENCY_KEY,
    KEY,
    TRACEPARENT,
    forwarded_fields,
)
from .routing import RoutingState
from .settings import EntryLimits
from .tracing import Tracer

MAX_BUFFERED_BODY_BYTES = 65_536
"""Longest request body that is buffered before it is forwarded, so that the request
can be retried. Longer bodies, and those of unknown length, are streamed."""

_FIRST_SEGMENT_END = re.compile(r"[/?]")

MAX_FIELD_CHARACTERS = 512
MAX_DEADLINE_MS = 24 * 3600 * 1000


class RequestReader:
    """Parses and validates the requests of callers.

    :param routing: configuration in force.
    :param limits: limits from the settings.
    """

    def __init__(
        self, routing: RoutingState, limits: EntryLimits, tracer: Tracer
    ) -> None:
        self._routing = routing
        self._limits = limits
        self._tracer = tracer

    async def read(self, request: web.BaseRequest) -> HttpExchange:
        """Return a request as an exchange, with its routing data and body.

        :raises RequestError: the request is not valid or cannot be routed.
        """
        exchange = HttpExchange()
        exchange.received_s = asyncio.get_running_loop().time()
        exchange.trace = self._tracer.extract(request.headers.get(TRACEPARENT))
        exchange.method = request.method
        self._read_route(request, exchange)
        self._read_deadline(request, exchange)
        await self._read_body(request, exchange)
        exchange.headers = forwarded_fields(request.headers, HOP_BY_HOP)
        return exchange

    def _read_route(self, request: web.BaseRequest, exchange: HttpExchange) -> None:
        _, _, route = request.raw_path.partition("/")
        service, slash, rest = route.partition("/")
        if not slash:
            service, _, rest = route.partition("?")
            rest = rest and f"?{rest}"
        exchange.path = f"/{rest}"
        exchange.shape = f"{request.method} {_FIRST_SEGMENT_END.split(rest, 1)[0][:64]}"
        exchange.service = service
        exchange.account = _read_field(request, ACCOUNT)
        exchange.idempotency_key = _read_field(request, IDEMPOTENCY_KEY)
        exchange.key = _read_field(request, KEY)
        configuration = self._routing.configuration
        if configuration is None:
            raise NotRun(
                "This host has no configuration yet.",
                "Retry the request.",
                retry_after_s=1.0,
                kind="no-configuration",
            )
        policy = configuration.resolve(exchange.account, service)
        if policy is None:
            raise _bad_request(
                f"Account {exchange.account!r} has no service {service!r}.",
                f"Send {ACCOUNT} and a path such as /SERVICE/...",
                404,
                "unknown-service",
            )
        if policy.keyed and not exchange.key:
            raise _bad_request(
                f"Service {service!r} is keyed, but the request has no key.",
                f"Send the key in {KEY}.",
                400,
                "key-missing",
            )
        exchange.policy = policy
        exchange.key_hash = key_hash(exchange.key) if policy.keyed else 0

    def _read_deadline(self, request: web.BaseRequest, exchange: HttpExchange) -> None:
        limit_ms = exchange.policy.deadline_ms
        if exchange.policy.priority == "deferrable" and exchange.policy.defer_limit_s:
            limit_ms = int(exchange.policy.defer_limit_s * 1000)
        text = request.headers.get(DEADLINE_MS)
        if text is not None:
            if not text.isdecimal() or not 0 < int(text[:12]) <= MAX_DEADLINE_MS:
                raise _bad_request(
                    f"{DEADLINE_MS} has the invalid value {text[:40]!r}.",
                    "Send the remaining time in whole milliseconds.",
                    400,
                    "deadline-malformed",
                )
            limit_ms = min(limit_ms, int(text))
        exchange.deadline_s = exchange.received_s + limit_ms / 1000

    async def _read_body(
        self, request: web.BaseRequest, exchange: HttpExchange
    ) -> None:
        exchange.body = None
        exchange.stream = None
        if not request.body_exists:
            return
        length = request.content_length
        if length is not None and length > self._limits.body_bytes:
            raise _bad_request(
                f"The request body has {length} bytes.",
                f"Send at most {self._limits.body_bytes} bytes.",
                413,
                "body-too-large",
            )
        if length is None or length > MAX_BUFFERED_BODY_BYTES:
            exchange.stream = _stream_body(request, self._limits)
            return
        try:
            async with asyncio.timeout(self._limits.body_idle_timeout_s):
                exchange.body = await request.content.read(-1)
        except TimeoutError:
            raise _bad_request(
                "The request body was not received in time.",
                "Retry the request.",
                408,
                "body-timeout",
            ) from None


async def _stream_body(request: web.BaseRequest, limits: EntryLimits):
    received_bytes = 0
    while True:
        async with asyncio.timeout(limits.body_idle_timeout_s):
            chunk = await request.content.readany()
        if not chunk:
            return
        received_bytes += len(chunk)
        if received_bytes > limits.body_bytes:
            raise ConnectionAbortedError("request body exceeds limits.body_bytes")
        yield chunk


def _read_field(request: web.BaseRequest, name: str) -> str:
    value = request.headers.get(name, "")
    if len(value) > MAX_FIELD_CHARACTERS:
        raise _bad_request(
            f"{name} has {len(value)} characters.",
            f"Send at most {MAX_FIELD_CHARACTERS} characters.",
            400,
            "field-too-long",
        )
    return value


def _bad_request(message: str, remedy: str, status: int, kind: str) -> RequestError:
    return RequestError(message, remedy, status=status, kind=kind)
