"""Connections of callers, which know when requests arrived, who left and who stalls."""

from __future__ import annotations

__all__ = ["CallerConnection", "ConnectionServer"]

import asyncio
import socket
from collections import deque
from math import ceil
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..gateway.body_memory import BodyMemory
from ..gateway.clock import boottime_s
from ..gateway.exchange import CallerLeft
from ..gateway.loop_delay import loop_delay_of
from ..gateway.sockets import RESET_ON_CLOSE, is_closed_by_peer

PASSES_UNTIL_ACCEPTED = 1
"""Passes of the event loop from accepting a connection until it is set up."""

PASSES_UNTIL_FIRST_READ = 2
"""Passes of the event loop from the set-up of a connection until bytes that arrived
before are read from it."""

READ_BYTES = 64 * 1024
"""Bytes read from a connection at a time; asyncio's default is 256 KiB."""

MAX_UNSENT_BYTES = 32 * 1024
"""Bytes that a connection may have to send without being counted. Above, it takes no
more until most of them are sent."""

MEMORY_STALL_S = 3.0
"""While memory is short, a caller that does not make its connection take more bytes
within this time is closed, though it may take some."""

SLOW_SHARE = 1 / 8
"""Share of the unread connections that are reset at a time while memory is short: what
they hold is free by the next time."""


class ConnectionServer(web.Server):
    """Creates :class:`CallerConnection` objects.

    :param memory: counts the bytes that callers have not taken.
    :ivar held_connections: those from which nothing is read now.
    :ivar unread_connections: those whose callers have not taken what was sent.
    """

    def __init__(self, *args: Any, memory: BodyMemory, **options: Any) -> None:
        super().__init__(*args, **options)
        self.memory = memory
        self.held_connections: set[CallerConnection] = set()
        self.unread_connections: set[CallerConnection] = set()

    def abort_stalled(self, timeout_s: float) -> int:
        """Reset the connections of callers that take nothing; return how many.

        While memory is short, those of slow callers are reset too, the slowest first.

        :param timeout_s: time without a byte after which a caller is given up.
        """
        now_s = asyncio.get_running_loop().time()
        unread = sorted(self.unread_connections, key=CallerConnection.unread_since_s)
        slow_count = ceil(SLOW_SHARE * len(unread)) if self.memory.is_short else 0
        aborted = 0
        for index, connection in enumerate(unread):
            has_stalled = connection.has_stalled(now_s, timeout_s)
            is_slow = now_s - connection.unread_since_s() >= MEMORY_STALL_S
            if has_stalled or (is_slow and index < slow_count):
                connection.reset()
                aborted += 1
        return aborted

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
        "_progressed_s",
        "_unread_since_s",
        "_unsent_bytes",
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
        self._unsent_bytes = 0
        self._unread_since_s = self._progressed_s = 0.0
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        transport.max_size = READ_BYTES
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

    def pause_writing(self) -> None:
        """Count the bytes that the caller has not taken."""
        super().pause_writing()
        self._unread_since_s = self._progressed_s = self._loop.time()
        if self._manager is not None:
            self._manager.unread_connections.add(self)
            self._count_unsent()

    def resume_writing(self) -> None:
        """Count the bytes no longer: the caller has taken most of them."""
        self.forget_unread()
        super().resume_writing()

    def unread_since_s(self) -> float:
        """Return since when the caller has not taken enough to be sent more."""
        return self._unread_since_s

    def has_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the caller has taken no byte for a time."""
        known_bytes = self._unsent_bytes
        self._count_unsent()
        if self._unsent_bytes < known_bytes:
            self._progressed_s = now_s
        return now_s - self._progressed_s >= timeout_s

    def reset(self) -> None:
        """End the connection so that no response looks whole, and drop what is unsent.

        A close would let the system go on sending for minutes.
        """
        if self.transport is not None:
            self._peer_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self.transport.abort()
            self.forget_unread()

    def forget_unread(self) -> None:
        """Count no bytes of this connection."""
        if self._manager is not None and self in self._manager.unread_connections:
            self._manager.unread_connections.discard(self)
            self._manager.memory.release(self._unsent_bytes)
            self._unsent_bytes = 0

    def _count_unsent(self) -> None:
        unsent_bytes = self.transport.get_write_buffer_size()
        self._manager.memory.add(unsent_bytes - self._unsent_bytes)
        self._unsent_bytes = unsent_bytes

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
        self.forget_unread()
        if self._manager is not None:
            self._manager.held_connections.discard(self)
        super().connection_lost(error)
