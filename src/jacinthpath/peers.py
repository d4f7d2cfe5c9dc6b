"""Accepts and opens connections between the processes of one system."""

from __future__ import annotations

__all__ = [
    "Handler",
    "PeerConnection",
    "PeerIdentity",
    "PeerPool",
    "PeerServer",
    "split_address",
]

import asyncio
import random
from collections.abc import Mapping
from functools import partial
from typing import Any

from .errors import AuthenticationError, FrameError, PeerUnavailable
from .keyring import KeySource
from .logs import get_logger
from .metrics import Metrics
from .peer_connections import (
    REQUEST_TIMEOUT_S,
    Handler,
    PeerConnection,
    PeerIdentity,
)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 2_048

# Gossip contacts random peers, so without an idle timeout each process of a large
# fleet would end up with a connection to every other one.
IDLE_TIMEOUT_S = 15.0
IDLE_CHECK_INTERVAL_S = 5.0

_UNREACHABLE = (OSError, TimeoutError, EOFError, FrameError)

_log = get_logger()


class PeerServer:
    """Accepts connections of other processes.

    :param identity: identity of this process.
    :param address: ``IP:port`` to listen on; port 0 selects a free port.
    :param handlers: handler of each kind of frame.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: str,
        keys: KeySource,
        handlers: Mapping[str, Handler],
        metrics: Metrics,
    ) -> None:
        self.identity = identity
        self.address = address
        self._keys = keys
        self._handlers = handlers
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._connections: set[PeerConnection] = set()
        self._handshakes: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> tuple[PeerConnection, ...]:
        """The open connections."""
        return tuple(self._connections)

    async def start(self) -> None:
        """Start listening; ``address`` then contains the port in use."""
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._handshakes:
            task.cancel()
        await asyncio.gather(*(c.close() for c in self.connections))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) + len(self._handshakes) >= MAX_CONNECTIONS:
            self._metrics.count("peer_connections_refused_total", reason="limit")
            writer.close()
            return
        connection = PeerConnection(
            reader, writer, self._handlers, self._metrics, accepting=True
        )
        task = asyncio.current_task()
        self._handshakes.add(task)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await connection.accept_handshake(self.identity, self._keys)
        except asyncio.CancelledError:
            writer.close()
            raise
        except Exception as error:
            self._metrics.count("peer_connections_refused_total", reason="handshake")
            _log.warning("peer_connection_refused", error=str(error) or repr(error))
            writer.close()
            return
        finally:
            self._handshakes.discard(task)
        self._connections.add(connection)
        connection.on_close(self._connections.discard)
        connection.start()


class PeerPool:
    """Connections to other processes, opened on demand and reused.

    :param identity: identity of this process.
    :param handlers: handler of each kind of frame that peers send.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: KeySource,
        handlers: Mapping[str, Handler],
        metrics: Metrics,
        randomness: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self._keys = keys
        self._handlers = handlers
        self._metrics = metrics
        self._random = randomness or random.Random()
        self._connections: dict[str, PeerConnection] = {}
        self._opening: dict[str, asyncio.Task[PeerConnection]] = {}
        self._last_idle_check_s = 0.0

    async def request(
        self, address: str, frame: Any, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Any:
        """Send a request to the process at ``address`` and return the response.

        :raises PeerUnavailable: the process cannot be reached or does not respond in
            time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.connect(address)
        except TimeoutError:
            raise PeerUnavailable(
                f"{address} did not accept a connection within {timeout_s} s.",
                "Check the host and the network.",
            ) from None
        return await connection.request(frame, timeout_s)

    async def connect(self, address: str) -> PeerConnection:
        """Return an open connection to ``address``.

        :raises PeerUnavailable: the connection cannot be opened.
        """
        await self._close_idle_connections()
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self._open(address))
            self._opening[address] = task
            task.add_done_callback(partial(self._finish_opening, address))
        return await asyncio.shield(task)

    def _finish_opening(self, address: str, task: asyncio.Task[PeerConnection]) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            # All callers may have stopped waiting; an error that nobody retrieves would
            # be logged by the event loop.
            task.exception()

    async def close(self) -> None:
        """Close all connections."""
        opening = [*self._opening.values()]
        for task in opening:
            task.cancel()
        await asyncio.gather(*opening, return_exceptions=True)
        await asyncio.gather(*(c.close() for c in self._connections.values()))
        self._connections.clear()

    async def _close_idle_connections(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_idle_check_s < IDLE_CHECK_INTERVAL_S:
            return
        self._last_idle_check_s = now_s
        idle = [
            address
            for address, connection in self._connections.items()
            if connection.closed or now_s - connection.last_used_at_s > IDLE_TIMEOUT_S
        ]
        for address in idle:
            await self._connections.pop(address).close()

    async def _open(self, address: str) -> PeerConnection:
        host, port = split_address(address)
        writer = None
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                connection = PeerConnection(
                    reader, writer, self._handlers, self._metrics, accepting=False
                )
                await connection.connect_handshake(self.identity, self._keys)
        except BaseException as error:
            # Also when the pool is closed meanwhile, which cancels this task.
            if writer is not None:
                writer.close()
            if isinstance(error, AuthenticationError):
                raise PeerUnavailable(str(error)) from error
            if not isinstance(error, _UNREACHABLE):
                raise
            raise PeerUnavailable(
                f"{address} cannot be reached: {error or 'timed out'}.",
                "Check the host and the network.",
            ) from error
        self._connections[address] = connection
        connection.start()
        return connection


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
