"""Sends callers' requests to servers over HTTP."""

from __future__ import annotations

__all__ = ["ServerClient"]

import asyncio
import socket
from typing import Any

import aiohttp
from multidict import CIMultiDict

from ..gateway.body_memory import PART_BYTES, BodyMemory
from ..gateway.clock import boottime_s
from ..gateway.exchange import (
    AttemptResult,
    CallerLeft,
    CallerRequest,
    HealthReport,
    NotSent,
    Outcome,
    Response,
    ServerNotice,
)
from ..gateway.model import Backend
from ..gateway.sockets import OpenSocket, open_reset_on_close_socket
from ..headers import forwarded_fields
from ..http_sessions import request_url
from ..json_documents import describe
from .headers import (
    DEADLINE_MS,
    EXPECTED_SERVER,
    NOT_EXECUTED,
    SERVER_ID,
    SIGNATURE,
)
from .http import HOP_BY_HOP_FIELDS, open_session
from .request_body import RequestBody
from .response_body import ServerBodyStream, read_body
from .send_check import CheckedRequest, checking_before_sending
from .server_connections import READ_BYTES, ServerConnector
from .server_notice import read_notice

CONNECT_TIMEOUT_S = 0.3
"""Connecting inside a region takes a few milliseconds. A server whose accept queue is
full drops the SYN, which is retransmitted only after a second."""

KEEPALIVE_TIMEOUT_S = 6.0
"""Servers close idle connections after ten seconds. A request that is sent while the
server closes the connection has an unknown outcome."""

MAX_HEADER_BYTES = 32_768

READ_BUFFER_BYTES = (PART_BYTES - READ_BYTES) // 2
"""aiohttp lets twice as much arrive before it stops reading, and one read beyond; as
much is counted of a body that waits for room."""

PROBE_TIMEOUT_S = 0.4
MAX_PROBE_BYTES = 4_096

_LOST = (aiohttp.ServerDisconnectedError, OSError)


class ServerClient:
    """Sends requests; see :class:`jacinthpath.gateway.exchange.BackendClient`.

    :param memory: counts the bodies that this host holds.
    :param open_socket: opens the socket of a connection to an ``addrinfo`` tuple.
    """

    def __init__(
        self, memory: BodyMemory, open_socket: OpenSocket = open_reset_on_close_socket
    ) -> None:
        self._memory = memory
        self._open_socket = open_socket
        self._session: aiohttp.ClientSession | None = None
        self._separate: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP sessions."""
        self._session = self._open_session(keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self._separate = self._open_session(force_close=True)

    def _open_session(self, **options: Any) -> aiohttp.ClientSession:
        return open_session(
            ServerConnector(limit=0, socket_factory=self._open_socket, **options),
            CONNECT_TIMEOUT_S,
            request_class=CheckedRequest,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def close(self) -> None:
        """Close the HTTP sessions."""
        for session in (self._session, self._separate):
            if session is not None:
                await session.close()
        self._session = self._separate = None

    async def send(
        self, request: CallerRequest, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send a request to a server and read its response, or as much as may be held.

        :param remaining_s: time that the server may take.
        """
        headers = request.headers.copy()
        headers[EXPECTED_SERVER] = backend.server
        try:
            url = request_url(backend.address, request.target)
        except ValueError as error:
            return AttemptResult(Outcome.UNREACHABLE, describe(error))
        # A response to a request without an id cannot be told from an earlier one.
        session = self._session if request.request_id else self._separate
        deadline_s = asyncio.get_running_loop().time() + remaining_s
        boot_deadline_s = boottime_s() + remaining_s

        def check(fields: CIMultiDict[str]) -> None:
            request.check_wanted()
            fields[DEADLINE_MS] = _remaining_ms(deadline_s, boot_deadline_s)

        response: aiohttp.ClientResponse | None = None
        result: AttemptResult | None = None
        try:
            async with asyncio.timeout_at(deadline_s):
                with checking_before_sending(check):
                    response = await session.request(
                        request.method,
                        url,
                        headers=headers,
                        data=RequestBody(request.body) if request.body else None,
                        allow_redirects=False,
                    )
                result = await self._read_response(
                    response, request, backend, deadline_s
                )
            return result
        except CallerLeft:
            raise
        except NotSent as error:
            return AttemptResult(Outcome.TIMED_OUT, str(error), was_sent=False)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return AttemptResult(Outcome.UNREACHABLE, type(error).__name__)
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT, "no response in time")
        except aiohttp.ClientPayloadError as error:
            # The body keeps the error, whose traceback would keep the request.
            error.with_traceback(None)
            return AttemptResult(Outcome.BROKEN, str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptResult(
                Outcome.BROKEN,
                type(error).__name__,
                connection_reset=response is None and isinstance(error, OSError),
                connection_lost=response is None and isinstance(error, _LOST),
            )
        except Exception as error:
            # What the library does not declare costs this attempt alone.
            return AttemptResult(Outcome.BROKEN, describe(error))
        finally:
            if response is not None and not _is_streaming(result):
                response.close()

    async def refuses_connections(self, backend: Backend) -> bool:
        """Return whether nothing listens at the server's address.

        A host that does not respond refuses nothing, and may go on working.
        """
        host, _, port = backend.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                (address, *_) = await loop.getaddrinfo(
                    host, int(port), type=socket.SOCK_STREAM
                )
                with self._open_socket(address) as probe:
                    await loop.sock_connect(probe, address[-1])
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        return False

    async def responds(self, backend: Backend, health_path: str) -> bool:
        """Return whether the server responds to a health check, whatever it says."""
        return await self.check_health(backend, health_path) is not None

    async def check_health(
        self, backend: Backend, health_path: str
    ) -> HealthReport | None:
        """Return what the server says of itself, ``None`` without a response.

        Another server at its address says nothing of it.
        """
        url = request_url(backend.address, health_path)
        fields = {EXPECTED_SERVER: backend.server}
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_S),
                self._session.get(
                    url, headers=fields, allow_redirects=False
                ) as response,
            ):
                await response.content.read(MAX_PROBE_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None
        if _is_of_another_server(response, backend):
            return HealthReport(False)
        return HealthReport(200 <= response.status < 300, _notice_of(response, backend))

    async def _read_response(
        self,
        response: aiohttp.ClientResponse,
        request: CallerRequest,
        backend: Backend,
        deadline_s: float,
    ) -> AttemptResult:
        status = response.status
        notice = _notice_of(response, backend)
        executed = status != 421 and NOT_EXECUTED not in response.headers
        if executed and status < 300 and SIGNATURE not in response.headers:
            return AttemptResult(Outcome.BROKEN, "no signature", notice=notice)
        if executed and status < 500:
            request.handle_response_start(notice)
        body = await read_body(response, self._memory)
        if not executed:
            outcome = Outcome.NOT_OWNER if status == 421 else Outcome.REFUSED
            return AttemptResult(outcome, f"status {status} not run", notice=notice)
        headers = forwarded_fields(response.headers, HOP_BY_HOP_FIELDS)
        if body.is_whole:
            forwarded = Response(status, headers, b"".join(body.parts))
        else:
            stream = ServerBodyStream(response, body.parts, deadline_s, self._memory)
            forwarded = Response(status, headers, b"", stream=stream)
        outcome = Outcome.FAILED if status >= 500 else Outcome.ANSWERED
        return AttemptResult(outcome, f"status {status}", forwarded, notice)


def _notice_of(response: aiohttp.ClientResponse, backend: Backend) -> ServerNotice:
    """Return the notice of a response.

    The load and the cold time of another server at the address are left out.
    """
    notice = read_notice(response.headers)._replace(received_s=boottime_s())
    if _is_of_another_server(response, backend):
        return notice._replace(load=None, warmup_left_s=None, of_another_server=True)
    return notice


def _is_of_another_server(response: aiohttp.ClientResponse, backend: Backend) -> bool:
    return response.headers.get(SERVER_ID, backend.server) != backend.server


def _remaining_ms(deadline_s: float, boot_deadline_s: float) -> str:
    """Return the time that is left for a request.

    :param deadline_s: on the loop's clock, which stops while the host is suspended.
    :param boot_deadline_s: on the boot clock, which does not.
    :raises NotSent: there is none.
    """
    loop_s = asyncio.get_running_loop().time()
    remaining_s = min(deadline_s - loop_s, boot_deadline_s - boottime_s())
    if remaining_s <= 0:
        raise NotSent("Its time ended before it was sent.")
    return str(max(1, int(1000 * remaining_s)))


def _is_streaming(result: AttemptResult | None) -> bool:
    """Return whether the connection is needed for a body that is still arriving."""
    return (
        result is not None
        and result.response is not None
        and result.response.stream is not None
    )
