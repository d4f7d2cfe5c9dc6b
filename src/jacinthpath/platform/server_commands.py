"""Sends commands to servers: grants and releases of ranges of keys."""

from __future__ import annotations

__all__ = ["CommandClient"]

import asyncio
import json

import aiohttp

from ..gateway.server_commands import (
    CommandResponse,
    CommandResult,
    GrantCommand,
    ReleaseCommand,
)
from ..gateway.sockets import OpenSocket, open_reset_on_close_socket
from .headers import EXPECTED_SERVER, HANDOVER
from .http import open_session
from .values import format_duration

CONNECT_TIMEOUT_S = 0.4
KEEPALIVE_TIMEOUT_S = 8.0

_RESULT_BY_STATUS = {
    200: CommandResult.DONE,
    409: CommandResult.FENCED,
    421: CommandResult.NOT_RUN,
}


class CommandClient:
    """Sends grants and releases to servers.

    The connection is reset when a command is given up, so the end of the call bounds
    the time at which the command can arrive.

    :param open_socket: opens the socket of a connection to an ``addrinfo`` tuple.
    """

    def __init__(self, open_socket: OpenSocket = open_reset_on_close_socket) -> None:
        self._open_socket = open_socket
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = open_session(
            aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=self._open_socket,
            ),
            CONNECT_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

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
        return await self._send(server, address, "/-/grant", body, timeout_s)

    async def release(
        self, server: str, address: str, command: ReleaseCommand, timeout_s: float
    ) -> CommandResponse:
        """Release a range of keys; the server responds after its work on them ends."""
        body = {"from": command.first, "to": command.last, "fence": command.fence}
        return await self._send(server, address, "/-/release", body, timeout_s)

    async def _send(
        self, server: str, address: str, path: str, body: dict, timeout_s: float
    ) -> CommandResponse:
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.post(
                    f"http://{address}{path}",
                    data=json.dumps(body).encode(),
                    headers={
                        "Content-Type": "application/json",
                        EXPECTED_SERVER: server,
                    },
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return CommandResponse(CommandResult.NOT_RUN, "", repr(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return CommandResponse(CommandResult.UNKNOWN, "", repr(error))
        result = _RESULT_BY_STATUS.get(response.status, CommandResult.UNKNOWN)
        handover = response.headers.get(HANDOVER, "")
        return CommandResponse(result, handover, f"status {response.status}", True)
