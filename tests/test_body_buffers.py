"""What a host keeps of large responses that their callers read slowly."""

import asyncio
import gc

import aiohttp
import pytest
from multidict import CIMultiDict

from jacinthpath.gateway.body_memory import PART_BYTES, BodyMemory
from jacinthpath.gateway.body_tracking import TrackedBody
from jacinthpath.gateway.exchange import BodyBroken, CallerRequest
from jacinthpath.gateway.model import Backend
from jacinthpath.platform.servers import ServerClient

HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s.a\r\n\r\n"
SENT_BYTES = 16 * 1024 * 1024
"""More than a host without a known memory holds."""


class LargeServer:
    """Sends a large body without a length, and then nothing, or ends by a reset."""

    def __init__(self):
        self.broken = False

    async def start(self):
        self._listener = await asyncio.start_server(self._respond, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
        self.backend = Backend("s", "x", address, "a", 3, False, 0.0, 1, 1)

    async def _respond(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD.encode() + bytes(SENT_BYTES))
        if self.broken:
            await asyncio.sleep(0.2)
            writer.transport.abort()

    def close(self):
        self._listener.close()


@pytest.fixture
async def server():
    server = LargeServer()
    await server.start()
    yield server
    server.close()


@pytest.fixture
async def client():
    client = ServerClient(BodyMemory())
    await client.start()
    yield client
    await client.close()


async def request_body(client, server, timeout_s=5.0):
    headers = CIMultiDict({"X-Attempt-Id": "a", "Host": "h"})
    now_s = asyncio.get_running_loop().time()
    request = CallerRequest(
        "a", "GET", "h", "/x", "/x", None, now_s, timeout_s, headers, b""
    )
    result = await client.send(request, server.backend, timeout_s)
    return result.response.stream


def buffered_bytes():
    """Return what connections have received and nobody has read."""
    readers = [one for one in gc.get_objects() if type(one) is aiohttp.StreamReader]
    return sum(len(part) for reader in readers for part in reader._buffer)


async def test_body_that_waits_for_room_is_counted(client, server):
    """Guards against buffers of connections that hold more than is counted of them."""
    stream = await request_body(client, server)
    assert await anext(aiter(stream))
    await asyncio.sleep(0.2)
    content = stream._response.content
    assert not client._memory.may_read_ahead(stream._held_bytes)
    assert 0 < sum(map(len, content._buffer)) <= PART_BYTES
    stream.close()
    await asyncio.sleep(0.01)
    assert client._memory.held_bytes == 0


async def take(stream, until):
    """Take a body until it is given up, for want of room or while bytes are awaited."""
    if until == "bytes":
        asyncio.get_running_loop().call_later(0.3, stream.close)
    try:
        async for _part in stream:
            if until == "room":
                await asyncio.sleep(0.2)
                break
    except BodyBroken:
        assert until != "room"
    finally:
        stream.close()


@pytest.mark.parametrize("until", ["room", "bytes", "deadline", "reset"])
async def test_body_that_is_given_up_is_freed_at_once(client, server, until):
    """Guards against 0.6 MB for each slow caller that is reset, kept until the garbage
    collector runs; so hosts exceeded their memory (review/11)."""
    server.broken = until == "reset"
    stream = await request_body(client, server, 0.5 if until == "deadline" else 5.0)
    stream = TrackedBody(stream, lambda _reason: None)
    gc.collect()
    gc.disable()
    try:
        await asyncio.create_task(take(stream, until))
        del stream
        await asyncio.sleep(0.05)
        assert buffered_bytes() == 0
    finally:
        gc.enable()
