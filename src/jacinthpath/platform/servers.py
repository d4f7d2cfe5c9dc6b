"""Sends callers' requests to servers over HTTP."""

from __future__ import annotations

__all__ = ["ServerClient"]

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from ..gateway.exchange import AttemptResult, CallerRequest, Outcome, Response
from ..gateway.model import Backend
from ..gateway.sockets import open_reset_on_close_socket
from ..headers import forwarded_fields
from .headers import ATTEMPT_ID, DEADLINE_MS, EXPECTED_SERVER, NOT_EXECUTED, SIGNATURE
from .http import HOP_BY_HOP_FIELDS, open_session

CONNECT_TIMEOUT_S = 0.3
"""Connecting inside a region takes a few milliseconds. A server whose accept queue is
full drops the SYN, which is retransmitted only after a second."""

KEEPALIVE_TIMEOUT_S = 6.0
"""Servers close idle connections after ten seconds. A request that is sent while the
server closes the connection has an unknown outcome."""

MAX_HEADER_BYTES = 32_768


class ServerClient:
    """Sends requests; see :class:`jacinthpath.gateway.exchange.BackendClient`."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = open_session(
            _ServerConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=open_reset_on_close_socket,
            ),
            CONNECT_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(
        self, request: CallerRequest, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send a request to a server and read its whole response.

        :param remaining_s: time that the server may take.
        """
        headers = request.headers.copy()
        headers[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
        headers[EXPECTED_SERVER] = backend.server
        url = URL(f"http://{backend.address}{request.target}", encoded=True)
        try:
            async with (
                asyncio.timeout(remaining_s),
                self._session.request(
                    request.method,
                    url,
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                ) as response,
            ):
                return await _read_response(request, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return AttemptResult(Outcome.UNREACHABLE, type(error).__name__)
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT, "no response in time")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptResult(Outcome.BROKEN, type(error).__name__)


async def _read_response(
    request: CallerRequest, response: aiohttp.ClientResponse
) -> AttemptResult:
    status = response.status
    if not _is_response_to(request, response):
        # The response to an earlier request; the one to this request may follow it.
        response.close()
        return AttemptResult(Outcome.BROKEN, "response to another request")
    body = await response.read()
    if status == 421:
        return AttemptResult(Outcome.NOT_OWNER, "status 421")
    if NOT_EXECUTED in response.headers:
        return AttemptResult(Outcome.REFUSED, f"status {status} not run")
    forwarded = Response(
        status, forwarded_fields(response.headers, HOP_BY_HOP_FIELDS), body
    )
    detail = f"status {status}"
    if status >= 500:
        return AttemptResult(Outcome.FAILED, detail, forwarded)
    if status < 300 and SIGNATURE not in response.headers:
        return AttemptResult(Outcome.BROKEN, "no signature")
    return AttemptResult(Outcome.ANSWERED, detail, forwarded)


def _is_response_to(request: CallerRequest, response: aiohttp.ClientResponse) -> bool:
    """Return whether a response belongs to this request.

    A response with a status of 300 or more may lack the attempt id.
    """
    attempt_id = response.headers.get(ATTEMPT_ID)
    if attempt_id is None:
        return response.status >= 300 or not request.request_id
    return attempt_id == request.request_id


class _ServerConnector(aiohttp.TCPConnector):
    """Does not reuse connections on which unsolicited bytes have arrived."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(_ServerProtocol, loop=self._loop)

    async def _get(self, key: Any, traces: Any) -> Any:
        idle = self._conns.get(key)
        if idle:
            for entry in [*idle]:
                if entry[0].should_close:
                    idle.remove(entry)
                    entry[0].close()
        return await super()._get(key, traces)


class _ServerProtocol(ResponseHandler):
    """Distinguishes a reset from the end of a response without a length.

    aiohttp takes any loss of the connection as the end of such a response.
    """

    def connection_lost(self, error: BaseException | None) -> None:
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("The connection was reset.")
            )
        super().connection_lost(error)
