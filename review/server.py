"""Stand-in for a server of the platform that works, holds keys and drains.

It follows the users' pages: slots, grants with a hold time, releases that are answered
when the running work has ended, and the header fields of requests and answers.
"""

from __future__ import annotations

__all__ = ["Call", "Run", "ServerStandIn"]

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

KEY_COUNT = 65_536
HEALTH_PATH = "/health"
QUEUE_LENGTH = 12
SIGNATURE = "X-Server-Signature"
REASONS = {
    200: "OK",
    400: "Bad Request",
    409: "Conflict",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Call(NamedTuple):
    """A request or command that the server has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Run:
    """A request that the server works on or has worked on."""

    def __init__(self, server: str, attempt: str, key: int | None) -> None:
        self.server = server
        self.attempt = attempt
        self.key = key
        self.begun_s = time.monotonic()
        self.ended_s: float | None = None


class Hold(NamedTuple):
    """Keys that the server holds until a time on the monotonic clock."""

    first: int
    last: int
    fence: int
    until_s: float


class ServerStandIn:
    """One lifetime of a server.

    :param log: writes a line to the record of the case.
    :ivar work_s: returns how long the next request takes.
    :ivar answer: sends an answer; a case replaces it to make the server faulty.
    :ivar grants: accepted grants, with the times of their arrival.
    :ivar released_holds: holds that were released, until when they would have run.
    """

    def __init__(
        self,
        server: str,
        service: str,
        keyed: bool,
        log: Callable[..., None],
        slots: int = 3,
    ) -> None:
        self.server = server
        self.service = service
        self.keyed = keyed
        self.state = "ready"
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.work_s: Callable[[], float] = lambda: 0.05
        self.answer: Callable[..., Any] = self.send_answer
        self.answers = 0
        self.runs: list[Run] = []
        self.holds: list[Hold] = []
        self.released_holds: list[Hold] = []
        self.grants: list[tuple[float, Hold]] = []
        self.fences = [0] * KEY_COUNT
        self._log = log
        self._slots = asyncio.Semaphore(slots)
        self._queued = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """End: close the listener and all connections."""
        self._listener.close()
        for writer in [*self._writers]:
            writer.close()

    def entry(self) -> bytes:
        """Return the next entry for the store."""
        self.sequence += 1
        entry = {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": 3,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmup_left": "0ms",
            },
        }
        return json.dumps(entry).encode()

    def running(self) -> list[Run]:
        """Return the requests that the server is at work on."""
        return [run for run in self.runs if run.ended_s is None]

    def holds_key(self, key: int) -> bool:
        """Return whether the server holds a key."""
        now_s = time.monotonic()
        return any(h.first <= key <= h.last and now_s < h.until_s for h in self.holds)

    async def send_answer(
        self,
        writer: asyncio.StreamWriter,
        call: Call,
        status: int,
        fields: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Send an answer with its length."""
        self.answers += 1
        writer.write(encode_answer(status, fields, body))
        await writer.drain()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (call := await _read_call(reader)) is not None:
                handling = asyncio.ensure_future(self._handle(call, writer))
                ended = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait({handling, ended}, return_when="FIRST_COMPLETED")
                ended.cancel()
                if not handling.done():
                    handling.cancel()
                    with suppress(asyncio.CancelledError):
                        await handling
                    break
                handling.result()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, call: Call, writer: asyncio.StreamWriter) -> None:
        expected = call.headers.get("x-expected-instance", self.server)
        if expected != self.server:
            fields = {"X-Instance-Id": self.server, "X-Not-Executed": "1"}
            await self.answer(writer, call, 421, fields)
        elif call.target == "/-/grant":
            await self._handle_grant(call, writer)
        elif call.target == "/-/release":
            await self._handle_release(call, writer)
        elif call.target == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            await self.answer(writer, call, status, {"X-Instance-Id": self.server})
        else:
            await self._handle_request(call, writer)

    async def _handle_request(self, call: Call, writer: asyncio.StreamWriter) -> None:
        attempt = call.headers.get("x-attempt-id", "")
        fields = {"X-Attempt-Id": attempt}
        key = int(call.headers["x-shard-key"]) if self.keyed else None
        if self.keyed and not self.holds_key(key):
            await self.answer(writer, call, 421, {**fields, "X-Not-Executed": "1"})
            return
        if self._slots.locked() and self._queued >= QUEUE_LENGTH:
            await self.answer(writer, call, 503, {**fields, "X-Not-Executed": "1"})
            return
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            if self.keyed and not self.holds_key(key):
                await self.answer(writer, call, 421, {**fields, "X-Not-Executed": "1"})
                return
            await self._run(attempt, key)
        finally:
            self._slots.release()
        fields[SIGNATURE] = f"sig.{self.server}.{attempt}"
        body = f"answer of {self.server} to {attempt}".encode()
        await self.answer(writer, call, 200, fields, body)

    async def _run(self, attempt: str, key: int | None) -> None:
        run = Run(self.server, attempt, key)
        self.runs.append(run)
        self._log("run begun", server=self.server, id=attempt, key=key)
        try:
            await asyncio.sleep(self.work_s())
        finally:
            run.ended_s = time.monotonic()
            self._log("run ended", server=self.server, id=attempt, key=key)

    async def _handle_grant(self, call: Call, writer: asyncio.StreamWriter) -> None:
        arrived_s = time.monotonic()
        command = json.loads(call.body)
        first, last, fence = command["from"], command["to"], command["fence"]
        if max(self.fences[first : last + 1]) > fence:
            await self.answer(writer, call, 409, {})
            return
        hold_s = float(command["hold_time"].removesuffix("ms")) / 1000
        hold = Hold(first, last, fence, arrived_s + hold_s)
        is_new = not (self.holds_key(first) and self.holds_key(last))
        self._take_back(first, last, fence)
        self.holds.append(hold)
        self.grants.append((arrived_s, hold))
        if is_new:
            self._log(
                "granted", server=self.server, first=first, last=last, fence=fence
            )
        await self.answer(writer, call, 200, {})

    async def _handle_release(self, call: Call, writer: asyncio.StreamWriter) -> None:
        command = json.loads(call.body)
        first, last, fence = command["from"], command["to"], command["fence"]
        self._log(
            "release received", server=self.server, first=first, last=last, fence=fence
        )
        for hold in self.holds:
            if hold.first <= last and first <= hold.last:
                part = hold._replace(
                    first=max(first, hold.first), last=min(last, hold.last)
                )
                self.released_holds.append(part)
        self._take_back(first, last, fence)
        while any(first <= run.key <= last for run in self.running()):
            await asyncio.sleep(0.005)
        self._log("release done", server=self.server, first=first, last=last)
        await self.answer(writer, call, 200, {"X-Handover": f"h{fence}"})

    def _take_back(self, first: int, last: int, fence: int) -> None:
        """End the holds of these keys, and raise the highest fence seen of them."""
        self.fences[first : last + 1] = [
            max(fence, seen) for seen in self.fences[first : last + 1]
        ]
        remaining = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                remaining.append(hold)
                continue
            if hold.first < first:
                remaining.append(hold._replace(last=first - 1))
            if last < hold.last:
                remaining.append(hold._replace(first=last + 1))
        self.holds = remaining


def encode_answer(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Call(method, target, headers, body)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return when the other end has closed the connection, or it has failed."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)
