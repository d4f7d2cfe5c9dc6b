"""Sends commands to servers: grants and releases of ranges of keys."""

from __future__ import annotations

__all__ = ["CommandClient"]

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp

from ..gateway.clock import boottime_s
from ..gateway.exchange import NotSent
from ..gateway.server_commands import (
    CommandResponse,
    CommandResult,
    GrantCommand,
    ReleaseCommand,
)
from ..gateway.sockets import OpenSocket, open_reset_on_close_socket
from .headers import EXPECTED_SERVER, HANDOVER
from .http import open_session
from .send_check import CheckedRequest, checking_before_sending
from .server_connections import ServerConnector
from .values import format_duration

CONNECT_TIMEOUT_S = 0.4
KEEPALIVE_TIMEOUT_S = 8.0
MAX_RESPONSE_BYTES = 64 * 1024

_RESULT_BY_STATUS = {
    200: CommandResult.DONE,
    409: CommandResult.FENCED,
    421: CommandResult.NOT_RUN,
}


class _Call(NamedTuple):
    """A command as it is sent to a server."""

    server: str
    address: str
    path: str
    body: dict[str, Any]


class _Deadline(NamedTuple):
    """When a command is given up, on the clock of the loop and on the boot clock.

    The first one stops while the host is suspended. A command that were sent after that
    could arrive when another leader has moved the keys.
    """

    loop_s: float
    boot_s: float

    @classmethod
    def after(cls, timeout_s: float) -> _Deadline:
        """Return the deadline of a command that is decided on now."""
        loop_s = asyncio.get_running_loop().time()
        return cls(loop_s + timeout_s, boottime_s() + timeout_s)

    def check(self, _fields: object) -> None:
        """Check just before a command is sent whether it still may be.

        :raises NotSent: its time has ended.
        """
        loop_s = asyncio.get_running_loop().time()
        if loop_s > self.loop_s or boottime_s() > self.boot_s:
            raise NotSent("Its time ended before it was sent.")


class CommandClient:
    """Sends grants and releases to servers.

    The connection is reset when a command is given up, so the end of the call bounds
    the time at which the command can arrive.

    A faulty server may send the response to an earlier command once more, and nothing
    in it tells the two apart. So a release, and a refusal of a grant, count only on a
    connection of their own. Renewals, which are many, share connections: a response to
    an earlier grant that passes for one of theirs only makes the leader wait longer
    before it moves the keys.

    :param open_socket: opens the socket of a connection to an ``addrinfo`` tuple.
    """

    def __init__(self, open_socket: OpenSocket = open_reset_on_close_socket) -> None:
        self._open_socket = open_socket
        self._shared: aiohttp.ClientSession | None = None
        self._separate: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP sessions."""
        self._shared = self._open_session(keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self._separate = self._open_session(force_close=True)

    def _open_session(self, **options: Any) -> aiohttp.ClientSession:
        connector = ServerConnector(
            limit=0, socket_factory=self._open_socket, identified=False, **options
        )
        return open_session(connector, CONNECT_TIMEOUT_S, request_class=CheckedRequest)

    async def close(self) -> None:
        """Close the HTTP sessions."""
        for session in (self._shared, self._separate):
            if session is not None:
                await session.close()
        self._shared = self._separate = None

    async def grant(
        self, server: str, address: str, command: GrantCommand, timeout_s: float
    ) -> CommandResponse:
        """Grant a range of keys, or renew the grant."""
        body = {
            "from": command.first,
            "to": command.last,
            "fence": command.fence,
            "hold_time": format_duration(command.hold_s),
        }
        if command.handover:
            body["handover"] = command.handover
        call = _Call(server, address, "/-/grant", body)
        deadline = _Deadline.after(timeout_s)
        response = await self._send(self._shared, call, deadline)
        if not response.responded or response.result is CommandResult.DONE:
            return response
        confirmed = await self._send(self._separate, call, deadline)
        if confirmed.responded:
            return confirmed
        # The first response may have been to an earlier grant, and this one executed.
        return confirmed._replace(result=CommandResult.UNKNOWN)

    async def release(
        self, server: str, address: str, command: ReleaseCommand, timeout_s: float
    ) -> CommandResponse:
        """Release a range of keys; the server responds after its work on them ends."""
        body = {"from": command.first, "to": command.last, "fence": command.fence}
        call = _Call(server, address, "/-/release", body)
        return await self._send(self._separate, call, _Deadline.after(timeout_s))

    async def _send(
        self, session: aiohttp.ClientSession, call: _Call, deadline: _Deadline
    ) -> CommandResponse:
        fields = {"Content-Type": "application/json", EXPECTED_SERVER: call.server}
        try:
            async with asyncio.timeout_at(deadline.loop_s):
                with checking_before_sending(deadline.check):
                    response = await session.post(
                        f"http://{call.address}{call.path}",
                        data=json.dumps(call.body).encode(),
                        headers=fields,
                    )
                async with response:
                    await _discard_body(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            NotSent,
        ) as error:
            return CommandResponse(CommandResult.NOT_RUN, "", repr(error))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return CommandResponse(CommandResult.UNKNOWN, "", repr(error))
        result = _RESULT_BY_STATUS.get(response.status, CommandResult.UNKNOWN)
        handover = response.headers.get(HANDOVER, "")
        return CommandResponse(result, handover, f"status {response.status}", True)


async def _discard_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a response, so that its connection may be used again.

    :raises aiohttp.ClientPayloadError: it is longer than any response to a command.
    """
    size_bytes = 0
    async for part in response.content.iter_any():
        size_bytes += len(part)
        if size_bytes > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError("The response is too long.")
