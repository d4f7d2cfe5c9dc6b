import asyncio

import aiohttp
import pytest
from multidict import CIMultiDict

from jacinthpath.endpoints import EndpointClient
from jacinthpath.exchange import AttemptOutcome, HttpExchange


class ScriptedEndpoint:
    """Endpoint that sends the next scripted response to each request.

    ``None`` closes the connection without a response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = 0
        self.last_head = b""
        self.server = None

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def serve(self, reader, writer):
        while True:
            try:
                self.last_head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests += 1
            response = self.responses.pop(0)
            if response is None:
                break
            writer.write(response)
            await writer.drain()
        writer.close()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def make_exchange(method="GET"):
    request = HttpExchange()
    request.method = method
    request.path = "/work"
    request.headers = CIMultiDict()
    request.body = request.stream = None
    request.deadline_s = asyncio.get_running_loop().time() + 5
    return request


async def fail_on_stream(response, headers):
    raise AssertionError("a short response must be buffered, not streamed")


@pytest.fixture
async def client():
    client = EndpointClient()
    await client.start()
    yield client
    await client.close()


async def send(client, endpoint, method="GET"):
    return await client.attempt(
        make_exchange(method), "s1", endpoint.address, 0, "", fail_on_stream
    )


async def test_http_client_retries_by_default():
    """Demonstrates the fault that the next test guards against."""
    async with ScriptedEndpoint(OK, None, OK) as endpoint:
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                async with session.get(f"http://{endpoint.address}/") as response:
                    await response.read()
        assert endpoint.requests == 3


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_broken_keep_alive_connection_is_not_retried(client, method):
    """Guards against a second execution through an automatic retry of aiohttp."""
    async with ScriptedEndpoint(OK, None, OK) as endpoint:
        assert (await send(client, endpoint, method)).status == 200
        attempt = await send(client, endpoint, method)
        assert attempt.outcome is AttemptOutcome.UNKNOWN
        assert endpoint.requests == 2


async def test_empty_query_is_kept(client):
    """Guards against a target that is changed on its way."""
    exchange = make_exchange()
    exchange.path = "/work?"
    async with ScriptedEndpoint(OK) as endpoint:
        await client.attempt(exchange, "s1", endpoint.address, 0, "", fail_on_stream)
        assert endpoint.last_head.startswith(b"GET /work? HTTP/1.1\r\n")


async def test_refused_connection_has_outcome_not_run(client):
    async with ScriptedEndpoint() as endpoint:
        address = endpoint.address
    endpoint.address = address
    attempt = await send(client, endpoint)
    assert attempt.outcome is AttemptOutcome.NOT_RUN
    assert attempt.reason == "endpoint-unreachable"


RESPONSES = {
    "not owner": (b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", "not-run"),
    "explicit refusal": (
        b"HTTP/1.1 503 No\r\njacinthpath-not-run: 1\r\nContent-Length: 0\r\n\r\n",
        "not-run",
    ),
    "plain 503": (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "answered"),
    "no end": (b"HTTP/1.1 200 OK\r\n\r\nhalf", "unknown"),
    "not HTTP": (b"garbage\r\n\r\n", "unknown"),
}


@pytest.mark.parametrize("name", RESPONSES)
async def test_outcome_of_a_response(client, name):
    """Guards against "not run" for a 503 without the header field that says so."""
    response, outcome = RESPONSES[name]
    async with ScriptedEndpoint(response) as endpoint:
        assert (await send(client, endpoint)).outcome.value == outcome
