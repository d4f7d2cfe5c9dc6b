"""Stand-in for the platform's store, with the calls that its pages publish."""

from __future__ import annotations

__all__ = ["PlatformStoreStandIn"]

import asyncio
import base64
import time
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500


class PlatformStoreStandIn:
    """A linearizable store with leases and watches, kept in memory.

    ``mode`` changes how it answers: ``up``, ``busy`` (503), ``silent`` or ``lossy``
    (writes are done and not answered).
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.mode = "up"
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.forgotten = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self._next_lease = 1
        self._runner: web.AppRunner | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; ``address`` then holds the port in use."""
        self._runner = web.AppRunner(self._application(), shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a value as the operator or a server does."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "removed": True})

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def forget_history(self) -> None:
        """Drop all events, so that watches from earlier revisions end with 410."""
        self.forgotten = self.revision
        self.events.clear()
        self._wake()

    def _application(self) -> web.Application:
        application = web.Application(middlewares=[self._answer_by_mode])
        application.router.add_get("/-/kv-key", self._key)
        application.router.add_get("/-/kv-range", self._range)
        application.router.add_get("/-/kv-watch", self._watch)
        application.router.add_post("/-/kv-txn", self._txn)
        application.router.add_post("/-/kv-lease", self._lease)
        application.router.add_post("/-/kv-keep/{lease}", self._keep)
        application.router.add_delete("/-/kv-lease-end/{lease}", self._end)
        return application

    @web.middleware
    async def _answer_by_mode(self, request: web.Request, handler: Any) -> Any:
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "silent":
            await asyncio.sleep(60)
        response = await handler(request)
        if self.mode == "lossy" and request.method == "POST":
            request.transport.close()
        return response

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"current_rev": self.revision}, status=404)
        return web.json_response({**item, "current_rev": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "")
        prefix = request.query["prefix"]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": page,
                "has_more": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                return web.json_response({}, status=410)
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return web.json_response(
                    {"events": found, "current_rev": self.revision}
                )
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        rows = body["expected_revision"]
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[r["key"]] for r in rows if r["key"] in self.items]
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

    async def _lease(self, request: web.Request) -> web.Response:
        text = (await request.json())["ttl_time"]
        ttl_s = float(text.removesuffix("ms")) / 1000
        lease = self._next_lease
        self._next_lease += 1
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"lease": lease, "ttl_time": text})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"ttl_time": f"{int(ttl_s * 1000)}ms"})

    async def _end(self, request: web.Request) -> web.Response:
        self._end_lease(int(request.match_info["lease"]))
        return web.json_response({})

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.mode != "up":
                continue
            now = time.monotonic()
            for lease, (ends, _) in [*self.leases.items()]:
                if ends <= now:
                    self._end_lease(lease)

    def _note(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
