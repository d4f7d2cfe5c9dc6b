"""Stand-in for one server of a service.

It has a limited number of slots and connections, may check fenced grants, and
supports draining, a slow start, load shedding, cancellation and deadlines. Tests
freeze it with SIGSTOP.
"""

from __future__ import annotations

__all__ = ["EndpointStandIn"]

import asyncio
import hashlib
import json
import secrets
import time
from typing import Any

import click
from aiohttp import web

from jacinthpath.errors import FrameError
from jacinthpath.grant_messages import decode_grant, encode_answer
from jacinthpath.grants import GrantHolder
from jacinthpath.hashing import key_hash
from jacinthpath.headers import DEADLINE_MS, IDEMPOTENCY_KEY, KEY, NOT_RUN

from .serving import serve

MAX_QUEUED_REQUESTS = 16
MAX_RECORDED_RUNS = 20_000


class EndpointStandIn:
    """State and HTTP handler of one server.

    The query of a request controls the response: ``ms`` (time in a slot),
    ``size`` (minimum length of the body in bytes) and ``end`` (``half`` sends half
    of the body, ``undelimited`` omits Content-Length, ``silent`` closes the
    connection without a response). ``POST /-/state`` sets ``draining`` and
    ``shedding``; with either, new requests are refused and accepted ones are finished.

    :param keyed: whether the server serves only keys it was granted.
    :param checks_grants: whether it checks grants; if not, it serves every key.
    """

    def __init__(
        self,
        service: str,
        server: str,
        keyed: bool,
        checks_grants: bool,
        slots: int,
        cold_ms: int,
        connections: int,
    ) -> None:
        self.server = server
        self.connection_limit = connections
        self.keyed = keyed
        self.checks_grants = checks_grants
        self.holder = GrantHolder(service, secrets.token_hex(8))
        self.slots = asyncio.Semaphore(slots)
        self.slow_until_s = time.monotonic() + cold_ms / 1000
        self.state = {"draining": False, "shedding": False}
        self.queued = 0
        self.runs: list[dict[str, Any]] = []
        self.counts = {"runs": 0, "refused": 0, "not_owner": 0, "cancelled": 0}
        self.connections: set[Any] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        if not self._admit_connection(request.transport):
            request.transport.abort()
            return web.Response(status=503)
        if request.path == "/-/grant":
            return await self._handle_grant(request)
        if request.path.startswith("/-/"):
            return await self._handle_admin(request)
        if self.state["draining"]:
            return self._refuse("draining")
        if self.state["shedding"] or self.queued >= MAX_QUEUED_REQUESTS:
            return self._refuse("shedding")
        key = request.headers.get(KEY, "")
        if self.keyed and not self._may_serve(key):
            self.counts["not_owner"] += 1
            return web.Response(status=421, text="not the owner\n")
        self.queued += 1
        received_s = time.monotonic()
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        try:
            deadline_ms = int(request.headers.get(DEADLINE_MS, "60000"))
            if (time.monotonic() - received_s) * 1000 >= deadline_ms:
                return self._refuse("deadline")
            if self.keyed and not self._may_serve(key):
                self.counts["not_owner"] += 1
                return web.Response(status=421, text="not the owner\n")
            return await self._run(request, key)
        except asyncio.CancelledError:
            self.counts["cancelled"] += 1
            raise
        finally:
            self.slots.release()

    def _admit_connection(self, transport: Any) -> bool:
        if transport in self.connections:
            return True
        self.connections = {t for t in self.connections if not t.is_closing()}
        if len(self.connections) >= self.connection_limit:
            return False
        self.connections.add(transport)
        return True

    def _may_serve(self, key: str) -> bool:
        return not self.checks_grants or self.holder.owns(key_hash(key), boottime_ms())

    async def _run(self, request: web.BaseRequest, key: str) -> web.StreamResponse:
        body_digest = hashlib.sha256()
        body_bytes = 0
        started_ms = boottime_ms()
        run = {
            "key": key,
            "idempotency_key": request.headers.get(IDEMPOTENCY_KEY, ""),
            "started_ms": started_ms,
            "ended_ms": None,
        }
        self.counts["runs"] += 1
        if len(self.runs) < MAX_RECORDED_RUNS:
            self.runs.append(run)
        async for chunk in request.content.iter_any():
            body_digest.update(chunk)
            body_bytes += len(chunk)
        work_ms = float(request.query.get("ms", "1"))
        if time.monotonic() < self.slow_until_s:
            work_ms *= 3
        await asyncio.sleep(work_ms / 1000)
        run["ended_ms"] = boottime_ms()
        response = {
            "server": self.server,
            "key": key,
            "path": request.path,
            "body_bytes": body_bytes,
            "body_sha256": body_digest.hexdigest(),
            "run": self.counts["runs"],
        }
        content = json.dumps(response).encode()
        size = int(request.query.get("size", "0"))
        return await self._respond(request, content.ljust(size))

    async def _respond(
        self, request: web.BaseRequest, content: bytes
    ) -> web.StreamResponse:
        end = request.query.get("end", "")
        if not end:
            return web.Response(body=content, content_type="application/json")
        transport = request.transport
        if end == "half":
            transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content)
                + content[: len(content) // 2]
            )
        elif end == "undelimited":
            transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + content)
        await asyncio.sleep(0.01)
        transport.close()
        return web.Response()

    def _refuse(self, reason: str) -> web.Response:
        self.counts["refused"] += 1
        return web.Response(
            status=503, headers={NOT_RUN: "1", "Retry-After": "1"}, text=reason
        )

    async def _handle_grant(self, request: web.BaseRequest) -> web.Response:
        content = await request.read()
        try:
            grant = decode_grant(json.loads(content))
        except (FrameError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        answer = self.holder.receive(grant, boottime_ms())
        return web.json_response(encode_answer(answer))

    async def _handle_admin(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            self.state.update(await request.json())
        return web.json_response(
            {
                "server": self.server,
                "state": self.state,
                "counts": self.counts,
                "runs": self.runs,
                "epoch": self.holder.epoch,
                "owned_slices": len(self.holder.owned_slices(boottime_ms())),
            }
        )


def boottime_ms() -> int:
    """Return CLOCK_BOOTTIME in milliseconds: it goes on while the process is frozen."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


@click.command()
@click.option("--service", required=True)
@click.option("--server", required=True, help="Name of the server.")
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
@click.option("--keyed", is_flag=True, help="Serve only granted keys.")
@click.option("--unchecked", is_flag=True, help="Do not check grants.")
@click.option("--slots", default=3, help="Maximum number of concurrent requests.")
@click.option("--cold-ms", default=0, help="Time after the start with slow requests.")
@click.option("--connections", default=100, help="Maximum number of open connections.")
def main(
    service: str,
    server: str,
    address: str,
    keyed: bool,
    unchecked: bool,
    slots: int,
    cold_ms: int,
    connections: int,
) -> None:
    """Serve the stand-in."""
    endpoint = EndpointStandIn(
        service, server, keyed, not unchecked, slots, cold_ms, connections
    )
    serve(endpoint.handle, address)


if __name__ == "__main__":
    main()
