"""Orders to servers: granting and releasing ranges of keys."""

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
from ..gateway.sockets import open_reset_on_close_socket
from .headers import EXPECTED_SERVER, HANDOVER
from .http import open_session
from .values import duration_text

CONNECT_TIMEOUT_S = 0.4
IDLE_CONNECTION_S = 8.0

_RESULTS = {
    200: CommandResult.DONE,
    409: CommandResult.FENCED,
    421: CommandResult.NOT_RUN,
}


class CommandClient:
    """Sends grants and releases to servers.

    Connections are reset when an order is given up, so its arrival is bounded by
    the end of the call.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = open_session(
            aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=IDLE_CONNECTION_S,
                socket_factory=open_reset_on_close_socket,
            ),
            CONNECT_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def grant(
        self, server: str, address: str, order: GrantCommand, timeout_s: float
    ) -> CommandResponse:
        """Grant a range of keys, or renew the grant."""
        body = {
            "from": order.first,
            "to": order.last,
            "fence": order.fence,
            "hold_time": duration_text(order.hold_s),
        }
        if order.handover:
            body["handover"] = order.handover
        return await self._send(server, address, "/-/grant", body, timeout_s)

    async def release(
        self, server: str, address: str, order: ReleaseCommand, timeout_s: float
    ) -> CommandResponse:
        """Take a range of keys back; answered when the work on them has ended."""
        body = {"from": order.first, "to": order.last, "fence": order.fence}
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
        result = _RESULTS.get(response.status, CommandResult.UNKNOWN)
        handover = response.headers.get(HANDOVER, "")
        return CommandResponse(result, handover, f"status {response.status}")
