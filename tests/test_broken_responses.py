"""Responses that end early, at every byte: none looks whole.

Report 2 of issue 37: a server stopped in the middle of a response's head and closed,
and callers got a 200 with an empty or short body.
"""

import asyncio
import socket
import struct

import pytest
from multidict import CIMultiDict

from jacinthpath.gateway.body_memory import BodyMemory
from jacinthpath.gateway.exchange import BodyBroken, CallerRequest, Outcome
from jacinthpath.gateway.model import Backend
from jacinthpath.platform.servers import ServerClient

BODY = b"the body"
START = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: a\r\n"
FORMS = {
    "length": START + b"Content-Length: 8\r\nServer: x\r\n\r\n" + BODY,
    "length-first": b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\nX-Attempt-Id: a\r\n"
    b"X-Server-Signature: s\r\n\r\n" + BODY,
    "chunked": START
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n5;x=y\r\n body\r\n"
    b"0\r\n\r\n",
    "trailers": START
    + b"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n8\r\nthe body\r\n"
    b"0\r\nT: 1\r\n\r\n",
    "until-close": START + b"Server: x\r\n\r\n" + BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    + START
    + b"Content-Length: 8\r\n\r\n"
    + BODY,
    "empty": START + b"Content-Length: 0\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nX-Server-Signature: s\r\n"
    b"X-Attempt-Id: a\r\n\r\n",
}
WHOLE_BODY = {name: BODY for name in FORMS} | {"empty": b"", "no-content": b""}


class CuttingServer:
    """Sends part of a response and ends the connection, by a close or a reset."""

    def __init__(self):
        self.response, self.resets, self.split_at = b"", False, 0
        self.earlier_response = b""

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.earlier_response:
                writer.write(self.earlier_response)
                await reader.readuntil(b"\r\n\r\n")
            writer.write(self.response[: self.split_at])
            await writer.drain()
            if self.split_at:
                await asyncio.sleep(0.001)
            writer.write(self.response[self.split_at :])
            await writer.drain()
            if self.resets:
                await asyncio.sleep(0.003)
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class NoMemory(BodyMemory):
    """Lets every body be streamed as it arrives."""

    def may_hold(self, _held_bytes, _next_bytes):
        return False


@pytest.fixture(params=[BodyMemory, NoMemory], ids=["held", "streamed"])
async def connected(request):
    """A client and the server that it sends to."""
    server = CuttingServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()[:2]
    backend = Backend("s", "x", f"{host}:{port}", "a", 3, False, 0.0, 1, 1)
    client = ServerClient(request.param())
    await client.start()
    yield client, server, backend
    await client.close()
    listener.close()


async def read_result(client, backend, attempt="a"):
    """Return the outcome and the body, which may end with an error."""
    loop = asyncio.get_running_loop()
    headers = CIMultiDict({"X-Attempt-Id": attempt, "Host": "h"})
    request = CallerRequest(
        attempt, "GET", "h", "/x", "/x", None, loop.time(), 1.0, headers, b""
    )
    result = await client.send(request, backend, 1.0)
    if result.response is None:
        return result.outcome, None
    if result.response.stream is None:
        return result.outcome, result.response.body
    try:
        parts = [part async for part in result.response.stream]
    except BodyBroken:
        return Outcome.BROKEN, None
    finally:
        result.response.stream.close()
    return result.outcome, b"".join(parts)


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("form", FORMS)
async def test_response_cut_at_any_byte_does_not_look_whole(connected, form, resets):
    client, server, backend = connected
    server.resets = resets
    whole = FORMS[form]
    head_length = whole.rindex(b"X-Attempt-Id")
    head_length = whole.index(b"\r\n\r\n", head_length) + 4
    for length in range(len(whole)):
        server.response = whole[:length]
        server.split_at = length // 2
        outcome, body = await read_result(client, backend)
        if form == "until-close" and not resets and length >= head_length:
            # A close ends such a body, so that what has arrived is the whole.
            assert body == whole[head_length:length]
            continue
        assert outcome is Outcome.BROKEN, (length, whole[:length], body)
        assert body is None


@pytest.mark.parametrize("form", [name for name in FORMS if name != "until-close"])
async def test_whole_response_is_returned(connected, form):
    client, server, backend = connected
    server.response = FORMS[form]
    for server.split_at in range(0, len(FORMS[form]), 3):
        outcome, body = await read_result(client, backend)
        assert (outcome, body) == (Outcome.ANSWERED, WHOLE_BODY[form])


@pytest.mark.parametrize("form", ["length", "chunked"])
async def test_response_cut_on_a_kept_connection_does_not_look_whole(connected, form):
    client, server, backend = connected
    server.earlier_response = FORMS["length"].replace(b"Id: a", b"Id: earlier")
    for length in range(len(FORMS[form])):
        server.response = FORMS[form][:length]
        outcome, _ = await read_result(client, backend, "earlier")
        assert outcome is Outcome.ANSWERED
        outcome, body = await read_result(client, backend)
        assert (outcome, body) == (Outcome.BROKEN, None), length
