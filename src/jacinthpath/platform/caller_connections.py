"""Connections of callers, which know when requests have arrived and who has left."""

from __future__ import annotations

__all__ = ["CallerConnection", "ConnectionServer"]

import asyncio
from collections import deque
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..gateway.clock import boottime_s
from ..gateway.exchange import CallerLeft
from ..gateway.loop_delay import loop_delay_of
from ..gateway.sockets import is_closed_by_peer

PASSES_UNTIL_ACCEPTED = 1
"""Passes of the event loop from accepting a connection until it is set up."""

PASSES_UNTIL_FIRST_READ = 2
"""Passes of the event loop from the set-up of a connection until bytes that arrived
before are read from it."""


class ConnectionServer(web.Server):
    """Creates :class:`CallerConnection` objects.

    :ivar held_connections: those from which nothing is read now.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.held_connections: set[CallerConnection] = set()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)


class CallerConnection(RequestHandler):
    """A connection of a caller, which knows when its requests have arrived.

    :ivar arrivals_s: times on the boot clock at which the requests that wait for their
        handler have arrived, as far as is known.
    """

    __slots__ = (
        "_accepted_in_pass",
        "_accepted_s",
        "_delay",
        "_held_since_s",
        "_peer_socket",
        "arrivals_s",
    )

    def connection_made(self, transport: Any) -> None:
        """Keep since when the connection may have waited to be accepted."""
        self.arrivals_s: deque[float] = deque()
        self._peer_socket = transport.get_extra_info("socket")
        self._delay = loop_delay_of(asyncio.get_running_loop())
        self._accepted_s = self._delay.earliest_arrival_s(PASSES_UNTIL_ACCEPTED)
        self._accepted_in_pass = self._delay.passes
        self._held_since_s: float | None = None
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse requests, and keep when each has arrived.

        That is taken to be the middle of the time in which it may have been: the wait
        of a request must neither use up its time, nor be left out.
        """
        known = self._request_count
        arrived_s = (self._earliest_arrival_s() + self._delay.polled_s) / 2
        if data:
            self._held_since_s = None
        super().data_received(data)
        self.arrivals_s.extend([arrived_s] * (self._request_count - known))

    def check_caller(self) -> None:
        """Check whether the caller is still there.

        :raises CallerLeft: it has closed the connection.
        """
        if self.has_left():
            raise CallerLeft("The caller has closed the connection.")

    def has_left(self) -> bool:
        """Return whether the caller has closed the connection, seen or not."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return is_closed_by_peer(self._peer_socket)

    def _earliest_arrival_s(self) -> float:
        if self._held_since_s is not None:
            return self._held_since_s
        if self._delay.passes - self._accepted_in_pass <= PASSES_UNTIL_FIRST_READ:
            # The request may have arrived with the connection.
            return self._accepted_s
        return self._delay.earliest_arrival_s()

    def _pause_transport_reading(self) -> None:
        """Read nothing more; the end of the connection is not seen meanwhile."""
        if self._held_since_s is None:
            self._held_since_s = boottime_s()
        if self._manager is not None:
            self._manager.held_connections.add(self)
        super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._manager is not None:
            self._manager.held_connections.discard(self)
        super()._resume_transport_reading()

    def connection_lost(self, error: BaseException | None) -> None:
        """Forget the connection."""
        if self._manager is not None:
            self._manager.held_connections.discard(self)
        super().connection_lost(error)
