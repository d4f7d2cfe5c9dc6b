"""HTTP server for callers' requests and the platform's readiness probe."""

from __future__ import annotations

__all__ = ["CallerServer"]

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import HttpVersion11, web

from ..gateway.body_memory import BodyMemory
from ..gateway.clock import boottime_s
from ..gateway.exchange import (
    BodyBroken,
    CallerRequest,
    Response,
    local_response,
)
from ..gateway.model import KEY_COUNT, CallerLimits
from ..gateway.shutdown_window import ShutdownWindow
from ..headers import forwarded_fields
from ..metrics import Metrics
from .caller_connections import ConnectionServer
from .headers import ATTEMPT_ID, DEADLINE_MS, EXPECTED_SERVER, SHARD_KEY
from .http import HOP_BY_HOP_FIELDS
from .uploads import Upload, UploadReader

BACKLOG = 1024
MAX_LINE_BYTES = 16_384
REMOVED_FIELDS = HOP_BY_HOP_FIELDS | {"expect", EXPECTED_SERVER.lower()}
"""Fields that the gateway handles or sets itself and does not forward."""

READY_PATH = "/-/ready"

DIRECT_BODY_BYTES = 64 * 1024
"""A body up to this size fits into the buffer of its connection."""

DEFAULT_BODY_TIMEOUT_S = 30.0
"""Longest wait for the body of a request whose caller set no deadline."""

MAX_DIGITS = 18
MAX_DEADLINE_MS = 24 * 60 * 60 * 1000
"""A caller that waits longer is taken to wait for this long."""

IDLE_CLOSE_DELAY_S = 0.3
"""Time for which a connection has to be idle before a stopping host closes it: the
request on one that was just accepted may still be on its way."""

CALLER_STALL_TIMEOUT_S = 5.0
"""A caller that takes no bytes of a response for this long has its connection reset."""

HandleRequest = Callable[[CallerRequest], Awaitable[Response]]


class CallerServer:
    """Serves callers' requests and the platform's readiness probe.

    :param unready_reason: returns why the gateway is not ready; empty when it is.
    :param limits: returns the limits in force.
    :param shutdown_window: whether the process is to stop, and when.
    :param memory: counts the bodies that this host holds.
    """

    def __init__(
        self,
        callers_address: str,
        ready_address: str,
        handle: HandleRequest,
        unready_reason: Callable[[], str],
        limits: Callable[[], CallerLimits],
        shutdown_window: ShutdownWindow,
        memory: BodyMemory,
        metrics: Metrics,
    ) -> None:
        self._callers_address = callers_address
        self._ready_address = ready_address
        self._handle = handle
        self._unready_reason = unready_reason
        self._limits = limits
        self._shutdown_window = shutdown_window
        self._memory = memory
        self._metrics = metrics
        self._uploads = UploadReader(memory, shutdown_window, metrics)
        self._callers_runner: web.ServerRunner | None = None
        self._callers_site: web.TCPSite | None = None
        self._readiness_runner: web.ServerRunner | None = None
        self._idle_since_s: dict[Any, float] = {}

    async def start(self) -> None:
        """Listen for readiness probes, then for callers."""
        self._readiness_runner = web.ServerRunner(
            web.Server(self._handle_readiness_probe, access_log=None)
        )
        await self._readiness_runner.setup()
        await _listen(self._readiness_runner, self._ready_address)
        server = ConnectionServer(
            self._handle_caller,
            memory=self._memory,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            keepalive_timeout=self._limits().idle_timeout_s,
        )
        self._callers_runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._callers_runner.setup()
        self._callers_site = await _listen(self._callers_runner, self._callers_address)

    def abort_left_connections(self) -> None:
        """End the requests of callers that have left or take nothing.

        Has to be called repeatedly: a connection is not read while many requests, or a
        large one, wait for their turn.
        """
        if self._callers_runner is None or self._callers_runner.server is None:
            return
        for connection in [*self._callers_runner.server.held_connections]:
            if connection.has_left() and connection.transport is not None:
                connection.transport.abort()
        is_short = self._memory.is_short
        aborted = self._callers_runner.server.abort_stalled(CALLER_STALL_TIMEOUT_S)
        if aborted:
            self._metrics.count(
                "callers_closed_total", aborted, memory="short" if is_short else "free"
            )
        self._metrics.gauge("held_body_bytes", self._memory.held_bytes)

    async def stop_listening(self) -> None:
        """Stop accepting connections from callers."""
        if self._callers_site is not None:
            await self._callers_site.stop()

    async def close(self) -> None:
        """Close all connections."""
        for runner in (self._callers_runner, self._readiness_runner):
            if runner is not None:
                await runner.cleanup()

    def close_idle_connections(self) -> int:
        """Close the connections that wait for a request; return how many are open.

        Has to be called repeatedly: a connection is closed once it has been idle for
        :data:`IDLE_CLOSE_DELAY_S`.
        """
        if self._callers_runner is None or self._callers_runner.server is None:
            return 0
        now_s = asyncio.get_running_loop().time()
        open_connections = [*self._callers_runner.server.connections]
        idle_since_s = {
            connection: self._idle_since_s.get(connection, now_s)
            for connection in open_connections
            if _is_idle(connection)
        }
        self._idle_since_s = idle_since_s
        for connection, since_s in idle_since_s.items():
            if now_s - since_s >= IDLE_CLOSE_DELAY_S:
                connection.force_close()
        return len(self._callers_runner.server.connections)

    async def _handle_readiness_probe(self, request: web.BaseRequest) -> web.Response:
        if request.path != READY_PATH:
            return web.Response(status=404)
        reason = self._unready_reason()
        return web.Response(status=503 if reason else 200, text=reason or "ready")

    async def _handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        upload = Upload()
        try:
            result = await self._respond(request, upload)
        finally:
            self._uploads.end(upload)
        if result.stream is not None or len(result.body) > DIRECT_BODY_BYTES:
            return await self._forward_large_body(request, result)
        response = web.Response(
            status=result.status, headers=result.headers, body=result.body
        )
        if self._shutdown_window.is_open:
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest, upload: Upload) -> Response:
        """Return the response; the body of the request is not needed any more then."""
        arrived_s = request.protocol.arrivals_s.popleft()
        age_s = boottime_s() - arrived_s
        received_s = asyncio.get_running_loop().time() - age_s
        parsed = await self._read_request(request, upload, received_s, arrived_s)
        if isinstance(parsed, Response):
            return parsed
        result = await self._handle(parsed)
        if result.reason:
            result.headers[ATTEMPT_ID] = parsed.request_id
        return result

    async def _forward_large_body(
        self, request: web.BaseRequest, result: Response
    ) -> web.StreamResponse:
        """Send a body no faster than the caller takes it.

        A body that breaks off is ended by a reset, so that the caller cannot take what
        was sent for the whole.
        """
        response = web.StreamResponse(status=result.status, headers=result.headers)
        stream = result.stream
        length = len(result.body) if stream is None else stream.length
        if length is not None:
            response.content_length = length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        if self._shutdown_window.is_open:
            response.force_close()
        self._memory.add(len(result.body))
        try:
            await self._write_body(request, response, result)
        except (BodyBroken, OSError):
            request.protocol.reset()
        finally:
            self._memory.release(len(result.body))
            if stream is not None:
                stream.close()
        return response

    async def _write_body(
        self, request: web.BaseRequest, response: web.StreamResponse, result: Response
    ) -> None:
        """Write a body.

        :raises OSError: the caller takes no bytes and its connection was reset.
        """
        await response.prepare(request)
        if result.stream is None:
            await response.write(result.body)
        else:
            async for part in result.stream:
                await response.write(part)
        await response.write_eof()

    async def _read_request(
        self,
        request: web.BaseRequest,
        upload: Upload,
        received_s: float,
        arrived_s: float,
    ) -> CallerRequest | Response:
        """Return the request, or the response to one that cannot be read."""
        try:
            attempt_id = _parse_attempt_id(request)
            timeout_s = _parse_timeout_s(request)
            key = _parse_key(request)
        except ValueError as error:
            return local_response(400, f"malformed-field: {error}")
        if "#" in request._message.path:
            return local_response(400, "malformed-target: it contains #")
        end_s = received_s + (timeout_s or DEFAULT_BODY_TIMEOUT_S)
        max_bytes = self._limits().max_body_bytes
        body: bytes | Response = b""
        if request.body_exists:
            body = await self._uploads.read(upload, request, max_bytes, end_s)
            if isinstance(body, Response):
                return body
        return CallerRequest(
            request_id=attempt_id,
            method=request.method,
            host=request.headers.get("Host", ""),
            target=request._message.path,
            path=request._message.path.partition("?")[0],
            key=key,
            received_s=received_s,
            timeout_s=timeout_s,
            headers=forwarded_fields(request.headers, REMOVED_FIELDS),
            body=body,
            caller=request.remote or "",
            arrived_s=arrived_s,
            check_wanted=request.protocol.check_caller,
        )


def _is_idle(connection: Any) -> bool:
    """Return whether the handler of a connection waits for the next request.

    The current request is no sign of that: it is not set yet when a request has just
    been taken from the queue.
    """
    request_waiter = connection._waiter
    return request_waiter is not None and not request_waiter.done()


def _parse_attempt_id(request: web.BaseRequest) -> str:
    """Return the id; one that cannot be sent on unchanged would not be recognized."""
    value = request.headers.get(ATTEMPT_ID, "")
    if not (value.isascii() and value.isprintable()):
        raise ValueError(ATTEMPT_ID)
    return value


def _parse_timeout_s(request: web.BaseRequest) -> float | None:
    value = request.headers.get(DEADLINE_MS)
    if value is None:
        return None
    if not _is_number(value):
        raise ValueError(DEADLINE_MS)
    return min(int(value), MAX_DEADLINE_MS) / 1000


def _parse_key(request: web.BaseRequest) -> int | None:
    value = request.headers.get(SHARD_KEY)
    if value is None:
        return None
    if not _is_number(value) or int(value) >= KEY_COUNT:
        raise ValueError(SHARD_KEY)
    return int(value)


def _is_number(value: str) -> bool:
    return value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS


async def _listen(runner: web.ServerRunner, address: str) -> web.TCPSite:
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    return site
