"""HTTP client to endpoints: requests of callers, and grants."""

from __future__ import annotations

__all__ = ["EndpointClient"]

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from .exchange import Attempt, AttemptOutcome, Exchange
from .headers import (
    DEADLINE_MS,
    EPOCH,
    HOP_BY_HOP,
    NOT_RUN,
    SERVER,
    TRACEPARENT,
    forwarded_fields,
)
from .http_sessions import disable_retries

SHORT_BODY_BYTES = 65_536
"""Longest answer that is read whole before anything is sent to the caller, so that
a transfer that breaks can still be answered with a typed error."""

READ_BUFFER_BYTES = 65_536

BODILESS_STATUSES = frozenset({204, 304})

StreamAnswer = Callable[[aiohttp.ClientResponse, CIMultiDict[str]], Awaitable[None]]


class EndpointClient:
    """Sends attempts to endpoints.

    :param connect_timeout_s: longest wait for a new connection.
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
        exchange: Exchange,
        server: str,
        address: str,
        epoch: int,
        traceparent: str,
        stream_answer: StreamAnswer,
    ) -> Attempt:
        """Send a request to one server.

        :param address: ``IP:port`` of the server.
        :param epoch: fencing epoch of a keyed request, else 0.
        :param stream_answer: called with an answer too long to be read whole;
            sends it to the caller.
        :raises asyncio.CancelledError: the attempt was cancelled; the connection
            is closed, which tells the endpoint.
        """
        loop = asyncio.get_running_loop()
        headers = exchange.headers.copy()
        headers[DEADLINE_MS] = str(int((exchange.deadline_s - loop.time()) * 1000))
        headers[TRACEPARENT] = traceparent
        headers[SERVER] = server
        if epoch:
            headers[EPOCH] = str(epoch)
        data = exchange.body if exchange.stream is None else exchange.stream
        url = URL(f"http://{address}{exchange.path}", encoded=True)
        try:
            async with self._session.request(
                exchange.method,
                url,
                headers=headers,
                data=data or None,
                allow_redirects=False,
            ) as response:
                return await self._read_answer(exchange, response, stream_answer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Attempt(AttemptOutcome.NOT_RUN, "endpoint-unreachable")
        except aiohttp.ClientPayloadError:
            return Attempt(AttemptOutcome.UNKNOWN, "answer-incomplete")
        except (aiohttp.ClientError, OSError) as error:
            return Attempt(AttemptOutcome.UNKNOWN, _reason_of(error))

    async def post_json(
        self, address: str, path: str, content: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Send a control message to an endpoint; return status and JSON answer.

        :raises aiohttp.ClientError: the endpoint cannot be reached.
        :raises asyncio.TimeoutError: no answer in time.
        """
        async with self._session.post(
            f"http://{address}{path}",
            json=content,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status, await response.json(content_type=None)

    async def _read_answer(
        self,
        exchange: Exchange,
        response: aiohttp.ClientResponse,
        stream_answer: StreamAnswer,
    ) -> Attempt:
        status = response.status
        refused = status == 421 or (status == 503 and response.headers.get(NOT_RUN))
        if refused:
            return Attempt(
                AttemptOutcome.NOT_RUN,
                "not-owner" if status == 421 else "endpoint-refused",
                status,
                retry_after_s=_retry_after_s(response),
            )
        if not _is_delimited(exchange.method, response):
            # The end of such a body cannot be told from a broken connection.
            return Attempt(AttemptOutcome.UNKNOWN, "answer-undelimited")
        headers = forwarded_fields(response.headers, HOP_BY_HOP)
        length = response.content_length
        if exchange.method == "HEAD" or status in BODILESS_STATUSES:
            body = b""
        elif length is not None and length <= SHORT_BODY_BYTES:
            body = await response.read()
        else:
            await stream_answer(response, headers)
            body = None
        return Attempt(AttemptOutcome.ANSWERED, "", status, headers, body)


def _is_delimited(method: str, response: aiohttp.ClientResponse) -> bool:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return (
        response.content_length is not None
        or "chunked" in response.headers.get("transfer-encoding", "").lower()
    )


def _retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    try:
        return max(0.0, float(response.headers.get("retry-after", "")))
    except ValueError:
        return None


def _reason_of(error: Exception) -> str:
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return "endpoint-disconnected"
    return "endpoint-failed"
