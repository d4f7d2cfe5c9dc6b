"""Callers' requests over HTTP."""

from __future__ import annotations

__all__ = ["CallerServer"]

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from ..gateway.exchange import CallerRequest, Response, local_response
from ..gateway.model import KEY_COUNT, CallerLimits
from ..headers import forwarded_fields
from .headers import ATTEMPT_ID, DEADLINE_MS, EXPECTED_SERVER, KEY
from .http import CONNECTION_FIELDS

BACKLOG = 1024
MAX_LINE_BYTES = 16_384
DROPPED_FIELDS = CONNECTION_FIELDS | {"expect", EXPECTED_SERVER.lower()}
"""Fields that the gateway answers or sets itself."""

READY_PATH = "/-/ready"

HandleRequest = Callable[[CallerRequest], Awaitable[Response]]


class CallerServer:
    """Listens to callers and to the platform's question whether it is ready.

    :param limits: returns the limits in force.
    :param draining: returns whether answers should close their connections.
    """

    def __init__(
        self,
        callers_address: str,
        ready_address: str,
        handle: HandleRequest,
        unready_reason: Callable[[], str],
        limits: Callable[[], CallerLimits],
        draining: Callable[[], bool],
    ) -> None:
        self._callers_address = callers_address
        self._ready_address = ready_address
        self._handle = handle
        self._unready_reason = unready_reason
        self._limits = limits
        self._draining = draining
        self._callers: web.ServerRunner | None = None
        self._callers_site: web.TCPSite | None = None
        self._ready: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on both addresses."""
        self._ready = web.ServerRunner(web.Server(self._answer_ready, access_log=None))
        await self._ready.setup()
        await _listen(self._ready, self._ready_address)
        server = web.Server(
            self._answer,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            keepalive_timeout=self._limits().idle_timeout_s,
        )
        self._callers = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._callers.setup()
        self._callers_site = await _listen(self._callers, self._callers_address)

    async def stop_listening(self) -> None:
        """Accept no further connections of callers."""
        if self._callers_site is not None:
            await self._callers_site.stop()

    async def close(self) -> None:
        """Close all connections."""
        for runner in (self._callers, self._ready):
            if runner is not None:
                await runner.cleanup()

    def close_idle_connections(self) -> int:
        """Close the connections that wait for a request; return how many are left."""
        if self._callers is None or self._callers.server is None:
            return 0
        for connection in [*self._callers.server.connections]:
            # Only a connection whose handler waits for the next request is idle; one
            # whose request has just been taken shows no current request yet.
            waiter = connection._waiter
            if waiter is not None and not waiter.done():
                connection.force_close()
        return len(self._callers.server.connections)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != READY_PATH:
            return web.Response(status=404)
        reason = self._unready_reason()
        return web.Response(status=503 if reason else 200, text=reason or "ready")

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        arrived_s = asyncio.get_running_loop().time()
        read = await self._read(request, arrived_s)
        reply = read if isinstance(read, Response) else await self._handle(read)
        response = web.Response(
            status=reply.status, headers=reply.headers, body=reply.body
        )
        if isinstance(read, CallerRequest) and reply.reason:
            response.headers[ATTEMPT_ID] = read.request_id
        if self._draining():
            response.force_close()
        return response

    async def _read(
        self, request: web.BaseRequest, arrived_s: float
    ) -> CallerRequest | Response:
        """Return the request, or the reply to one that cannot be read."""
        body = await _read_body(request, self._limits().max_body_bytes)
        if body is None:
            return local_response(413, "body-too-large")
        try:
            budget_s = _budget_s(request)
            key = _key(request)
        except ValueError as error:
            return local_response(400, f"malformed-field: {error}")
        return CallerRequest(
            request_id=request.headers.get(ATTEMPT_ID, ""),
            method=request.method,
            host=request.headers.get("Host", ""),
            target=request._message.path,
            path=request._message.path.partition("?")[0],
            key=key,
            received_s=arrived_s,
            timeout_s=budget_s,
            headers=forwarded_fields(request.headers, DROPPED_FIELDS),
            body=body,
        )


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the body, or ``None`` when it exceeds the limit."""
    if not request.body_exists:
        return b""
    if request.content_length is not None and request.content_length > limit:
        return None
    parts = []
    size = 0
    try:
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                return None
            parts.append(part)
    except HttpProcessingError:
        return None
    return b"".join(parts)


def _budget_s(request: web.BaseRequest) -> float | None:
    value = request.headers.get(DEADLINE_MS)
    if value is None:
        return None
    if not value.isdigit():
        raise ValueError(DEADLINE_MS)
    return int(value) / 1000


def _key(request: web.BaseRequest) -> int | None:
    value = request.headers.get(KEY)
    if value is None:
        return None
    if not value.isdigit() or int(value) >= KEY_COUNT:
        raise ValueError(KEY)
    return int(value)


async def _listen(runner: web.ServerRunner, address: str) -> web.TCPSite:
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    return site
