"""Stand-in of one server of a service.

Three slots, bounded connections, fenced grants that are checked or not, drain,
cold start, shedding, cancellation and deadlines. A freeze is a SIGSTOP to the
process.
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

BACKLOG = 16
KEPT_RUNS = 20_000


class EndpointStandIn:
    """State and HTTP handler of one server.

    A request says what it needs in its query: ``ms`` (time in a slot),
    ``size`` (bytes of the answer), ``end`` (``half`` breaks the answer off
    half way, ``undelimited`` leaves its end unmarked, ``silent`` breaks off
    before any answer). ``POST /-/state`` sets ``draining`` and ``shedding``; both
    refuse new work, and work that runs is finished.

    :param keyed: whether the server serves only keys it was granted.
    :param checks: whether it checks grants; otherwise it serves every key.
    """

    def __init__(
        self,
        service: str,
        server: str,
        keyed: bool,
        checks: bool,
        slots: int,
        cold_ms: int,
        connections: int,
    ) -> None:
        self.server = server
        self.connection_limit = connections
        self.keyed = keyed
        self.checks = checks
        self.holder = GrantHolder(service, secrets.token_hex(8))
        self.slots = asyncio.Semaphore(slots)
        self.cold_until_s = time.monotonic() + cold_ms / 1000
        self.state = {"draining": False, "shedding": False}
        self.waiting = 0
        self.runs: list[dict[str, Any]] = []
        self.counts = {"runs": 0, "refused": 0, "not_owner": 0, "cancelled": 0}
        self.connections: set[Any] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if not self._admit_connection(request.transport):
            request.transport.abort()
            return web.Response(status=503)
        if request.path == "/-/grant":
            return await self._take_grant(request)
        if request.path.startswith("/-/"):
            return await self._administer(request)
        if self.state["draining"]:
            return self._refuse("draining")
        if self.state["shedding"] or self.waiting >= BACKLOG:
            return self._refuse("shedding")
        key = request.headers.get(KEY, "")
        if self.keyed and not self._may_serve(key):
            self.counts["not_owner"] += 1
            return web.Response(status=421, text="not the owner\n")
        self.waiting += 1
        arrived_s = time.monotonic()
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            deadline_ms = int(request.headers.get(DEADLINE_MS, "60000"))
            if (time.monotonic() - arrived_s) * 1000 >= deadline_ms:
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
        return not self.checks or self.holder.owns(key_hash(key), boot_time_ms())

    async def _run(self, request: web.BaseRequest, key: str) -> web.StreamResponse:
        body_digest = hashlib.sha256()
        body_bytes = 0
        started_ms = boot_time_ms()
        run = {
            "key": key,
            "idempotency_key": request.headers.get(IDEMPOTENCY_KEY, ""),
            "started_ms": started_ms,
            "ended_ms": None,
        }
        self.counts["runs"] += 1
        if len(self.runs) < KEPT_RUNS:
            self.runs.append(run)
        async for chunk in request.content.iter_any():
            body_digest.update(chunk)
            body_bytes += len(chunk)
        work_ms = float(request.query.get("ms", "1"))
        if time.monotonic() < self.cold_until_s:
            work_ms *= 3
        await asyncio.sleep(work_ms / 1000)
        run["ended_ms"] = boot_time_ms()
        answer = {
            "server": self.server,
            "key": key,
            "path": request.path,
            "body_bytes": body_bytes,
            "body_sha256": body_digest.hexdigest(),
            "run": self.counts["runs"],
        }
        content = json.dumps(answer).encode()
        size = int(request.query.get("size", "0"))
        return await self._answer(request, content.ljust(size))

    async def _answer(
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

    async def _take_grant(self, request: web.BaseRequest) -> web.Response:
        content = await request.read()
        try:
            grant = decode_grant(json.loads(content))
        except (FrameError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        answer = self.holder.receive(grant, boot_time_ms())
        return web.json_response(encode_answer(answer))

    async def _administer(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            self.state.update(await request.json())
        return web.json_response(
            {
                "server": self.server,
                "state": self.state,
                "counts": self.counts,
                "runs": self.runs,
                "epoch": self.holder.epoch,
                "owned_slices": len(self.holder.owned_slices(boot_time_ms())),
            }
        )


def boot_time_ms() -> int:
    """Return a clock that goes on while the process is frozen, in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


@click.command()
@click.option("--service", required=True)
@click.option("--server", required=True, help="Name of the server.")
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
@click.option("--keyed", is_flag=True, help="Serve only keys that were granted.")
@click.option("--unchecked", is_flag=True, help="Do not check grants.")
@click.option("--slots", default=3, help="Requests that run at a time.")
@click.option("--cold-ms", default=0, help="Time after the start with slow runs.")
@click.option("--connections", default=100, help="Connections that are accepted.")
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
