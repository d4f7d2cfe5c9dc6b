"""Callers that take their responses slowly, or send more than a host can hold."""

import asyncio
import os
import socket
import sys
from pathlib import Path
from unittest.mock import Mock

import aiohttp
import pytest

from jacinthpath.gateway.body_memory import PART_BYTES, BodyMemory
from jacinthpath.gateway.exchange import BodyBroken
from jacinthpath.platform.caller_connections import ConnectionServer
from jacinthpath.platform.response_body import ServerBodyStream
from standins.loopback import address_block
from standins.platform_documents import SETTINGS, configuration, route

from .gateway_system import ROUTES, GatewaySystem, free_port

SOURCES = Path(__file__).parent.parent / "src"
MEMORY_MB = 128
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\n"
DOWNLOAD = route("download", "/download/", "plain", kind="download", timeout="9000ms")
CONFIGURATION = configuration(4, [*ROUTES, DOWNLOAD], max_connections=1_000).replace(
    b'"max_body_bytes": 1000', b'"max_body_bytes": 67108864'
)
START_GATEWAY = """
import sys
from jacinthpath.daemon import run_daemon
from jacinthpath.gateway_composition import build_gateway
sys.exit(run_daemon(build_gateway(sys.argv[1])))
"""
REQUEST = (
    "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
    "X-Request-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n"
)
PADDING_BYTES = 8 * 1024 * 1024
"""More than the buffers of a connection hold."""

BODY_BYTES = PADDING_BYTES + len("answer to p0")
UPLOAD_BYTES = 4 * 1024 * 1024


@pytest.fixture
async def system(tmp_path):
    system = GatewaySystem(tmp_path)
    system.extra_settings = LIMITS
    await system.start(keyed=0)
    system.store.put("op/config", CONFIGURATION)
    await system.wait_until_ready()
    await asyncio.sleep(0.2)
    yield system
    await system.close()


@pytest.fixture
async def process(tmp_path):
    """A gateway in a process of its own, whose memory can be told from the tests'."""
    system = await GatewaySystem(tmp_path).start(keyed=0, gateways=0)
    system.store.put("op/config", CONFIGURATION)
    ports = [free_port() for _ in range(3)]
    path = tmp_path / "gateway.toml"
    # The metrics port is fixed, and another test run may use it.
    ip = f"{address_block()}.1"
    text = SETTINGS.format(
        name="g0", ip=ip, store=system.store.address,
        peer_port=ports[0], front_port=ports[1], ready_port=ports[2],
    )  # fmt: skip
    path.write_text(text + LIMITS)
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-c", START_GATEWAY, str(path),
        stdout=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(SOURCES)},
    )  # fmt: skip
    system.address = f"{ip}:{ports[1]}"
    try:
        await wait_until_ready(system.session, f"http://{ip}:{ports[2]}/-/ready")
        yield system, child.pid
    finally:
        child.kill()
        await child.wait()
        await system.close()


async def wait_until_ready(session, url):
    async with asyncio.timeout(15):
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


def peak_mb(process_id):
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


async def open_caller(address, method, path, attempt, length=0):
    """Send the head of a request, on a connection that buffers little."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=4_096)
    head = REQUEST.format(method=method, path=path, attempt=attempt, length=length)
    writer.write(head.encode())
    return reader, writer


async def send_well_behaved(system, count, path="/read/x"):
    """Return the time of the slowest of some requests one after the other."""
    loop = asyncio.get_running_loop()
    slowest_s = 0.0
    for number in range(count):
        started_s = loop.time()
        headers = {"Host": "h.example", "X-Attempt-Id": f"w{number}"}
        url = f"http://{system.address}{path}"
        async with system.session.get(url, headers=headers) as response:
            assert (response.status, await response.read()) == (
                200,
                f"answer to w{number}".encode(),
            )
        slowest_s = max(slowest_s, loop.time() - started_s)
    return slowest_s


async def test_uploads_that_stop_do_not_exhaust_the_memory(process):
    """Guards against uploads that are held for good: 240 MiB on a host of 128 MiB."""
    system, process_id = process

    async def upload(number):
        reader, writer = await open_caller(
            system.address, "POST", "/order/x", f"u{number}", UPLOAD_BYTES * 3 // 2
        )
        writer.write(bytes(UPLOAD_BYTES))
        try:
            async with asyncio.timeout(3.0):
                return int((await reader.readline()).split()[1])
        except TimeoutError:
            return 0
        except ConnectionError:
            return 503
        finally:
            writer.transport.abort()

    uploads = asyncio.gather(*(upload(number) for number in range(60)))
    await asyncio.sleep(0.5)
    assert await send_well_behaved(system, 50) < 1.0
    statuses = await uploads
    assert set(statuses) == {0, 503}, statuses
    assert peak_mb(process_id) < MEMORY_MB


async def test_downloads_that_nobody_reads_do_not_exhaust_the_memory(process):
    """Guards against unread responses held in full: 320 MiB on a host of 128 MiB."""
    system, process_id = process
    slow, good = system.servers.values()
    system.store.put("servers/p1", good.entry("draining"))
    slow.padding_bytes = PADDING_BYTES
    callers = await asyncio.gather(
        *(
            open_caller(system.address, "GET", "/download/x", f"d{number}")
            for number in range(40)
        )
    )
    for _, writer in callers:
        writer.transport.pause_reading()
    await asyncio.sleep(1.0)
    slow.padding_bytes = 0
    assert await send_well_behaved(system, 50) < 1.0
    await asyncio.sleep(1.0)
    assert peak_mb(process_id) < MEMORY_MB
    for _, writer in callers:
        writer.transport.abort()


ENDLESS_FAULTS = [
    "endless-body",
    "endless-chunks",
    "endless-interim",
    "endless-trailer",
    "endless-head",
    "endless-refusal",
    "endless-error",
]


@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
async def test_bytes_without_end_do_not_exhaust_the_memory(process, fault):
    """Guards against a server whose bytes without end are kept until the host has no
    memory left, which ends the requests of all its callers (report of issue 52)."""
    system, process_id = process
    other = await system.add_server("o0", "other")
    routes = [*ROUTES, DOWNLOAD, route("other", "/other/", "other")]
    system.store.put(
        "op/config", configuration(5, routes, services=("plain", "keys", "other"))
    )
    await asyncio.sleep(1.0)
    faulty, good = [one for one in system.servers.values() if one is not other]
    system.store.put("servers/p1", good.entry("draining"))
    faulty.fault = fault
    callers = await asyncio.gather(
        *(
            open_caller(system.address, "GET", f"/{path}/x", f"{path}{number}")
            for number in range(20)
            for path in ("download", "read", "order")
        )
    )
    # Half of the callers take nothing.
    for _, writer in callers[::2]:
        writer.transport.pause_reading()
    assert await send_well_behaved(system, 100, "/other/x") < 1.0
    await asyncio.sleep(2.0)
    assert await send_well_behaved(system, 50, "/other/x") < 1.0
    assert peak_mb(process_id) < MEMORY_MB
    for _, writer in callers:
        writer.transport.abort()


async def read_with_pause(system, number, pause_s):
    """Read the beginning of a download, then the rest; return how much came."""
    address = system.gateways[0].settings.callers_address
    reader, writer = await open_caller(address, "GET", "/download/x", f"p{number}")
    await reader.readuntil(b"\r\n\r\n")
    size = len(await reader.read(1_000))
    writer.transport.pause_reading()
    await asyncio.sleep(pause_s)
    try:
        writer.transport.resume_reading()
        while size < BODY_BYTES:
            part = await reader.read(65_536)
            if not part:
                break
            size += len(part)
    except ConnectionError:
        pass
    finally:
        writer.close()
    return size


async def test_slow_caller_does_not_leave_its_server_unread(system):
    """Guards against incomplete bodies: servers cut off responses that stay unread."""
    for server in system.servers.values():
        server.padding_bytes, server.max_unread_s = PADDING_BYTES, 1.0
    lengths = await asyncio.gather(
        *(read_with_pause(system, number, 2.0) for number in range(3))
    )
    assert lengths == [BODY_BYTES] * 3
    assert [server.cut_responses for server in system.servers.values()] == [0, 0]
    assert system.gateways[0].listener._memory.held_bytes == 0


async def test_slow_caller_holds_no_place_at_its_server(system):
    """Guards against servers that look busy while their responses are being taken."""
    for server in system.servers.values():
        server.padding_bytes = PADDING_BYTES
    reading = asyncio.ensure_future(read_with_pause(system, 0, 1.0))
    await asyncio.sleep(0.5)
    pool = system.gateways[0]._forwarder._dependencies.pool
    directory = system.gateways[0]._view.directory
    assert [pool.in_flight(b) for b in directory.servers_of("plain")] == [0, 0]
    assert await reading == BODY_BYTES


async def test_caller_that_reads_no_small_responses_is_closed(system, monkeypatch):
    """Guards against a connection that stays for good, with what was not sent on it."""
    monkeypatch.setattr("jacinthpath.platform.callers.CALLER_STALL_TIMEOUT_S", 0.5)
    for server in system.servers.values():
        server.padding_bytes = 60_000
    address = system.gateways[0].settings.callers_address
    _, writer = await open_caller(address, "GET", "/read/x", "n")
    writer.transport.pause_reading()
    head = REQUEST.format(method="GET", path="/read/x", attempt="n", length=0)
    writer.write(head.encode() * 300)
    listener = system.gateways[0].listener
    async with asyncio.timeout(6):
        while not listener._memory.held_bytes:
            await asyncio.sleep(0.05)
        while listener._callers_runner.server.connections:
            await asyncio.sleep(0.05)
    assert listener._memory.held_bytes == 0
    assert system.gateways[0]._metrics.total("callers_closed_total") == 1
    writer.transport.abort()


@pytest.mark.parametrize("bodies", [1, 3, 30])
def test_bodies_that_are_read_ahead_leave_room(bodies):
    """Guards against a large body that leaves no memory for the others."""
    memory = BodyMemory(MEMORY_MB * 1024 * 1024)
    held = [0] * bodies
    for _ in range(1_000):
        for index in range(bodies):
            if memory.may_read_ahead(held[index]):
                memory.add(PART_BYTES)
                held[index] += PART_BYTES
    assert memory.held_bytes <= 0.75 * memory.bound_bytes
    assert memory.may_hold(0, 256 * 1024)
    assert memory.may_read_ahead(0)
    assert max(held) - min(held) <= 2 * PART_BYTES


class EndlessContent:
    """Content of a response that has sent one part and goes on."""

    total_bytes = 5

    def __init__(self, error=None):
        self.parts, self.error = [b"start"], error

    def at_eof(self):
        return False

    async def readany(self):
        if self.parts:
            return self.parts.pop()
        if self.error is not None:
            raise self.error
        await asyncio.Event().wait()


@pytest.mark.parametrize("error", [None, ValueError("unforeseen")])
async def test_body_that_is_given_up_does_not_look_whole(error):
    """Guards against an end of the reading that is taken for the end of the body, as
    when a relay is given up while the other host waits for its next part."""
    memory = BodyMemory()
    response = Mock(content=EndlessContent(error), content_length=None)
    stream = ServerBodyStream(
        response, [], asyncio.get_running_loop().time() + 9, memory
    )
    parts = aiter(stream)
    with pytest.raises(BodyBroken):
        async with asyncio.timeout(1):
            if error is None:
                assert await anext(parts) == b"start"
                asyncio.get_running_loop().call_later(0.01, stream.close)
            while True:
                await anext(parts)
    stream.close()
    assert memory.held_bytes == 0


async def test_slowest_callers_make_room_while_memory_is_short(monkeypatch):
    """Guards against callers that take just enough to hold memory for good, and against
    the loss of all slow callers at once."""
    monkeypatch.setattr("jacinthpath.platform.caller_connections.MEMORY_STALL_S", 0.02)
    memory = BodyMemory()
    server = ConnectionServer(Mock(), memory=memory)
    connections = [server() for _ in range(9)]
    for connection in connections:
        connection.connection_made(Mock())
        connection.transport.get_write_buffer_size.return_value = 40_000
        connection.pause_writing()
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.03)
    assert server.abort_stalled(5.0) == 0
    memory.add(memory.bound_bytes // 2)
    assert memory.is_short is (memory.held_bytes > 0.6 * memory.bound_bytes)
    memory.add(memory.bound_bytes // 5)
    assert server.abort_stalled(5.0) == 2
    assert [c.transport.abort.called for c in connections] == [True] * 2 + [False] * 7
    assert len(server.unread_connections) == 7
    connections[2].resume_writing()
    for connection in connections:
        connection.connection_lost(None)
    assert memory.held_bytes == memory.bound_bytes // 2 + memory.bound_bytes // 5


async def test_caller_that_reads_a_byte_at_a_time_is_closed(system, monkeypatch):
    """Guards against memory that is held after the connection was closed, and against a
    close that looks like the end of a body without a length."""
    monkeypatch.setattr("jacinthpath.platform.callers.CALLER_STALL_TIMEOUT_S", 0.6)
    for server in system.servers.values():
        server.padding_bytes = PADDING_BYTES
    address = system.gateways[0].settings.callers_address
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        connection.setblocking(False)
        await loop.sock_connect(connection, (host, int(port)))
        head = REQUEST.format(method="GET", path="/download/x", attempt="b", length=0)
        await loop.sock_sendall(connection, head.encode())
        listener = system.gateways[0].listener
        async with asyncio.timeout(8):
            await loop.sock_recv(connection, 1)
            while listener._callers_runner.server.connections:
                await loop.sock_recv(connection, 1)
                await asyncio.sleep(0.05)
            size = 0
            with pytest.raises(ConnectionResetError):
                while part := await loop.sock_recv(connection, 65_536):
                    size += len(part)
    assert size < PADDING_BYTES
    assert system.gateways[0].listener._memory.held_bytes == 0
