"""Earlier refusals that a faulty server writes once more on a kept connection.

Report 1 of issue 37: callers were told "not run, try again" for requests that a server
had run or was running.
"""

import asyncio
from random import Random

import pytest
from multidict import CIMultiDict

from jacinthpath.gateway.body_memory import BodyMemory
from jacinthpath.gateway.exchange import CallerRequest, Outcome
from jacinthpath.gateway.model import Backend
from jacinthpath.platform.servers import ServerClient

CALLERS = 6
REQUESTS_PER_CALLER = 40
MAX_DELAY_S = 0.02


class RepeatingServer:
    """Refuses some requests, and writes some refusals once more, at once or late.

    :ivar executed: attempt ids of the requests that it has begun to execute.
    """

    def __init__(self, random):
        self.random = random
        self.executed = []
        self.copies = 0

    async def serve(self, reader, writer):
        refusal = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                attempt = head.partition("x-attempt-id: ")[2].partition("\r\n")[0]
                if refusal and self.random.random() < 0.4:
                    self._write_copy(writer, refusal)
                if "get /health" in head:
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                elif self.random.random() < 0.4:
                    refusal = self._refuse(attempt)
                    writer.write(refusal)
                    if self.random.random() < 0.5:
                        self._write_copy_later(writer, refusal)
                else:
                    self.executed.append(attempt)
                    await asyncio.sleep(self.random.uniform(0, MAX_DELAY_S))
                    writer.write(_success(attempt))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _refuse(self, attempt):
        identity = f"X-Attempt-Id: {attempt}\r\n" if self.random.random() < 0.6 else ""
        return (
            f"HTTP/1.1 503 Busy\r\n{identity}X-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    def _write_copy(self, writer, refusal):
        self.copies += 1
        if not writer.is_closing():
            writer.write(refusal)

    def _write_copy_later(self, writer, refusal):
        delay_s = self.random.uniform(0, MAX_DELAY_S)
        asyncio.get_running_loop().call_later(
            delay_s, self._write_copy, writer, refusal
        )


def _success(attempt):
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


async def send_with_retries(client, backend, attempt, random):
    """Send a request that is no further sent once it may have run."""
    loop = asyncio.get_running_loop()
    headers = CIMultiDict({"X-Attempt-Id": attempt, "Host": "h"})
    request = CallerRequest(
        attempt, "POST", "h", "/x", "/x", None, loop.time(), 1.0, headers, b"body"
    )
    for _ in range(3):
        if random.random() < 0.1:
            await client.responds(backend, "/health")
        result = await client.send(request, backend, 1.0)
        if result.outcome is not Outcome.REFUSED:
            break
    return result.outcome


@pytest.mark.parametrize("seed", range(4))
async def test_no_request_that_runs_is_taken_for_refused(seed):
    random = Random(seed)
    server = RepeatingServer(random)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()[:2]
    backend = Backend("s", "x", f"{host}:{port}", "a", 3, False, 0.0, 1, 1)
    client = ServerClient(BodyMemory())
    await client.start()
    outcomes = {}

    async def send_all(caller):
        for number in range(REQUESTS_PER_CALLER):
            attempt = f"c{caller}-{number}"
            outcomes[attempt] = await send_with_retries(
                client, backend, attempt, random
            )

    await asyncio.gather(*(send_all(caller) for caller in range(CALLERS)))
    await client.close()
    listener.close()
    assert server.copies > CALLERS * REQUESTS_PER_CALLER / 10
    assert len(set(server.executed)) == len(server.executed)
    refused = {a for a, outcome in outcomes.items() if outcome is Outcome.REFUSED}
    assert refused
    assert not refused & set(server.executed)
