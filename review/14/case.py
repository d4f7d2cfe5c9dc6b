"""A server in need asks each gateway to send it nothing for two minutes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from review.rig import (
    Answer,
    Connection,
    Deployment,
    KeyedServer,
    Request,
    is_troubled,
    run_case,
)
from standins.platform_documents import route

SERVICE = "previews"
SERVERS = 4
PAUSE_S = 120
SLACK_S = 0.5
ALLOWED_REQUESTS = 2
WATCHED_S = 96.0
CALL_INTERVAL_S = 0.1
KEYS = range(0, 65_536, 1_021)
GATEWAYS = 2
GATEWAY_FIELD = "x-sent-to"
"""Set by the clients, so that the server knows which gateway a request comes from."""


class PausingServer(KeyedServer):
    """A server that turns requests away with 503 and Retry-After.

    :ivar arrivals: times on the monotonic clock, by the gateway that sent the request.
    """

    def __init__(self, name: str, in_need: bool) -> None:
        super().__init__(name, SERVICE)
        self._in_need = in_need
        self.arrivals: dict[str, list[float]] = {}

    async def answer(self, request: Request) -> Answer:
        """Turn the request away in need, and run it otherwise."""
        if not self._in_need:
            return await super().answer(request)
        gateway = request.fields[GATEWAY_FIELD]
        self.arrivals.setdefault(gateway, []).append(time.monotonic())
        pause = ("Retry-After", str(PAUSE_S))
        return Answer(503, fields=(pause,), executed=False)


async def _case(record: Callable[[str], None]) -> bool:
    servers = [
        PausingServer(f"k{index}", in_need=is_troubled() and index == 0)
        for index in range(SERVERS)
    ]
    routes = [route("preview", "/preview/", SERVICE)]
    async with Deployment(
        record, servers, routes, [SERVICE], [SERVICE], GATEWAYS
    ) as running:
        until_s = time.monotonic() + WATCHED_S
        number = served = 0
        while time.monotonic() < until_s:
            gateway = running.gateways[number % GATEWAYS]
            number += 1
            connection = Connection(gateway.address)
            key = str(KEYS[number // GATEWAYS % len(KEYS)])
            fields = [(GATEWAY_FIELD, gateway.name), ("X-Shard-Key", key)]
            reply = await connection.ask(
                "GET", "/preview/x", f"p{number}", 800, fields=fields
            )
            await connection.close()
            served += reply.status == 200
            await asyncio.sleep(CALL_INTERVAL_S)
    record(f"{served} of {number} requests were served")
    return _report(record, servers[0])


def _report(record: Callable[[str], None], server: PausingServer) -> bool:
    """Record what has reached the server; return whether it was too much."""
    is_broken = False
    for gateway, times_s in sorted(server.arrivals.items()):
        first_s = times_s[0]
        late = [at_s - first_s for at_s in times_s if at_s >= first_s + SLACK_S]
        listed = ", ".join(f"{after_s:.1f}" for after_s in late)
        record(
            f"{gateway}: turned away for {PAUSE_S} s, sent {len(late)} more requests "
            f"meanwhile, after {listed} s"
        )
        is_broken |= len(late) > ALLOWED_REQUESTS
    return is_broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case)
