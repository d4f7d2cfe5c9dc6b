"""Grants and releases at servers that answer twice, or without end."""

import asyncio

import pytest

from jacinthpath.gateway import clock
from jacinthpath.gateway.server_commands import (
    CommandResult,
    GrantCommand,
    ReleaseCommand,
)
from jacinthpath.platform import CommandClient, server_commands

GRANT = GrantCommand(0, 9, 5, 2.0)
RELEASE = ReleaseCommand(0, 9, 6)
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nX-Handover: h\r\nContent-Length: 0\r\n\r\n"
FENCED = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
NOT_THIS_SERVER = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


class ScriptedServer:
    """Answers each command with the next bytes of a script; empty ones are no answer.

    :ivar received: path and connection number of each command.
    """

    def __init__(self, script):
        self.script = [*script]
        self.received = []
        self.connections = 0
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
                await reader.readexactly(int(length))
                self.received.append((head.split(b" ")[1].decode(), number))
                answer = self.script.pop(0)
                if callable(answer):
                    await answer(writer)
                else:
                    writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass


@pytest.fixture
async def run_commands():
    """Run commands at a server with a script; return results and the server."""
    client = CommandClient()
    await client.start()
    servers = []

    async def run(script, *commands, pause_s=0.0):
        server = ScriptedServer(script)
        servers.append(server)
        address = await server.start()
        results = []
        for command in commands:
            send = client.grant if command is GRANT else client.release
            response = await send("s", address, command, 0.4)
            results.append(response.result)
            await asyncio.sleep(pause_s)
        return results, server

    yield run
    await client.close()
    for server in servers:
        await server.close()


async def test_second_answer_to_a_grant_ends_no_release(run_commands):
    """Review 1: it passed for the answer to a release; two servers held the keys."""

    async def answer_twice(writer):
        writer.write(DONE)
        await asyncio.sleep(0.05)
        writer.write(DONE)

    results, server = await run_commands([answer_twice, b""], GRANT, RELEASE)
    assert results == [CommandResult.DONE, CommandResult.UNKNOWN]
    assert server.received == [("/-/grant", 1), ("/-/release", 2)]


async def test_second_answer_to_a_release_ends_no_other(run_commands):
    script = [RELEASED, RELEASED, b""]
    results, server = await run_commands(script, RELEASE, RELEASE, RELEASE)
    assert results == [CommandResult.DONE, CommandResult.DONE, CommandResult.UNKNOWN]
    assert [number for _, number in server.received] == [1, 2, 3]


@pytest.mark.parametrize("refusal", [FENCED, NOT_THIS_SERVER])
async def test_second_refusal_of_a_grant_is_no_refusal_of_the_next(
    run_commands, refusal
):
    """A leader that takes a grant for refused moves the keys while they are held."""
    script = [refusal, refusal, refusal + DONE, DONE]
    results, _ = await run_commands(script, GRANT, GRANT)
    assert results[0] is not CommandResult.DONE
    assert results[1] is CommandResult.DONE


async def test_refusal_is_believed_on_a_connection_of_its_own(run_commands):
    script = [DONE, FENCED, FENCED]
    results, server = await run_commands(script, GRANT, GRANT)
    assert results == [CommandResult.DONE, CommandResult.FENCED]
    assert [number for _, number in server.received] == [1, 1, 2]


async def test_renewals_share_a_connection(run_commands):
    results, server = await run_commands([DONE] * 5, *[GRANT] * 5)
    assert results == [CommandResult.DONE] * 5
    assert server.connections == 1


async def test_bytes_without_a_command_close_the_connection(run_commands):
    async def answer_twice(writer):
        writer.write(DONE)
        await asyncio.sleep(0.02)
        writer.write(FENCED)

    script = [answer_twice, DONE]
    results, server = await run_commands(script, GRANT, GRANT, pause_s=0.1)
    assert results == [CommandResult.DONE] * 2
    assert server.connections == 2


@pytest.mark.parametrize("command", [GRANT, RELEASE])
async def test_answer_without_end_is_read_to_a_bound(run_commands, command):
    """Review 4: answers to releases were read without a bound."""
    sent_bytes = 0

    async def send_without_end(writer):
        nonlocal sent_bytes
        writer.write(b"HTTP/1.1 200 OK\r\nX-Handover: h\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"x" * 65_536)
            await writer.drain()
            sent_bytes += 65_536

    results, _ = await run_commands([send_without_end], command)
    assert results == [CommandResult.UNKNOWN]
    assert sent_bytes < 16 * 1024 * 1024


@pytest.mark.parametrize("kind", ["grant", "release"])
async def test_command_whose_time_ended_before_its_sending_is_not_sent(
    kind, monkeypatch
):
    """A leader that was suspended while a connection opened sent its grant after the
    successor had moved the keys (issue 40)."""
    server = ScriptedServer([DONE, DONE])
    address = await server.start()
    client = CommandClient()
    await client.start()
    began_s = clock.boottime_s()
    suspended = iter([0.0, 5.0, 5.0])
    monkeypatch.setattr(
        server_commands, "boottime_s", lambda: began_s + next(suspended)
    )
    command = GRANT if kind == "grant" else RELEASE
    response = await getattr(client, kind)("s", address, command, 2.5)
    assert response.result is CommandResult.NOT_RUN
    assert server.received == []
    await client.close()
    await server.close()
