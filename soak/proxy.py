"""A loopback TCP proxy that injects network faults into its connections."""

from __future__ import annotations

__all__ = ["Proxy"]

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536
DELAY_S = 0.15


class _ConnectionEnded(Exception):
    """One end of a proxied connection has closed it."""


class Proxy:
    """Forwards connections to ``target``.

    ``mode`` applies to open connections too: ``pass``, ``delay``, ``reset`` (each new
    connection is reset together with all open ones), ``silent`` (discards the data of
    both directions) or ``one-way`` (discards the data from ``target``). With
    ``refuse-new``, open connections live on while each new one is reset.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.mode = "pass"
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in [*self._writers]:
            _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        self._writers.add(writer)
        upstream_writer = None
        try:
            if self.mode == "reset":
                self.reset()
                return
            if self.mode == "refuse-new":
                _reset(writer)
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(upstream_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, upstream_writer, ("silent",)))
                group.create_task(
                    self._forward(upstream_reader, writer, ("silent", "one-way"))
                )
        except* (_ConnectionEnded, OSError):
            pass
        finally:
            for open_writer in filter(None, (writer, upstream_writer)):
                self._writers.discard(open_writer)
                open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        discarding_modes: tuple[str, ...],
    ) -> None:
        while chunk := await _read_chunk(reader, writer):
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            if self.mode not in discarding_modes:
                writer.write(chunk)
                await writer.drain()
        # Closes the other direction too, as when a process closes its socket.
        raise _ConnectionEnded


async def _read_chunk(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Read a chunk to forward; a reset is propagated to the other end as a reset."""
    try:
        return await reader.read(CHUNK_BYTES)
    except ConnectionError:
        _reset(writer)
        raise


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset; a plain close would send a FIN."""
    if not writer.is_closing():
        tcp_socket = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
