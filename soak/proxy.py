"""A loopback TCP proxy that injects network faults into its connections."""

from __future__ import annotations

__all__ = ["Link", "Proxy"]

import asyncio
import socket
import struct
import time

CHUNK_BYTES = 65_536
LIMITED_CHUNK_BYTES = 4_096
"""Chunk on a link with a limit: its connections take turns, as packets do."""

DELAY_S = 0.15


class _ConnectionEnded(Exception):
    """One end of a proxied connection has closed it."""


class Link:
    """Capacity that the connections of one or more proxies share in both directions.

    :ivar rate_bytes_per_s: capacity, ``None`` without a limit.
    :ivar carried_bytes: bytes that were forwarded so far.
    """

    def __init__(self, rate_bytes_per_s: float | None = None) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self.carried_bytes = 0
        self._free_at_s = 0.0

    def chunk_bytes(self) -> int:
        """Return the largest size that one connection may send at once."""
        return CHUNK_BYTES if self.rate_bytes_per_s is None else LIMITED_CHUNK_BYTES

    async def carry(self, size: int) -> None:
        """Return when ``size`` bytes have passed, after those of earlier calls."""
        self.carried_bytes += size
        if self.rate_bytes_per_s is None:
            return
        now_s = time.monotonic()
        self._free_at_s = max(now_s, self._free_at_s) + size / self.rate_bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)


class Proxy:
    """Forwards connections to ``target`` over ``link``.

    ``mode`` applies to open connections too: ``pass``, ``delay``, ``reset`` (each new
    connection is reset together with all open ones), ``silent`` (discards the data of
    both directions) or ``one-way`` (discards the data from ``target``). With
    ``refuse-new``, open connections live on while each new one is reset.
    """

    def __init__(self, target: str, link: Link | None = None) -> None:
        self.target = target
        self.link = link or Link()
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
        while chunk := await self._read_chunk(reader, writer):
            await self.link.carry(len(chunk))
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            if self.mode not in discarding_modes:
                writer.write(chunk)
                await writer.drain()
        # Closes the other direction too, as when a process closes its socket.
        raise _ConnectionEnded

    async def _read_chunk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Read a chunk to forward; a reset is propagated to the other end as one."""
        try:
            return await reader.read(self.link.chunk_bytes())
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
