"""A server fails orders that it has begun to work on, with a status that promises."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from review.rig import (
    Answer,
    Connection,
    Deployment,
    Request,
    Server,
    is_troubled,
    run_case,
)
from standins.platform_documents import route

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which a client is told that an order has not run and never will."""

SERVERS = 8
"""As the service for orders of the deployment has; one of them is in trouble."""

PAUSE_S = 0.05
TROUBLE_S = 8.0
FAILING_TURNS = 2
"""Every second order of the server in trouble fails."""

FAILING_STATUSES = (503, 429)


class OrderServer(Server):
    """Books orders; in trouble, it fails some that it has begun to work on.

    Its health check stays good. It says of none of these orders that it has not run.
    """

    def __init__(self, name: str, in_trouble: bool) -> None:
        super().__init__(name, "orders")
        self._in_trouble = in_trouble

    async def answer(self, request: Request) -> Answer:
        """Book the order, and fail afterwards if it is the turn of a failure."""
        answer = await super().answer(request)
        failure, is_other = divmod(len(self.executed), FAILING_TURNS)
        if self._in_trouble and not is_other:
            return Answer(FAILING_STATUSES[failure % len(FAILING_STATUSES)], b"failed")
        return answer


async def _case(record: Callable[[str], None]) -> bool:
    servers = [
        OrderServer(f"o{index}", in_trouble=is_troubled() and index == 0)
        for index in range(SERVERS)
    ]
    routes = [route("order", "/order/", "orders", kind="non_idempotent")]
    async with Deployment(record, servers, routes, ["orders"]) as deployment:
        untrue = number = 0
        until_s = time.monotonic() + TROUBLE_S
        while time.monotonic() < until_s:
            number += 1
            address = deployment.gateways[number % 2].address
            untrue += await _send_order(record, servers, address, number)
            await asyncio.sleep(PAUSE_S)
    bookings = Counter(one.body for server in servers for one in server.executed)
    doubled = [body.decode() for body, count in bookings.items() if count > 1]
    record(f"{untrue} answers promised that an order had not run, though it had")
    record(f"booked more than once by clients that came back: {', '.join(doubled)}")
    return untrue > 0


async def _send_order(
    record: Callable[[str], None], servers: list[OrderServer], address: str, number: int
) -> int:
    """Send an order, and once more after a promise; return the untrue promises."""
    untrue = 0
    for attempt in (f"order-{number}-first", f"order-{number}-again"):
        connection = Connection(address)
        body = f"order {number}".encode()
        reply = await connection.ask("POST", "/order/x", attempt, 1_000, body)
        await connection.close()
        ran_at = [
            server.name
            for server in servers
            if any(request.attempt == attempt for request in server.executed)
        ]
        is_untrue = reply.status in PROMISES and bool(ran_at)
        untrue += is_untrue
        record(
            f"{attempt}: answered {reply.status}, signed {reply.is_from_server}, "
            f"run by {ran_at}{'  <- untrue' if is_untrue else ''}"
        )
        if reply.status not in PROMISES:
            break
    return untrue


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case)
