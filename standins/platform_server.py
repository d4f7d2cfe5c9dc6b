"""Stand-in for a server of the platform, with fenced grants and faulty responses."""

from __future__ import annotations

__all__ = ["PlatformServerStandIn"]

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from typing import NamedTuple

KEY_COUNT = 65_536
RETURN_RETRY_S = 0.1
HEALTH_PATH = "/health"
LARGE_BODY = bytes(range(256)) * 8_192

SMALL_BUFFER_BYTES = 64 * 1024
"""Buffer of the connections on which responses that stay unread are cut off."""

REASONS = {200: "OK", 409: "Conflict", 421: "Misdirected Request", 503: "Unavailable"}


class HeldRange(NamedTuple):
    """A range of keys that a server holds until a time on the monotonic clock."""

    first: int
    last: int
    fence: int
    until_s: float


class _Request(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlatformServerStandIn:
    """A server on raw streams, so that it can also send malformed responses.

    ``fault`` is empty or one of these, for requests but not for commands:

    - ``overloaded``: refuses with 503 and X-Not-Executed.
    - ``duplicate-response``: sends the response twice.
    - ``foreign-response``: sends the response to another request first.
    - ``no-length``: omits Content-Length and closes the connection.
    - ``reset``: like ``no-length``, but truncates the body and ends with a TCP reset.
    - ``truncated``: truncates the body and closes the connection.
    - ``no-response``: executes the request, then closes the connection.
    - ``silent`` and ``slow``: respond after 30 s and :attr:`work_s`.
    - ``large`` and ``large-truncated``: send :data:`LARGE_BODY`, or half of it.
    - ``endless-body``, ``endless-chunks``, ``endless-interim``, ``endless-trailer``,
      ``endless-head``, ``endless-refusal``, ``endless-error``: send a body without a
      length, a chunked body, interim responses, a chunk header, a field, or the body of
      a refusal or of an error, without end. Health checks get the same.
    - ``refused-twice``: refuses with 503, and again when the next request arrives.
    - ``error-twice``: like ``refused-twice``, without the attempt id.
    - ``invalid-status``: sends :attr:`status_line` as the status line.
    - ``paused``: refuses with 503 and a Retry-After of ``pause``.

    :ivar work_s: how long a request takes with the fault ``slow``.
    :ivar slow_path: a request whose target begins so takes as long without a fault.
    :ivar crashing_path: a request whose target begins so ends the server when it begins
        to run; the server is back at its address after ``down_s``.
    :ivar ends: targets of these requests, and the monotonic times of the ends.
    :ivar limit: value of Server-Limit in all responses; none is sent if it is empty.
    :ivar load: value of X-Server-Load in all responses; none is sent if it is empty.
    :ivar warmup_ms: the same for X-Warmup-Ms.
    :ivar status_line: see the fault ``invalid-status``.
    :ivar padding_bytes: bytes that follow the body of each answer.
    :ivar max_unread_s: a response that has not been taken after this time is cut off by
        a reset; 0 for no limit.
    :ivar cut_responses: how many were.
    :ivar healthy: whether the health path responds 200, otherwise 503.
    :ivar zone: its data centre, in its entry.
    :ivar warmup_left: for how much longer it is cold, in its entry.
    :ivar arrivals_s: monotonic times of the requests, commands not included.
    """

    def __init__(self, server: str, service: str, keyed: bool = False) -> None:
        self.server = server
        self.service = service
        self.keyed = keyed
        self.fault = ""
        self.pause = "1.5"
        self.work_s = 0.5
        self.slow_path = ""
        self.leaving = False
        self.crashing_path = ""
        self.down_s = 1.0
        self.ends: list[tuple[str, float]] = []
        self.handle_return: Callable[[PlatformServerStandIn], None] | None = None
        self.limit = ""
        self.load = ""
        self.warmup_ms = ""
        self.status_line = b"HTTP/1.1 600 Odd"
        self.padding_bytes = 0
        self.max_unread_s = 0.0
        self.cut_responses = 0
        self.healthy = True
        self.zone = "a"
        self.warmup_left = "0ms"
        self.arrivals_s: list[float] = []
        self.sent_bytes = 0
        self.accepted_connections = 0
        self.refused_attempts: list[str] = []
        self._refusal: bytes | None = None
        self._refused_writer: asyncio.StreamWriter | None = None
        self.executed_attempts: list[str] = []
        self.executed_requests: list[tuple[str, str, bytes]] = []
        self.received_deadlines_ms: list[int] = []
        self.abandoned_requests = 0
        self.held_ranges: list[HeldRange] = []
        self.fences = [0] * KEY_COUNT
        self.address = ""
        self.started_ms = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self._listener: asyncio.Server | None = None
        self._closed = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self._writers)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._closed = True
        self._listener.close()
        for writer in [*self._writers]:
            writer.close()

    def entry(self, state: str = "ready") -> bytes:
        """Return the entry that the server writes to the store."""
        entry = {
            "address": self.address,
            "born": self.started_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 3,
            },
            "status": {"state": state, "sequence": 1, "warmup_left": self.warmup_left},
        }
        return json.dumps(entry).encode()

    def holds_key(self, key: int) -> bool:
        """Return whether the server may execute requests for a key."""
        now_s = time.monotonic()
        return any(
            hold.first <= key <= hold.last and hold.until_s > now_s
            for hold in self.held_ranges
        )

    def restart(self) -> None:
        """Begin a new incarnation under the same id, which keeps no earlier state."""
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self.started_s = time.monotonic()
        self.held_ranges.clear()
        self.fences = [0] * KEY_COUNT

    def _crash(self, target: str) -> None:
        """End with a reset of all connections, and come back a while later."""
        self.ends.append((target, time.monotonic()))
        self._listener.close()
        for writer in [*self._writers]:
            _reset(writer)
        asyncio.get_running_loop().call_later(
            self.down_s, lambda: asyncio.ensure_future(self._return())
        )

    async def _return(self) -> None:
        """Listen again, as another incarnation.

        Meanwhile an outgoing connection of another process may have used the port.
        """
        host, _, port = self.address.rpartition(":")
        while not self._closed:
            try:
                self._listener = await asyncio.start_server(
                    self._serve, host, int(port)
                )
                break
            except OSError:
                await asyncio.sleep(RETURN_RETRY_S)
        if self._closed:
            return
        self.restart()
        if self.handle_return is not None:
            self.handle_return(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self.max_unread_s:
            tcp_socket = writer.get_extra_info("socket")
            tcp_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
        self.accepted_connections += 1
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                response_task = asyncio.ensure_future(
                    self._handle_request(request, writer)
                )
                eof_task = asyncio.ensure_future(_wait_for_eof(reader))
                await asyncio.wait(
                    {response_task, eof_task}, return_when="FIRST_COMPLETED"
                )
                if not response_task.done():
                    response_task.cancel()
                    self.abandoned_requests += 1
                    break
                eof_task.cancel()
                if not response_task.result():
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, request: _Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle a request; return whether the connection stays open."""
        if request.target in ("/-/grant", "/-/release"):
            writer.write(self._handle_command(request))
            return True
        if request.target == HEALTH_PATH and self.fault.startswith("endless"):
            return await self._respond("", writer)
        if request.target == HEALTH_PATH:
            writer.write(self._check_health(request))
            return True
        self.arrivals_s.append(time.monotonic())
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance")
        if expected and expected != self.server:
            writer.write(_message(421, {"X-Instance-Id": self.server}, b""))
            return True
        key = request.headers.get("x-shard-key")
        if self.keyed and not (key and self.holds_key(int(key))):
            writer.write(_message(421, self._own_fields(), b""))
            return True
        if self.fault == "overloaded":
            writer.write(_message(503, self._own_fields(), b""))
            return True
        refused = self._refuse(attempt, writer)
        if refused:
            writer.write(refused)
            return True
        if self.crashing_path and request.target.startswith(self.crashing_path):
            self._crash(request.target)
            return False
        self.executed_attempts.append(attempt)
        self.executed_requests.append((request.method, request.target, request.body))
        self.received_deadlines_ms.append(int(request.headers["x-request-deadline-ms"]))
        if self.slow_path and request.target.startswith(self.slow_path):
            await asyncio.sleep(self.work_s)
        return await self._respond(attempt, writer)

    def _own_fields(self, executed: bool = False) -> dict[str, str]:
        """Return the fields that do not depend on the request."""
        fields = {} if executed else {"X-Not-Executed": "1"}
        if self.leaving:
            fields["Server-Leaving"] = "1"
        if self.limit:
            fields["Server-Limit"] = self.limit
        if self.load:
            fields["X-Server-Load"] = self.load
        if self.warmup_ms:
            fields["X-Warmup-Ms"] = self.warmup_ms
        return fields

    def _check_health(self, request: _Request) -> bytes:
        fields = {**self._own_fields(executed=True), "X-Instance-Id": self.server}
        if request.headers.get("x-expected-instance", self.server) != self.server:
            return _message(421, fields, b"")
        return _message(200 if self.healthy else 503, fields, b"")

    def _refuse(self, attempt: str, writer: asyncio.StreamWriter) -> bytes:
        """Return the refusal of a request, empty if the server accepts it."""
        fields = {**self._own_fields(), "X-Attempt-Id": attempt}
        if self.fault == "paused":
            self.refused_attempts.append(attempt)
            return _message(503, {**fields, "Retry-After": self.pause}, b"")
        if self.fault not in ("refused-twice", "error-twice"):
            return b""
        if self._refusal is None:
            self.refused_attempts.append(attempt)
            if self.fault == "error-twice":
                del fields["X-Attempt-Id"]
            self._refusal = _message(503, fields, b"")
            self._refused_writer = writer
            return self._refusal
        if writer is not self._refused_writer:
            return b""
        # The second copy of the refusal arrives although this request is executed.
        self.executed_attempts.append(attempt)
        return self._refusal

    async def _send_without_end(
        self, head: bytes, part: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)

    async def _respond(self, attempt: str, writer: asyncio.StreamWriter) -> bool:
        body = f"answer to {attempt}".encode() + bytes(self.padding_bytes)
        fields = {"X-Attempt-Id": attempt, "X-Server-Signature": f"sig.{self.server}"}
        fields.update(self._own_fields(executed=True))
        if self.fault.startswith("endless"):
            await self._send_without_end(*_endless_parts(self.fault, fields), writer)
            return False
        if self.fault.startswith("large"):
            body = LARGE_BODY
        message = _message(200, fields, body)
        if self.fault == "invalid-status":
            message = message.replace(b"HTTP/1.1 200 OK", self.status_line, 1)
        if self.fault == "slow":
            await asyncio.sleep(self.work_s)
        if self.fault == "silent":
            await asyncio.sleep(30)
        if self.fault == "no-response":
            return False
        if self.fault == "truncated":
            writer.write(message[:-4])
            return False
        if self.fault == "large-truncated":
            writer.write(message[: len(message) // 2])
            await writer.drain()
            return False
        if self.fault == "foreign-response":
            other = {**fields, "X-Attempt-Id": "another"}
            writer.write(_message(200, other, b"not yours"))
        if self.fault in ("no-length", "reset"):
            head = message.replace(f"Content-Length: {len(body)}\r\n".encode(), b"")
            writer.write(head[: len(head) - (5 if self.fault == "reset" else 0)])
            await writer.drain()
            if self.fault == "reset":
                await asyncio.sleep(0.05)
                _reset(writer)
            return False
        writer.write(message)
        if self.fault == "duplicate-response":
            writer.write(message)
        return not self.max_unread_s or await self._wait_until_taken(writer)

    async def _wait_until_taken(self, writer: asyncio.StreamWriter) -> bool:
        """Wait until a response has been taken; cut it off if that takes too long."""
        writer.transport.set_write_buffer_limits(high=0)
        try:
            async with asyncio.timeout(self.max_unread_s):
                await writer.drain()
        except TimeoutError:
            self.cut_responses += 1
            _reset(writer)
            return False
        return True

    def _handle_command(self, request: _Request) -> bytes:
        command = json.loads(request.body)
        first, last, fence = command["from"], command["to"], command["fence"]
        if request.target == "/-/release":
            self._release(first, last, fence)
            return _message(200, {"X-Handover": "handover"}, b"")
        if max(self.fences[first : last + 1]) > fence:
            return _message(409, {}, b"")
        hold_s = float(command["hold_time"].removesuffix("ms")) / 1000
        self._release(first, last, fence)
        self.held_ranges.append(
            HeldRange(first, last, fence, time.monotonic() + hold_s)
        )
        return _message(200, {}, b"")

    def _release(self, first: int, last: int, fence: int) -> None:
        """Release ``first`` to ``last`` and raise the fences of these keys."""
        self.fences[first : last + 1] = [
            max(fence, seen_fence) for seen_fence in self.fences[first : last + 1]
        ]
        remaining = []
        for hold in self.held_ranges:
            if hold.last < first or last < hold.first:
                remaining.append(hold)
                continue
            if hold.first < first:
                remaining.append(hold._replace(last=first - 1))
            if last < hold.last:
                remaining.append(hold._replace(first=last + 1))
        now_s = time.monotonic()
        self.held_ranges = [hold for hold in remaining if hold.until_s > now_s]


async def _read_request(reader: asyncio.StreamReader) -> _Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return _Request(method, target, headers, body)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset; a plain close would send a FIN."""
    if writer.is_closing():
        return
    tcp_socket = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _wait_for_eof(reader: asyncio.StreamReader) -> None:
    """Return when the other end has closed its side or the connection has failed."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def _endless_parts(fault: str, fields: dict[str, str]) -> tuple[bytes, bytes]:
    """Return the beginning and the repeated part of a response without end."""
    part = b"x" * 65_536
    if fault == "endless-interim":
        return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000
    status_line = "HTTP/1.1 200 OK"
    if fault == "endless-refusal":
        status_line, fields = "HTTP/1.1 503 Full", {**fields, "X-Not-Executed": "1"}
    if fault == "endless-error":
        status_line = "HTTP/1.1 500 Failed"
    lines = [status_line, *(f"{name}: {value}" for name, value in fields.items())]
    if fault == "endless-head":
        return "\r\n".join([*lines, "X-Field: "]).encode(), part
    if fault in ("endless-body", "endless-refusal", "endless-error"):
        return "\r\n".join([*lines, "", ""]).encode(), part
    head = "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode()
    if fault == "endless-trailer":
        return head + b"1;", part
    return head, b"10000\r\n" + part + b"\r\n"


def _message(status: int, fields: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
