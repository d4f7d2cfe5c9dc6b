"""Stand-in for the platform's store, with its documented HTTP interface."""

from __future__ import annotations

__all__ = ["PlatformStoreStandIn"]

import asyncio
import base64
import time
from typing import Any, NamedTuple

from aiohttp import web

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
"""Sum of the values of a page, as encoded; a page has one item at least."""


class StoreCopy(NamedTuple):
    """Content of the store at one moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    next_lease_id: int


class PlatformStoreStandIn:
    """A linearizable store with leases and watches, kept in memory.

    ``mode`` is ``up``, ``busy`` (every call gets a 503), ``silent`` (calls are
    delayed by 60 s) or ``lossy`` (POST calls take effect, but the connection is closed
    without a response). Leases expire in the mode ``up`` only. ``era`` is sent in all
    responses unless it is 0. Each page of a range takes ``page_delay_s``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.mode = "up"
        self.era = 0
        self.page_delay_s = 0.0
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self._next_lease_id = 1
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen and set ``address`` to the address in use."""
        self._runner = web.AppRunner(self._build_application(), shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a value, as the operator or a server does."""
        self.revision += 1
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": previous["created_rev"] if previous else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "removed": True})

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def copy(self) -> StoreCopy:
        """Return a copy of the content, for :meth:`restore`."""
        return StoreCopy(
            self.revision, dict(self.items), dict(self.leases), self._next_lease_id
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: all that was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.leases = {
            lease: (time.monotonic() + ttl_s, ttl_s)
            for lease, (_, ttl_s) in copy.leases.items()
        }
        self._next_lease_id = copy.next_lease_id
        self.forget_history()

    def forget_history(self) -> None:
        """Drop all events, so that watches from earlier revisions get a 410."""
        self.compacted_revision = self.revision
        self.events.clear()
        self._notify_watchers()

    def _build_application(self) -> web.Application:
        application = web.Application(middlewares=[self._apply_mode])
        application.router.add_get("/-/kv-key", self._handle_key)
        application.router.add_get("/-/kv-range", self._handle_range)
        application.router.add_get("/-/kv-watch", self._handle_watch)
        application.router.add_post("/-/kv-txn", self._handle_transaction)
        application.router.add_post("/-/kv-lease", self._handle_create_lease)
        application.router.add_post("/-/kv-keep/{lease}", self._handle_renew_lease)
        application.router.add_delete(
            "/-/kv-lease-end/{lease}", self._handle_revoke_lease
        )
        return application

    @web.middleware
    async def _apply_mode(self, request: web.Request, handler: Any) -> Any:
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "silent":
            await asyncio.sleep(60)
        response = await handler(request)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        if self.mode == "lossy" and request.method == "POST":
            request.transport.close()
        return response

    async def _handle_key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"current_rev": self.revision}, status=404)
        return web.json_response({**item, "current_rev": self.revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "")
        prefix = request.query["prefix"]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = self._first_page(keys)
        body = {
            "items": page,
            "has_more": len(keys) > len(page),
            "current_rev": self.revision,
        }
        await asyncio.sleep(self.page_delay_s)
        return web.json_response(body)

    def _first_page(self, keys: list[str]) -> list[dict[str, Any]]:
        page: list[dict[str, Any]] = []
        left_bytes = MAX_PAGE_BYTES
        for key in keys[:MAX_PAGE_ITEMS]:
            left_bytes -= len(self.items[key]["value"])
            if page and left_bytes < 0:
                break
            page.append(self.items[key])
        return page

    async def _handle_watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return web.json_response({}, status=410)
            matching_events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - time.monotonic()
            if matching_events or remaining_s <= 0:
                return web.json_response(
                    {"events": matching_events, "current_rev": self.revision}
                )
            changed = self.changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        conditions = body["expected_revision"]
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                current = [
                    self.items[r["key"]] for r in conditions if r["key"] in self.items
                ]
                return web.json_response({"items": current}, status=412)
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return web.json_response({}, status=404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", ()):
            self.delete(key)
        return web.json_response({"revision": self.revision})

    async def _handle_create_lease(self, request: web.Request) -> web.Response:
        text = (await request.json())["ttl_time"]
        ttl_s = float(text.removesuffix("ms")) / 1000
        lease = self._next_lease_id
        self._next_lease_id += 1
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"lease": lease, "ttl_time": text})

    async def _handle_renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"ttl_time": f"{int(ttl_s * 1000)}ms"})

    async def _handle_revoke_lease(self, request: web.Request) -> web.Response:
        self._remove_lease(int(request.match_info["lease"]))
        return web.json_response({})

    def _remove_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.mode != "up":
                continue
            now_s = time.monotonic()
            for lease, (end_s, _) in [*self.leases.items()]:
                if end_s <= now_s:
                    self._remove_lease(lease)

    def _append_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
