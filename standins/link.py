"""A TCP proxy that tests can disconnect: SIGUSR1 cuts the link, SIGUSR2 restores it."""

from __future__ import annotations

__all__ = ["Link"]

import asyncio
import signal

import click

CHUNK_BYTES = 65_536


class Link:
    """Forwards connections to one address unless the link is cut.

    :param target: ``IP:port`` to connect to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Abort all connections, and new ones as soon as they are accepted."""
        self.is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def restore(self) -> None:
        """Forward new connections again."""
        self.is_cut = False

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either end closes it."""
        if self.is_cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                _copy(reader, target_writer), _copy(target_reader, writer)
            )
        finally:
            self._writers -= writers


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
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, link.cut)
    loop.add_signal_handler(signal.SIGUSR2, link.restore)
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"listening address={host}:{port}", flush=True)
    await stop_requested.wait()


@click.command()
@click.option("--target", required=True, help="IP:port to connect to.")
def main(target: str) -> None:
    """Run the proxy."""
    asyncio.run(_serve(target))


if __name__ == "__main__":
    main()
