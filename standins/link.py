"""A TCP link that tests can cut: SIGUSR1 cuts it, SIGUSR2 restores it."""

from __future__ import annotations

__all__ = ["Link"]

import asyncio
import signal

import click

CHUNK_BYTES = 65_536


class Link:
    """Passes connections on to one address while it is not cut.

    :param target: ``IP:port`` to connect to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def restore(self) -> None:
        """Accept connections again."""
        self.is_cut = False

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on until either end closes it."""
        if self.is_cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        finally:
            self._writers -= ends


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _serve(target: str) -> None:
    link = Link(target)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, link.cut)
    loop.add_signal_handler(signal.SIGUSR2, link.restore)
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"listening address={host}:{port}", flush=True)
    await stopped.wait()


@click.command()
@click.option("--target", required=True, help="IP:port to connect to.")
def main(target: str) -> None:
    """Serve the link."""
    asyncio.run(_serve(target))


if __name__ == "__main__":
    main()
