"""Real gateways on loopback addresses, with a store, servers and clients around them.

The store is the project's own stand-in. The servers and the clients are written here:
they work on raw streams, so that a case decides on every byte that they send. All
stand-ins run in the process of the script; each gateway is a process of its own that is
started by the command of the deploy file.
"""

from __future__ import annotations

__all__ = [
    "Answer",
    "Connection",
    "Deployment",
    "KeyedServer",
    "Reply",
    "Request",
    "Server",
    "is_troubled",
    "read_request",
    "run_case",
]

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from standins.loopback import address_block
from standins.platform_documents import (
    CONFIGURATION_KEY,
    HOST,
    SETTINGS,
    configuration,
)
from standins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parent.parent
ROLE = "gateway"
HEARTBEAT_S = 0.5
READY_TIMEOUT_S = 20.0
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
NO_BODY_STATUSES = frozenset({204, 304})

LIMITS = """
[limits]
cpu_share = 0.86
cpu_cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
"""


def is_troubled() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Request(NamedTuple):
    """A request as a server has read it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The client's identifier of the attempt."""
        return self.fields.get("x-attempt-id", "")


class Answer(NamedTuple):
    """What a server answers.

    :param executed: whether the server has begun to work on the request. One that it
        has not run says so.
    """

    status: int
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()
    executed: bool = True


class Reply(NamedTuple):
    """What a client has received; the status is 0 without a whole response."""

    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def is_from_server(self) -> bool:
        """Whether a server has signed the response."""
        return "x-server-signature" in self.fields


class Server:
    """A server without keys: runs requests, answers health checks, writes heartbeats.

    :ivar executed: requests that it has begun to work on.
    :ivar state: what its entry says, "ready" or "draining".
    """

    def __init__(self, name: str, service: str, work_s: float = 0.02) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.executed: list[Request] = []
        self.address = ""
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for writer in [*self._writers]:
            writer.close()

    def entry(self) -> bytes:
        """Return what the server writes to the store at a heartbeat."""
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": "a", "slots": 3}
        status = {"state": self.state, "sequence": self._sequence, "warmup_left": "0ms"}
        entry = {"info": info, "status": status}
        entry.update(address=self.address, born=self.born_ms)
        return json.dumps(entry).encode()

    async def answer(self, request: Request) -> Answer:
        """Run a request; cases replace this."""
        self.executed.append(request)
        await asyncio.sleep(self.work_s)
        return Answer(200, f"answer to {request.attempt}".encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(self._encode(request, await self._respond(request)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, request: Request) -> Answer:
        expected = request.fields.get("x-expected-instance", self.name)
        if expected != self.name:
            return Answer(421, executed=False)
        if request.target == "/health":
            return Answer(200)
        return await self.answer(request)

    def _encode(self, request: Request, answer: Answer) -> bytes:
        lines = [f"HTTP/1.1 {answer.status} Status", f"X-Instance-Id: {self.name}"]
        if request.attempt:
            lines.append(f"X-Attempt-Id: {request.attempt}")
        if answer.executed:
            lines.append(f"X-Server-Signature: {self.name}.{request.attempt}")
        else:
            lines.append("X-Not-Executed: 1")
        lines += [f"{name}: {value}" for name, value in answer.fields]
        lines += [f"Content-Length: {len(answer.body)}", "", ""]
        return "\r\n".join(lines).encode() + answer.body


class Hold(NamedTuple):
    """Keys that a server has been granted.

    :param until_s: end of the hold on the monotonic clock.
    """

    first: int
    last: int
    fence: int
    since_s: float
    until_s: float


class KeyedServer(Server):
    """A server that runs requests for the keys that it has been granted.

    :ivar holds: what it holds or has held. A grant that is renewed is several holds,
        each of which begins when the one before ends.
    """

    def __init__(self, name: str, service: str, work_s: float = 0.02) -> None:
        super().__init__(name, service, work_s)
        self.holds: list[Hold] = []
        self._fences: list[tuple[int, int, int]] = []

    def held_at(self, key: int, at_s: float) -> Hold | None:
        """Return the hold of a key at a time, if there is one."""
        for hold in self.holds:
            if hold.first <= key <= hold.last and hold.since_s <= at_s < hold.until_s:
                return hold
        return None

    def spans(self, key: int) -> list[tuple[float, float]]:
        """Return the times in which a key is held, without gaps inside each."""
        spans: list[tuple[float, float]] = []
        for hold in sorted(self.holds, key=lambda one: one.since_s):
            if not hold.first <= key <= hold.last:
                continue
            if spans and hold.since_s <= spans[-1][1]:
                spans[-1] = spans[-1][0], max(spans[-1][1], hold.until_s)
            else:
                spans.append((hold.since_s, hold.until_s))
        return spans

    async def _respond(self, request: Request) -> Answer:
        expected = request.fields.get("x-expected-instance", self.name)
        if expected == self.name and request.target in ("/-/grant", "/-/release"):
            return self._obey(request.target, json.loads(request.body))
        return await super()._respond(request)

    async def answer(self, request: Request) -> Answer:
        """Run a request for a key that is held; reject one for another key."""
        key = int(request.fields["x-shard-key"])
        if self.held_at(key, time.monotonic()) is None:
            return Answer(421, executed=False)
        return await super().answer(request)

    def _obey(self, target: str, command: dict[str, Any]) -> Answer:
        first, last, fence = command["from"], command["to"], command["fence"]
        if target == "/-/grant" and self._highest_fence(first, last) > fence:
            return Answer(409)
        now_s = time.monotonic()
        self._end_holds(first, last, now_s)
        self._fences.append((first, last, fence))
        if target == "/-/release":
            return Answer(200, fields=(("X-Handover", f"handover-{self.name}"),))
        hold_s = float(command["hold_time"].removesuffix("ms")) / 1000
        self.holds.append(Hold(first, last, fence, now_s, now_s + hold_s))
        return Answer(200)

    def _highest_fence(self, first: int, last: int) -> int:
        fences = [one[2] for one in self._fences if one[0] <= last and first <= one[1]]
        return max(fences, default=0)

    def _end_holds(self, first: int, last: int, now_s: float) -> None:
        """End what is held of some keys; the other keys of a hold stay held."""
        kept = []
        for hold in self.holds:
            if hold.until_s <= now_s or hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(hold._replace(last=first - 1))
            if last < hold.last:
                kept.append(hold._replace(first=last + 1))
            middle = hold._replace(
                first=max(first, hold.first), last=min(last, hold.last), until_s=now_s
            )
            kept.append(middle)
        self.holds = kept


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def ask(
        self,
        method: str,
        target: str,
        attempt: str,
        deadline_ms: int = 1_000,
        body: bytes = b"",
        fields: Sequence[tuple[str, str]] = (),
    ) -> Reply:
        """Send a request and return what comes back until its deadline."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"X-Attempt-Id: {attempt}", f"X-Request-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    await self.open()
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                return await _read_reply(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return Reply(0, {}, b"")


class _Gateway:
    """One gateway process."""

    def __init__(self, index: int, folder: Path, store_address: str) -> None:
        self.name = f"g{index}"
        self.ip = f"{address_block()}.{index + 1}"
        front_port, ready_port, peer_port = _free_ports(self.ip, 3)
        self.address = f"{self.ip}:{front_port}"
        self._ready_address = f"{self.ip}:{ready_port}"
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            front_port=front_port,
            ready_port=ready_port,
            peer_port=peer_port,
            store=store_address,
        )
        self._content = settings + LIMITS
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process by the command of the deploy file.

        :param bootstrap: whether the whole system starts for the first time.
        """
        setting = f"bootstrap = {'true' if bootstrap else 'false'}\n"
        self._settings.write_text(setting + self._content)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][ROLE]["run"].split(" ")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "JACINTHPATH_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kill the process, also a stopped one."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check of the platform gets a 200."""
        connection = Connection(self._ready_address)
        reply = await connection.ask("GET", "/-/ready", "", 500)
        await connection.close()
        return reply.status == 200


class Deployment:
    """A store, servers and gateways; an asynchronous context manager.

    :param routes: rows of the operator's table of routes.
    :param services: names of the services.
    :param keyed: those of them that are divided by key.
    """

    def __init__(
        self,
        record: Callable[[str], None],
        servers: Sequence[Server],
        routes: Sequence[list[Any]],
        services: Sequence[str],
        keyed: Sequence[str] = (),
        gateways: int = 2,
    ) -> None:
        self.record = record
        self.servers = [*servers]
        self.store = PlatformStoreStandIn("127.0.0.1:0")
        self.gateways: list[_Gateway] = []
        self._routes, self._services, self._keyed = routes, services, keyed
        self._gateway_count = gateways
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._heartbeats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Deployment:
        """Start everything, and wait until all gateways are ready."""
        await self.store.start()
        self.put_configuration()
        for server in self.servers:
            await server.start()
        self.put_entries()
        self._heartbeats = asyncio.create_task(self._beat())
        for index in range(self._gateway_count):
            gateway = _Gateway(index, Path(self._folder.name), self.store.address)
            self.gateways.append(gateway)
            await gateway.start(bootstrap=True)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all([await one.is_ready() for one in self.gateways]):
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")
        return self

    async def __aexit__(self, *_details: object) -> None:
        """End everything that was started."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        for server in self.servers:
            await server.close()
        await self.store.close()
        self._folder.cleanup()

    async def add_server(self, server: Server) -> None:
        """Start another server, which writes its entry at once."""
        await server.start()
        self.servers.append(server)
        self.put_entries()

    async def drain_server(self, server: Server, drain_s: float) -> None:
        """Let a server drain, serve on for a time and end."""
        server.state = "draining"
        self.store.put(f"servers/{server.name}", server.entry())
        await asyncio.sleep(drain_s)
        self.servers.remove(server)
        self.store.delete(f"servers/{server.name}")
        await server.close()

    def put_configuration(self) -> None:
        """Write the configuration, as the operator does."""
        content = configuration(
            2, self._routes, keyed=self._keyed, services=self._services
        )
        self.store.put(CONFIGURATION_KEY, content)

    def put_entries(self) -> None:
        """Write the entries of all servers, as each does at its heartbeat."""
        for server in self.servers:
            self.store.put(f"servers/{server.name}", server.entry())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.mode == "up":
                self.put_entries()


def run_case(
    folder: Path, case: Callable[[Callable[[str], None]], Awaitable[bool]]
) -> None:
    """Run a case and end the process with the exit status that the review defines.

    :param case: gets a function that writes a line of the record; returns whether the
        rule was broken.
    """
    started_s = time.monotonic()
    with (folder / "record.txt").open("w") as record_file:

        def record(line: str) -> None:
            record_file.write(f"{time.monotonic() - started_s:8.3f} s  {line}\n")
            record_file.flush()

        record(f"disruption: {'yes' if is_troubled() else 'no'}")
        try:
            is_broken = asyncio.run(_run_until_signal(case(record)))
        except Exception as error:
            record(f"the case could not run: {error!r}")
            sys.exit(EXIT_NOT_RUN)
        record("the rule was broken" if is_broken else "the rule held")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)


async def _run_until_signal(case: Awaitable[bool]) -> bool:
    """Run a case; a signal ends it, and with it the processes that it has started."""
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise RuntimeError("The case was ended by a signal.") from None


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request on a connection, ``None`` at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, fields = head
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Request(method, target, fields, body)


async def _read_reply(reader: asyncio.StreamReader) -> Reply:
    head = await _read_head(reader)
    if head is None:
        return Reply(0, {}, b"")
    first, fields = head
    status = int(first.split(" ")[1])
    if status in NO_BODY_STATUSES:
        return Reply(status, fields, b"")
    if fields.get("transfer-encoding") == "chunked":
        return Reply(status, fields, await _read_chunks(reader))
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Reply(status, fields, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def _free_ports(ip: str, count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
