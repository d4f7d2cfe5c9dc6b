"""Stand-in of the platform's key-value service.

Compare-and-swap, leases and watches over HTTP and JSON, with a limit on calls,
values up to a megabyte, and switches for faults.
"""

from __future__ import annotations

__all__ = ["KeyValueStandIn"]

import asyncio
import base64
import json
import secrets
import time
from typing import Any, NamedTuple
from urllib.parse import unquote

import click
from aiohttp import web

from .serving import serve

MAX_VALUE_BYTES = 1_000_000
WRITES_PER_S = 400
READS_PER_S = 2_000


class Value(NamedTuple):
    """A value with its version and the lease that keeps it."""

    version: int
    data: bytes
    lease_id: str


class KeyValueStandIn:
    """State and HTTP handler of the service.

    Faults, set by ``POST /-/faults``: ``down`` (connections break before the
    call takes effect), ``delay_ms`` (every answer is late), ``lose_answers``
    (the next N writes take effect and their answers are lost),
    ``stale_reads`` (reads without a wait return the state at the time the
    switch was set).
    """

    def __init__(self) -> None:
        self.values: dict[str, Value] = {}
        self.revision = 0
        self.leases: dict[str, tuple[float, float]] = {}
        self.faults: dict[str, Any] = {}
        self.stale_values: dict[str, Value] = {}
        self.calls = {"reads": 0, "writes": 0, "refused": 0}
        self.window = {"started_s": 0.0, "reads": 0, "writes": 0}
        self.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        parts = request.raw_path.partition("?")[0].strip("/").split("/")
        if parts[0] == "-":
            return await self._administer(request, parts[1])
        if self.faults.get("down"):
            return _break_off(request)
        self._expire_leases()
        is_read = request.method == "GET"
        if not self._count("reads" if is_read else "writes"):
            return web.json_response({"error": "call limit"}, status=503)
        if self.faults.get("delay_ms"):
            await asyncio.sleep(self.faults["delay_ms"] / 1000)
        body = await request.read()
        if parts[0] == "kv":
            key = unquote(parts[1])
            if is_read:
                return await self._get(request, key)
            answer = self._put(key, json.loads(body))
        else:
            answer = self._lease_call(request.method, parts[1:], body)
        if self.faults.get("down"):
            return _break_off(request)
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            return _break_off(request)
        return answer

    async def _get(self, request: web.BaseRequest, key: str) -> web.Response:
        after = request.query.get("after")
        if after is None:
            values = self.stale_values if self.faults.get("stale_reads") else None
            value = (self.values if values is None else values).get(key)
            return _value_response(value)
        wait_until_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            self._expire_leases()
            value = self.values.get(key)
            version = value.version if value else 0
            remaining_s = wait_until_s - time.monotonic()
            if version != int(after):
                return _value_response(value)
            if remaining_s <= 0:
                return web.Response(status=304)
            if self.faults.get("down"):
                return _break_off(request)
            changed = self.changed
            try:
                # Leases end without a call, so the wait is cut into short steps.
                async with asyncio.timeout(min(remaining_s, 0.02)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _put(self, key: str, body: dict[str, Any]) -> web.Response:
        data = base64.b64decode(body["data"])
        if len(data) > MAX_VALUE_BYTES:
            return web.json_response({"error": "value too large"}, status=413)
        current = self.values.get(key)
        version = current.version if current else 0
        lease_id = body["lease_id"]
        if version != body["expected_version"]:
            return web.json_response({"version": version}, status=409)
        if lease_id and lease_id not in self.leases:
            return web.json_response({"version": version}, status=409)
        self.revision += 1
        self.values[key] = Value(self.revision, data, lease_id)
        self._notify()
        return web.json_response({"version": self.revision})

    def _lease_call(self, method: str, parts: list[str], body: bytes) -> web.Response:
        now_s = time.monotonic()
        if method == "POST" and not parts:
            lease_id = secrets.token_hex(8)
            ttl_s = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease_id] = (now_s + ttl_s, ttl_s)
            return web.json_response({"lease_id": lease_id})
        lease_id = parts[0]
        if lease_id not in self.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        if method == "DELETE":
            self._end_lease(lease_id)
            return web.json_response({})
        ttl_s = self.leases[lease_id][1]
        self.leases[lease_id] = (now_s + ttl_s, ttl_s)
        return web.json_response({})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        ended = [key for key, (end_s, _) in self.leases.items() if end_s <= now_s]
        for lease_id in ended:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        del self.leases[lease_id]
        for key in [k for k, v in self.values.items() if v.lease_id == lease_id]:
            del self.values[key]
            self.revision += 1
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _count(self, kind: str) -> bool:
        now_s = time.monotonic()
        if now_s - self.window["started_s"] >= 1.0:
            self.window = {"started_s": now_s, "reads": 0, "writes": 0}
        self.window[kind] += 1
        if self.window[kind] > (WRITES_PER_S if kind == "writes" else READS_PER_S):
            self.calls["refused"] += 1
            return False
        self.calls[kind] += 1
        return True

    async def _administer(self, request: web.BaseRequest, name: str) -> web.Response:
        if name == "faults":
            self.faults = await request.json()
            self.stale_values = dict(self.values)
            self._notify()
        return web.json_response(
            {
                "calls": self.calls,
                "faults": self.faults,
                "keys": {key: value.version for key, value in self.values.items()},
            }
        )


def _value_response(value: Value | None) -> web.Response:
    if value is None:
        return web.json_response({"error": "no such key"}, status=404)
    data = base64.b64encode(value.data).decode()
    return web.json_response({"version": value.version, "data": data})


def _break_off(request: web.BaseRequest) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


@click.command()
@click.option("--address", default="127.0.0.1:0", help="IP:port to listen on.")
def main(address: str) -> None:
    """Serve the stand-in."""
    serve(KeyValueStandIn().handle, address)


if __name__ == "__main__":
    main()
