import asyncio
import gc
import time
import zlib

import pytest
from hypothesis import given, strategies as st

from jacinthpath import peer_connections, peers
from jacinthpath.codec import MAX_FRAME_BYTES, decompress_frame, new_frame
from jacinthpath.errors import FrameError, PeerUnavailable
from jacinthpath.keyring import KeyRing
from jacinthpath.metrics import Metrics
from jacinthpath.peers import PeerIdentity, PeerPool, PeerServer


async def handle_status(connection, frame):
    response = new_frame()
    response.body.statusAnswer = f"hello {connection.remote.host}"
    return response


async def fail(connection, frame):
    raise RuntimeError("The handler failed.")


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "cluster.key"
    path.write_bytes(b"0123456789abcdef" * 2)
    return path


@pytest.fixture
async def server(key_file):
    metrics = Metrics()
    server = PeerServer(
        PeerIdentity("a", "dc1", "control", "p1"),
        "127.0.0.1:0",
        KeyRing((str(key_file),)),
        {"status": handle_status, "fetch": fail},
        metrics,
    )
    await server.start()
    server.metrics = metrics
    yield server
    await server.close()


def make_pool(path):
    identity = PeerIdentity("b", "dc2", "entry", "p2")
    return PeerPool(identity, KeyRing((str(path),)), {}, Metrics())


def make_status_frame():
    frame = new_frame()
    frame.body.status = None
    return frame


async def test_request_returns_the_response_of_the_handler(server, key_file):
    pool = make_pool(key_file)
    response = await pool.request(server.address, make_status_frame())
    assert response.body.statusAnswer == "hello b"
    await pool.close()


async def test_failed_connection_without_a_waiting_caller_logs_nothing(
    key_file, monkeypatch
):
    """Guards against a traceback in the log for each peer that a caller gave up on."""
    monkeypatch.setattr(peers, "HANDSHAKE_TIMEOUT_S", 0.1)
    unhandled = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: unhandled.append(context))
    silent = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = silent.sockets[0].getsockname()
    pool = make_pool(key_file)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.02):
            await pool.connect(f"{host}:{port}")
    await asyncio.sleep(0.2)
    gc.collect()
    assert unhandled == []
    await pool.close()
    silent.close()


async def test_peer_with_another_key_is_refused(server, tmp_path):
    """A process of another system may connect by mistake."""
    other = tmp_path / "other.key"
    other.write_bytes(b"another key of 16 bytes")
    pool = make_pool(other)
    with pytest.raises(PeerUnavailable):
        await pool.request(server.address, make_status_frame())
    assert server.metrics.total("peer_connections_refused_total") == 1
    await pool.close()


async def test_rotated_key_is_accepted_without_restart(server, key_file, tmp_path):
    new = tmp_path / "new.key"
    new.write_bytes(b"the new key of 16 bytes or more")
    key_file.write_bytes(new.read_bytes())
    pool = make_pool(new)
    assert await pool.request(server.address, make_status_frame())
    await pool.close()


async def test_unhandled_kind_is_refused_and_the_connection_stays_open(
    server, key_file
):
    """In a rolling replacement a newer release sends kinds that are unknown here."""
    pool = make_pool(key_file)
    frame = new_frame()
    frame.body.init("digest")
    with pytest.raises(FrameError):
        await pool.request(server.address, frame)
    assert await pool.request(server.address, make_status_frame())
    assert server.metrics.total("peer_frames_refused_total") == 1
    await pool.close()


async def test_failing_handler_does_not_close_the_connection(server, key_file):
    pool = make_pool(key_file)
    frame = new_frame()
    frame.body.init("fetch")
    with pytest.raises(FrameError):
        await pool.request(server.address, frame)
    assert await pool.request(server.address, make_status_frame())
    await pool.close()


@pytest.mark.parametrize(
    "malformed",
    [b"\xff" * 64, b"\0\0\0\x08" + bytes(24), b"GET / HTTP/1.1\r\n\r\n" * 4],
)
async def test_malformed_bytes_are_refused_and_the_server_keeps_running(
    server, key_file, malformed
):
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(malformed)
    assert await reader.read() == b""
    writer.close()
    pool = make_pool(key_file)
    assert await pool.request(server.address, make_status_frame())
    await pool.close()


async def test_truncated_frame_is_counted_and_the_server_keeps_running(
    server, key_file
):
    """A peer may stop in the middle of sending a frame."""
    pool = make_pool(key_file)
    connection = await pool.connect(server.address)
    connection._writer.write(b"\0\0\0\x40" + bytes(30))
    await connection._writer.drain()
    await connection.close()
    assert await pool.request(server.address, make_status_frame())
    refused = server.metrics.value("peer_frames_refused_total", reason="invalid")
    assert refused == 1
    await pool.close()


async def test_idle_connection_is_closed(server, key_file, monkeypatch):
    """Otherwise each process of a large fleet would be connected to every other one."""
    monkeypatch.setattr("jacinthpath.peers.IDLE_TIMEOUT_S", 0.0)
    monkeypatch.setattr("jacinthpath.peers.IDLE_CHECK_INTERVAL_S", 0.0)
    pool = make_pool(key_file)
    first = await pool.connect(server.address)
    second = await pool.connect(server.address)
    assert first.closed and not second.closed
    await pool.close()


async def test_silent_peer_times_out(key_file):
    async def accept(reader, writer):
        await reader.read()
        writer.close()

    silent = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = silent.sockets[0].getsockname()
    pool = make_pool(key_file)
    started_s = time.monotonic()
    with pytest.raises(PeerUnavailable):
        await pool.request(f"{host}:{port}", make_status_frame(), timeout_s=0.2)
    assert time.monotonic() - started_s < 1.0
    await pool.close()
    silent.close()


async def test_handshake_that_is_cut_short_leaves_no_connection_open(key_file):
    """Its writer was left to the garbage collector, after the event loop had ended."""
    opened, ended = asyncio.Event(), asyncio.Event()

    async def accept(reader, writer):
        opened.set()
        await reader.read()
        ended.set()
        writer.close()

    silent = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = silent.sockets[0].getsockname()
    pool = make_pool(key_file)
    connecting = asyncio.create_task(pool.connect(f"{host}:{port}"))
    await opened.wait()
    gc.disable()
    try:
        held = [*pool._opening.values()]
        await pool.close()
        async with asyncio.timeout(1.0):
            await ended.wait()
        assert held[0].cancelled()
    finally:
        gc.enable()
    await asyncio.gather(connecting, return_exceptions=True)
    silent.close()


LARGE_STATUS = '{"host": "name"}' * 2_000


async def handle_large_status(connection, frame):
    response = new_frame()
    response.body.statusAnswer = LARGE_STATUS
    return response


@pytest.mark.parametrize("release", [2, 3])
async def test_large_frames_are_compressed_for_peers_that_read_them(
    server, key_file, monkeypatch, release
):
    """Documents for all hosts filled the link of a weak leader; earlier builds do not
    read compressed frames."""
    server._handlers["status"] = handle_large_status
    monkeypatch.setattr(peer_connections, "PROTOCOL_RELEASE", release)
    pool = make_pool(key_file)
    response = await pool.request(server.address, make_status_frame())
    assert response.body.statusAnswer == LARGE_STATUS
    (connection,) = server.connections
    is_compressed = connection.bytes_sent < len(LARGE_STATUS) / 4
    assert is_compressed is (release == 3)
    await pool.close()


@given(st.binary(max_size=2_000))
def test_damaged_compressed_frame_raises_the_declared_error(content):
    with pytest.raises(FrameError):
        decompress_frame(content + b"x")


def test_compressed_frame_beyond_the_limit_is_refused():
    """A small frame must not expand to more than a frame may have."""
    with pytest.raises(FrameError):
        decompress_frame(zlib.compress(bytes(MAX_FRAME_BYTES + 1)))
