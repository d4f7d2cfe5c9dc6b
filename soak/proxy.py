"""A loopback proxy that disturbs the connections through it."""

from __future__ import annotations

__all__ = ["Proxy"]

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536
DELAY_S = 0.15


class _Ended(Exception):
    """One end has closed its connection."""


class Proxy:
    """Passes connections on to ``target``.

    ``mode`` holds for open connections too: ``pass``, ``delay``, ``reset``,
    ``silent`` (nothing passes) or ``one-way`` (no answers pass).
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
        """Stop listening and end all connections."""
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
        onward = None
        try:
            if self.mode == "reset":
                self.reset()
                return
            back, onward = await asyncio.open_connection(host, int(port))
            self._writers.add(onward)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, onward, ("silent",)))
                group.create_task(self._pass(back, writer, ("silent", "one-way")))
        except* (_Ended, OSError):
            pass
        finally:
            for one in filter(None, (writer, onward)):
                self._writers.discard(one)
                one.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping: tuple[str, ...],
    ) -> None:
        while content := await _read(reader, writer):
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            if self.mode not in dropping:
                writer.write(content)
                await writer.drain()
        # The other direction ends too, as when a process closes its socket.
        raise _Ended


async def _read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """Read what is to be passed on; a reset is passed on as such."""
    try:
        return await reader.read(CHUNK_BYTES)
    except ConnectionError:
        _reset(writer)
        raise


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset; a plain close would end it in order."""
    if not writer.is_closing():
        opened = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
