"""Stand-in for the platform's key-value service.

It provides compare-and-swap, leases and long-polling reads over HTTP and JSON, limits
the rate of calls and the size of values, and injects faults.
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
    """A value with its version and the lease that it ends with, if any."""

    version: int
    data: bytes
    lease_id: str


class KeyValueStandIn:
    """State and HTTP handler of the service.

    Faults, set by ``POST /-/faults``: ``down`` (aborts connections; new calls do not
    take effect), ``delay_ms`` (delays every call), ``lose_answers`` (the next N writes
    take effect, but their responses are not sent), ``stale_reads`` (reads without a
    wait return the values of the time when the faults were last set).
    """

    def __init__(self) -> None:
        self.values: dict[str, Value] = {}
        self.revision = 0
        self.leases: dict[str, tuple[float, float]] = {}
        self.faults: dict[str, Any] = {}
        self.stale_values: dict[str, Value] = {}
        self.call_counts = {"reads": 0, "writes": 0, "refused": 0}
        self.rate_window = {"started_s": 0.0, "reads": 0, "writes": 0}
        self.values_changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        path_parts = request.raw_path.partition("?")[0].strip("/").split("/")
        if path_parts[0] == "-":
            return await self._handle_admin(request, path_parts[1])
        if self.faults.get("down"):
            return _abort_connection(request)
        self._expire_leases()
        is_read = request.method == "GET"
        if not self._admit_call("reads" if is_read else "writes"):
            return web.json_response({"error": "call limit"}, status=503)
        if self.faults.get("delay_ms"):
            await asyncio.sleep(self.faults["delay_ms"] / 1000)
        body = await request.read()
        if path_parts[0] == "kv":
            key = unquote(path_parts[1])
            if is_read:
                return await self._get(request, key)
            response = self._put(key, json.loads(body))
        else:
            response = self._handle_lease_call(request.method, path_parts[1:], body)
        if self.faults.get("down"):
            return _abort_connection(request)
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            return _abort_connection(request)
        return response

    async def _get(self, request: web.BaseRequest, key: str) -> web.Response:
        after = request.query.get("after")
        if after is None:
            values = self.stale_values if self.faults.get("stale_reads") else None
            value = (self.values if values is None else values).get(key)
            return _value_response(value)
        wait_deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            self._expire_leases()
            value = self.values.get(key)
            version = value.version if value else 0
            remaining_s = wait_deadline_s - time.monotonic()
            if version != int(after):
                return _value_response(value)
            if remaining_s <= 0:
                return web.Response(status=304)
            if self.faults.get("down"):
                return _abort_connection(request)
            values_changed = self.values_changed
            try:
                # Leases expire without a call, so the wait is split into short steps.
                async with asyncio.timeout(min(remaining_s, 0.02)):
                    await values_changed.wait()
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
        self._notify_waiters()
        return web.json_response({"version": self.revision})

    def _handle_lease_call(
        self, method: str, path_parts: list[str], body: bytes
    ) -> web.Response:
        now_s = time.monotonic()
        if method == "POST" and not path_parts:
            lease_id = secrets.token_hex(8)
            ttl_s = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease_id] = (now_s + ttl_s, ttl_s)
            return web.json_response({"lease_id": lease_id})
        lease_id = path_parts[0]
        if lease_id not in self.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        if method == "DELETE":
            self._remove_lease(lease_id)
            return web.json_response({})
        ttl_s = self.leases[lease_id][1]
        self.leases[lease_id] = (now_s + ttl_s, ttl_s)
        return web.json_response({})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        expired = [key for key, (end_s, _) in self.leases.items() if end_s <= now_s]
        for lease_id in expired:
            self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: str) -> None:
        del self.leases[lease_id]
        for key in [k for k, v in self.values.items() if v.lease_id == lease_id]:
            del self.values[key]
            self.revision += 1
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self.values_changed.set()
        self.values_changed = asyncio.Event()

    def _admit_call(self, kind: str) -> bool:
        now_s = time.monotonic()
        if now_s - self.rate_window["started_s"] >= 1.0:
            self.rate_window = {"started_s": now_s, "reads": 0, "writes": 0}
        self.rate_window[kind] += 1
        if self.rate_window[kind] > (WRITES_PER_S if kind == "writes" else READS_PER_S):
            self.call_counts["refused"] += 1
            return False
        self.call_counts[kind] += 1
        return True

    async def _handle_admin(self, request: web.BaseRequest, name: str) -> web.Response:
        if name == "faults":
            self.faults = await request.json()
            self.stale_values = dict(self.values)
            self._notify_waiters()
        return web.json_response(
            {
                "calls": self.call_counts,
                "faults": self.faults,
                "keys": {key: value.version for key, value in self.values.items()},
            }
        )


def _value_response(value: Value | None) -> web.Response:
    if value is None:
        return web.json_response({"error": "no such key"}, status=404)
    data = base64.b64encode(value.data).decode()
    return web.json_response({"version": value.version, "data": data})


def _abort_connection(request: web.BaseRequest) -> web.Response:
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
