"""Requests to servers over HTTP."""

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
from .headers import ATTEMPT_ID, DEADLINE_MS, EXPECTED_SERVER, NOT_RUN, SIGNATURE
from .http import CONNECTION_FIELDS, open_session

CONNECT_TIMEOUT_S = 0.3
"""Connections inside a region take a few milliseconds; the opening packet of a full
server is dropped and comes again only after a second."""

IDLE_CONNECTION_S = 6.0
"""Servers close idle connections after ten seconds; a request that crosses the close
has an unknown outcome."""

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
                keepalive_timeout=IDLE_CONNECTION_S,
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
        """Send a request to a server and read its whole answer.

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
                return await _read_answer(request, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return AttemptResult(Outcome.UNREACHABLE, type(error).__name__)
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT, "no answer in time")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptResult(Outcome.BROKEN, type(error).__name__)


async def _read_answer(
    request: CallerRequest, response: aiohttp.ClientResponse
) -> AttemptResult:
    status = response.status
    if not _is_for(request, response):
        # An answer to an earlier request; ours may come behind it.
        response.close()
        return AttemptResult(Outcome.BROKEN, "answer of another request")
    body = await response.read()
    if status == 421:
        return AttemptResult(Outcome.NOT_OWNER, "status 421")
    if NOT_RUN in response.headers:
        return AttemptResult(Outcome.REFUSED, f"status {status} not run")
    reply = Response(
        status, forwarded_fields(response.headers, CONNECTION_FIELDS), body
    )
    detail = f"status {status}"
    if status >= 500:
        return AttemptResult(Outcome.FAILED, detail, reply)
    if status < 300 and SIGNATURE not in response.headers:
        return AttemptResult(Outcome.BROKEN, "no signature")
    return AttemptResult(Outcome.ANSWERED, detail, reply)


def _is_for(request: CallerRequest, response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer is for this request; refusals may carry no identity."""
    answered_id = response.headers.get(ATTEMPT_ID)
    if answered_id is None:
        return response.status >= 300 or not request.request_id
    return answered_id == request.request_id


class _ServerConnector(aiohttp.TCPConnector):
    """Reuses no connection on which bytes arrived that nobody asked for."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(_ServerProtocol, loop=self._loop)

    async def _get(self, key: Any, traces: Any) -> Any:
        waiting = self._conns.get(key)
        if waiting:
            for entry in [*waiting]:
                if entry[0].should_close:
                    waiting.remove(entry)
                    entry[0].close()
        return await super()._get(key, traces)


class _ServerProtocol(ResponseHandler):
    """Tells a reset from the end of an answer that has no length.

    The library ends such an answer at any loss of the connection.
    """

    def connection_lost(self, error: BaseException | None) -> None:
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("The connection was reset.")
            )
        super().connection_lost(error)
