"""Naive router of the process measures: round robin, one queue, immediate retries."""

from __future__ import annotations

import asyncio
from collections import deque

import aiohttp
import click
from aiohttp import web

from standins.serving import serve

MAX_ATTEMPTS = 3


class NaiveRouter:
    """Forwards requests in order of arrival to the endpoints by round robin.

    :param targets: ``IP:port`` of the endpoints.
    :param concurrency: maximum of concurrent requests of this process to all endpoints.
    """

    def __init__(self, targets: tuple[str, ...], concurrency: int) -> None:
        self.targets = deque(targets)
        self.slots = asyncio.Semaphore(concurrency)
        self.session: aiohttp.ClientSession | None = None
        self.attempts = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Forward one request."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        path = "/" + request.raw_path.lstrip("/").partition("/")[2]
        deadline_s = int(request.headers["jacinthpath-deadline-ms"]) / 1000
        try:
            async with asyncio.timeout(deadline_s), self.slots:
                for _ in range(MAX_ATTEMPTS):
                    self.targets.rotate(-1)
                    status, body = await self._send(self.targets[0], path)
                    if status == 200:
                        return web.Response(body=body)
        except TimeoutError:
            return web.Response(status=504)
        return web.Response(status=502)

    async def _send(self, target: str, path: str) -> tuple[int, bytes]:
        self.attempts += 1
        try:
            async with self.session.get(f"http://{target}{path}") as response:
                return response.status, await response.read()
        except aiohttp.ClientError:
            return 502, b""


@click.command()
@click.option("--target", "targets", multiple=True, required=True)
@click.option("--concurrency", required=True, type=int)
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
def main(targets: tuple[str, ...], concurrency: int, address: str) -> None:
    """Serve the router."""
    serve(NaiveRouter(targets, concurrency).handle, address)


if __name__ == "__main__":
    main()
