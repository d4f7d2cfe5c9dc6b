"""Stand-in for the platform's list of live and leaving hosts, which lags."""

from __future__ import annotations

__all__ = ["HostListStandIn"]

import time
from typing import Any

import click
from aiohttp import web

from .serving import serve


class HostListStandIn:
    """A list of hosts in which each change becomes visible after a lag.

    ``PUT /`` replaces the list; ``GET /`` returns the newest list that was written
    at least ``lag_s`` ago.

    :param lag_s: time until a change becomes visible.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._versions: list[tuple[float, Any]] = [(float("-inf"), [])]

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle one request."""
        now_s = time.monotonic()
        if request.method == "PUT":
            self._versions.append((now_s, (await request.json())["hosts"]))
        visible = [
            hosts
            for changed_s, hosts in self._versions
            if changed_s + self.lag_s <= now_s
        ]
        return web.json_response({"hosts": visible[-1]})


@click.command()
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
@click.option("--lag-s", default=0.0, help="Time until a change becomes visible.")
def main(address: str, lag_s: float) -> None:
    """Serve the stand-in."""
    serve(HostListStandIn(lag_s).handle, address)


if __name__ == "__main__":
    main()
