"""Naive baseline of the overhead measure: a minimal reverse proxy on aiohttp."""

from __future__ import annotations

import aiohttp
import click
from aiohttp import web

from standins.serving import serve


class MinimalProxy:
    """Forwards each request to one endpoint and returns the buffered response."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Forward one request."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
            )
        async with self.session.request(
            request.method,
            self.target + request.raw_path,
            headers=request.headers,
            data=await request.read() or None,
        ) as response:
            body = await response.read()
            return web.Response(
                status=response.status, body=body, content_type=response.content_type
            )


@click.command()
@click.option("--target", required=True, help="http://IP:port of the endpoint.")
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
def main(target: str, address: str) -> None:
    """Serve the proxy."""
    serve(MinimalProxy(target).handle, address)


if __name__ == "__main__":
    main()
