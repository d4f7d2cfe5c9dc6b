"""Stand-in of the platform's lagging list of live and leaving hosts."""

from __future__ import annotations

__all__ = ["HostListStandIn"]

import time
from typing import Any

import click
from aiohttp import web

from .serving import serve


class HostListStandIn:
    """A list that shows each change after a lag.

    ``PUT /`` replaces the list; ``GET /`` returns the newest one that is older
    than the lag.

    :param lag_s: time until a change is shown.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._versions: list[tuple[float, Any]] = [(float("-inf"), [])]

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        now_s = time.monotonic()
        if request.method == "PUT":
            self._versions.append((now_s, (await request.json())["hosts"]))
        shown = [hosts for at_s, hosts in self._versions if at_s + self.lag_s <= now_s]
        return web.json_response({"hosts": shown[-1]})


@click.command()
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
@click.option("--lag-s", default=0.0, help="Time until a change is shown.")
def main(address: str, lag_s: float) -> None:
    """Serve the stand-in."""
    serve(HostListStandIn(lag_s).handle, address)


if __name__ == "__main__":
    main()
