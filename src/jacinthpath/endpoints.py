"""HTTP client for endpoints: forwards requests of callers and sends grants."""

from __future__ import annotations

__all__ = ["EndpointClient"]

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from multidict import CIMultiDict

from .exchange import Attempt, AttemptOutcome, HttpExchange
from .headers import (
    DEADLINE_MS,
    EPOCH,
    HOP_BY_HOP,
    NOT_RUN,
    SERVER,
    TRACEPARENT,
    forwarded_fields,
)
from .http_sessions import disable_retries, request_url

MAX_BUFFERED_BODY_BYTES = 65_536
"""Longest response body that is buffered before anything is sent to the caller, so
that a typed error can still be returned if the transfer breaks off."""

READ_BUFFER_BYTES = 65_536

BODILESS_STATUSES = frozenset({204, 304})

ResponseStreamer = Callable[[aiohttp.ClientResponse, CIMultiDict[str]], Awaitable[None]]


class EndpointClient:
    """Sends requests to endpoints.

    :param connect_timeout_s: timeout for opening a connection.
    """

    def __init__(self, connect_timeout_s: float = 1.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._bases: dict[str, str] = {}

    async def start(self) -> None:
        """Open the HTTP session."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout_s
            ),
        )
        self._session = disable_retries(session)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def attempt(
        self,
        exchange: HttpExchange,
        server: str,
        address: str,
        epoch: int,
        traceparent: str,
        stream_response: ResponseStreamer,
    ) -> Attempt:
        """Send a request to one server; return the result of the attempt.

        :param address: ``IP:port`` of the server.
        :param epoch: fencing epoch of a keyed request, else 0.
        :param stream_response: sends a response to the caller whose body is too long
            to be buffered or has no announced length.
        :raises asyncio.CancelledError: the attempt was cancelled; the connection
            is closed, which notifies the endpoint.
        """
        loop = asyncio.get_running_loop()
        headers = exchange.headers.copy()
        headers[DEADLINE_MS] = str(int((exchange.deadline_s - loop.time()) * 1000))
        headers[TRACEPARENT] = traceparent
        headers[SERVER] = server
        if epoch:
            headers[EPOCH] = str(epoch)
        data = exchange.body if exchange.stream is None else exchange.stream
        url = request_url(address, exchange.path)
        try:
            async with self._session.request(
                exchange.method,
                url,
                headers=headers,
                data=data or None,
                allow_redirects=False,
            ) as response:
                return await self._read_response(exchange, response, stream_response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Attempt(AttemptOutcome.NOT_RUN, "endpoint-unreachable")
        except aiohttp.ClientPayloadError:
            return Attempt(AttemptOutcome.UNKNOWN, "answer-incomplete")
        except (aiohttp.ClientError, OSError) as error:
            return Attempt(AttemptOutcome.UNKNOWN, _failure_reason(error))

    async def post_json(
        self, address: str, path: str, content: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Send a control message to an endpoint; return status and JSON response.

        :raises aiohttp.ClientError: the endpoint cannot be reached.
        :raises asyncio.TimeoutError: no response within ``timeout_s``.
        """
        async with self._session.post(
            f"http://{address}{path}",
            json=content,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status, await response.json(content_type=None)

    async def _read_response(
        self,
        exchange: HttpExchange,
        response: aiohttp.ClientResponse,
        stream_response: ResponseStreamer,
    ) -> Attempt:
        status = response.status
        is_refused = status == 421 or (status == 503 and response.headers.get(NOT_RUN))
        if is_refused:
            return Attempt(
                AttemptOutcome.NOT_RUN,
                "not-owner" if status == 421 else "endpoint-refused",
                status,
                retry_after_s=_parse_retry_after_s(response),
            )
        if not _has_delimited_body(exchange.method, response):
            # Without a length or chunks, the end of the body cannot be distinguished
            # from a broken connection.
            return Attempt(AttemptOutcome.UNKNOWN, "answer-undelimited")
        headers = forwarded_fields(response.headers, HOP_BY_HOP)
        length = response.content_length
        if exchange.method == "HEAD" or status in BODILESS_STATUSES:
            body = b""
        elif length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            body = await response.read()
        else:
            await stream_response(response, headers)
            body = None
        return Attempt(AttemptOutcome.ANSWERED, "", status, headers, body)


def _has_delimited_body(method: str, response: aiohttp.ClientResponse) -> bool:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return (
        response.content_length is not None
        or "chunked" in response.headers.get("transfer-encoding", "").lower()
    )


def _parse_retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    try:
        return max(0.0, float(response.headers.get("retry-after", "")))
    except ValueError:
        return None


def _failure_reason(error: Exception) -> str:
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return "endpoint-disconnected"
    return "endpoint-failed"
