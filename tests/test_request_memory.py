"""What a host holds of the bodies of requests."""

import asyncio
import gc

import pytest
from multidict import CIMultiDict

from jacinthpath.gateway.body_memory import BodyMemory
from jacinthpath.gateway.exchange import CallerRequest
from jacinthpath.gateway.model import Backend
from jacinthpath.platform.servers import ServerClient
from jacinthpath.platform.uploads import UploadReader

from .gateway_system import GatewaySystem

BODY_BYTES = 16 * 1024 * 1024


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start()
    await system.wait_until_ready()
    yield system
    await system.close()


@pytest.mark.parametrize("fault", ["", "overloaded", "no-response", "truncated"])
@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/keyed/x"])
async def test_body_is_freed_with_its_request(system, monkeypatch, path, fault):
    """Guards against bodies that stay in memory, uncounted, until a garbage collection
    of the oldest generation, or as long as a connection to a server (review/6)."""
    freed = []

    class Body(bytes):
        def __del__(self):
            freed.append(True)

    read_parts = UploadReader._read_parts

    async def read_traced(*args):
        return Body(await read_parts(*args))

    monkeypatch.setattr(UploadReader, "_read_parts", read_traced)
    for server in system.servers.values():
        server.fault = fault
    gc.collect()
    gc.disable()
    try:
        await system.send(path, "n1", method="POST", data=b"body", key=7)
        async with asyncio.timeout(1.0):
            while not freed:
                await asyncio.sleep(0.01)
    finally:
        gc.enable()


async def test_body_is_held_once_while_its_server_reads_slowly():
    """Guards against a body that is there again in the buffer of its connection."""
    left_unread = []

    async def leave_unread(reader, writer):
        left_unread.append((reader, writer))

    listener = await asyncio.start_server(leave_unread, "127.0.0.1", 0, limit=4_096)
    host, port = listener.sockets[0].getsockname()[:2]
    client = ServerClient(BodyMemory())
    await client.start()
    headers = CIMultiDict({"X-Attempt-Id": "a", "Host": "h"})
    now_s = asyncio.get_running_loop().time()
    request = CallerRequest(
        "a", "POST", "h", "/x", "/x", None, now_s, 2.0, headers, bytes(BODY_BYTES)
    )
    backend = Backend("s", "x", f"{host}:{port}", "a", 3, False, 0.0, 1, 1)
    sending = asyncio.create_task(client.send(request, backend, 2.0))
    await asyncio.sleep(0.5)
    (protocol,) = client._session.connector._acquired
    assert protocol.transport.get_write_buffer_size() < 256 * 1024
    sending.cancel()
    await asyncio.wait({sending})
    await client.close()
    for _, writer in left_unread:
        writer.transport.abort()
    listener.close()
