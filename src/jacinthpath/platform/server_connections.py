"""Connections to servers, which may send more than the response that is due."""

from __future__ import annotations

__all__ = ["READ_BYTES", "ServerConnector"]

from collections import deque
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .headers import ATTEMPT_ID
from .response_heads import HeadCheck, find_framing_fault

KEPT_ATTEMPT_IDS = 32
"""Attempt ids that a connection remembers: a retry soon follows its first attempt."""

READ_BYTES = 64 * 1024
"""Bytes read from a connection at a time; asyncio's default is 256 KiB."""

PARSED_BYTES = 4 * 1024
"""Bytes that are parsed at a time up to the end of a head. The parser reads all heads
in them before the first is refused."""

MAX_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 16
"""Bytes of a response outside of its body, such as chunk headers and trailers, are
limited to the sum of :data:`MAX_FRAMING_BYTES` and this multiple of its body."""


class ServerConnector(aiohttp.TCPConnector):
    """Reuses only connections on which nothing unexpected can still arrive.

    All connections to servers are opened by this class: for callers' requests, commands
    and health checks.

    :param identified: whether each request has an attempt id that its response repeats.
        Without one, a response is known to be due only on a connection of its own.
    """

    def __init__(self, *, identified: bool = True, **options: Any) -> None:
        super().__init__(**options)
        self._identified = identified
        self._factory = partial(_ServerProtocol, loop=self._loop)

    async def connect(self, request: Any, *args: Any, **options: Any) -> Any:
        """Return a connection for a request that was not used for the same attempt.

        A late second copy of the first response would be taken for the response to
        the retry.
        """
        attempt_id = request.headers.get(ATTEMPT_ID, "")
        if self._identified:
            self._close_unusable(request.connection_key, attempt_id)
        connection = await super().connect(request, *args, **options)
        connection.protocol.begin_exchange(attempt_id)
        return connection

    def _close_unusable(self, key: Any, attempt_id: str) -> None:
        idle = self._conns.get(key)
        for entry in [*idle] if idle else ():
            protocol = entry[0]
            if protocol.should_close or protocol.was_used_for(attempt_id):
                idle.remove(entry)
                protocol.close()

    def _release(self, key: Any, protocol: Any, **options: Any) -> None:
        protocol.end_exchange()
        super()._release(key, protocol, **options)


class _ServerProtocol(ResponseHandler):
    """Checks that the bytes received belong to the response that is due.

    It also tells a reset from the end of a response without a length: aiohttp takes any
    loss of the connection as the end of such a response.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._attempt_id = ""
        self._earlier_attempt_ids: deque[str] = deque(maxlen=KEPT_ATTEMPT_IDS)
        self._exchanging = False
        self._received_bytes = 0
        self._has_response = False
        self._is_broken = False
        self._head_check = HeadCheck()

    def connection_made(self, transport: Any) -> None:
        """Limit what is read at a time: many large responses may arrive at once."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)

    def was_used_for(self, attempt_id: str) -> bool:
        """Return whether an earlier request on this connection had this attempt id."""
        return attempt_id in self._earlier_attempt_ids

    def begin_exchange(self, attempt_id: str) -> None:
        """Expect the response to a request with this attempt id."""
        self._attempt_id = attempt_id
        self._exchanging = True
        self._received_bytes = 0
        self._has_response = False
        self._head_check = HeadCheck()

    def end_exchange(self) -> None:
        """Expect no more bytes until the next request."""
        self._earlier_attempt_ids.append(self._attempt_id)
        self._exchanging = False

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser unless they are not due or not HTTP/1.1."""
        # aiohttp passes no bytes to make the parser resume.
        if data and not self._exchanging:
            self._break("bytes without a request")
            return
        # Bytes that arrive before there is a parser are passed here again.
        in_head = self._parser is not None and self._head_check.in_head
        fault = self._head_check.find_fault(data) if data and self._parser else ""
        if fault:
            self._break(fault)
            return
        part_bytes = PARSED_BYTES if in_head else len(data)
        for start in range(0, len(data), part_bytes) if data else (0,):
            self._parse(data[start : start + part_bytes])
            if self._is_broken:
                return

    def _parse(self, data: bytes) -> None:
        """Pass bytes to the parser, and check that they hold enough of a body."""
        self._received_bytes += len(data)
        super().data_received(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        limit = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        if self._received_bytes - body_bytes > limit:
            self._break("framing without end")

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response if it is a response to the request."""
        head = data[0]
        fault = find_framing_fault(head)
        if fault:
            self._break(fault)
            return
        is_interim = 100 <= head.code < 200
        if not is_interim and not self._is_due(head):
            self._break("response to another request")
            return
        if self._has_response:
            self._break("response after the whole one")
            return
        self._has_response = not is_interim
        super().feed_data(data, size)

    def connection_lost(self, error: BaseException | None) -> None:
        """Break a response that was reset before its end."""
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("The connection was reset.")
            )
        super().connection_lost(error)

    def _is_due(self, head: Any) -> bool:
        """Return whether a response belongs to the request.

        An error may lack the attempt id, but then it may also be a late second copy of
        an error on a connection that is in use again.
        """
        if not self._exchanging:
            return False
        attempt_ids = head.headers.getall(ATTEMPT_ID, ())
        if attempt_ids:
            return all(value == self._attempt_id for value in attempt_ids)
        if not self._attempt_id:
            return True
        return head.code >= 300 and not self._earlier_attempt_ids

    def _break(self, detail: str) -> None:
        """Close the connection at once; a response in progress is broken."""
        self._is_broken = True
        error = aiohttp.ClientPayloadError(detail)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
