"""Client of the platform's store."""

from __future__ import annotations

__all__ = ["WATCHED_KEYS", "PlatformStore"]

import base64
import json
from collections import defaultdict
from typing import Any, NamedTuple
from urllib.parse import quote

import aiohttp

from ..errors import StoreError, StoreOutcomeUnknown, StoreUnavailable
from ..gateway.sockets import open_keepalive_socket
from ..gateway.store import (
    CallFailure,
    Change,
    ChangeBatch,
    Condition,
    ConflictingWrite,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Write,
)
from ..gateway.store_watcher import WatchedKeys
from .http import open_session
from .values import duration_s, duration_text

WATCHED_KEYS = WatchedKeys(configuration="op/config", servers_prefix="servers/")

CALL_TIMEOUT_S = 1.0
"""Longest wait for an answer. An answer of the busy store takes 0.4 s; a silent one
must be noticed well within the lease of the leader."""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16
IDLE_CONNECTION_S = 30.0


class _Answer(NamedTuple):
    status: int
    body: dict[str, Any]


class PlatformStore:
    """See :class:`jacinthpath.gateway.store.Store`.

    :param address: ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.calls: dict[str, int] = defaultdict(int)
        self.failures: dict[CallFailure, int] = defaultdict(int)
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = open_session(
            aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS,
                keepalive_timeout=IDLE_CONNECTION_S,
                socket_factory=open_keepalive_socket,
            ),
            CONNECT_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, key: str) -> Item | None:
        """See :meth:`Store.read`."""
        answer = await self._call("GET", f"/-/kv-key?key={quote(key, safe='')}")
        return None if answer.status == 404 else _item(answer.body)

    async def list(self, prefix: str) -> Listing:
        """See :meth:`Store.list`."""
        found: list[Item] = []
        revision = 0
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        after = ""
        while True:
            page = await self._call("GET", path + after)
            items = [_item(item) for item in page.body["items"]]
            # Later pages may show newer items; a watch from the first page's
            # revision repeats what they show.
            revision = revision or page.body["current_rev"]
            found.extend(items)
            if not page.body.get("has_more") or not items:
                return Listing(tuple(found), revision)
            after = f"&after={quote(items[-1].key, safe='')}"

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """See :meth:`Store.watch`."""
        path = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(wait_s * 1000)}"
        )
        answer = await self._call("GET", path, extra_wait_s=wait_s)
        if answer.status == 410:
            raise HistoryLost(
                f"The history after revision {after} is gone.", "List the keys again."
            )
        changes = tuple(_change(event) for event in answer.body["events"])
        return ChangeBatch(changes, answer.body["current_rev"])

    async def write(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """See :meth:`Store.write`."""
        body = {
            # "expected_revision" holds rows of key and revision.
            "expected_revision": [
                {"key": key, "revision": revision} for key, revision in conditions
            ],
            "puts": [_put(write) for write in writes],
            "deletes": [],
        }
        answer = await self._call("POST", "/-/kv-txn", body)
        if answer.status == 412:
            current = tuple(
                _item(item) for item in answer.body["items"] if "value" in item
            )
            raise ConflictingWrite(current)
        if answer.status == 404:
            raise LeaseEnded("The lease of the write has ended.", "Open another.")
        return answer.body["revision"]

    async def create_lease(self, ttl_s: float) -> Lease:
        """See :meth:`Store.create_lease`."""
        body = {"ttl_time": duration_text(ttl_s)}
        answer = await self._call("POST", "/-/kv-lease", body)
        return Lease(answer.body["lease"], duration_s(answer.body["ttl_time"]))

    async def renew_lease(self, lease: int) -> None:
        """See :meth:`Store.renew_lease`."""
        answer = await self._call("POST", f"/-/kv-keep/{lease}")
        if answer.status == 404:
            raise LeaseEnded(f"Lease {lease} has ended.", "Open another.")

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`Store.revoke_lease`."""
        await self._call("DELETE", f"/-/kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_wait_s: float = 0.0,
    ) -> _Answer:
        """Make one call; return its status and decoded body.

        :raises StoreUnavailable: nothing was done.
        :raises StoreOutcomeUnknown: a write may have been done.
        """
        if self._session is None:
            raise StoreUnavailable("The store client is closed.", "Start it first.")
        name = path.partition("?")[0].split("/")[2]
        self.calls[name] += 1
        try:
            return await self._exchange(method, name, path, body, extra_wait_s)
        except StoreUnavailable:
            self.failures[CallFailure(name, "unavailable")] += 1
            raise
        except StoreOutcomeUnknown:
            self.failures[CallFailure(name, "outcome-unknown")] += 1
            raise

    async def _exchange(
        self,
        method: str,
        name: str,
        path: str,
        body: dict[str, Any] | None,
        extra_wait_s: float,
    ) -> _Answer:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + extra_wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        data = json.dumps(body).encode() if body is not None else None
        headers = {"Content-Type": "application/json"} if data else None
        try:
            async with self._session.request(
                method, self._base + path, data=data, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _unavailable(name, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _lost(method, name, error) from error
        return _checked(method, name, response.status, content)


def _checked(method: str, name: str, status: int, content: bytes) -> _Answer:
    if status in (429, 503):
        raise _unavailable(name, f"status {status}")
    if status >= 500:
        raise _lost(method, name, f"status {status}")
    if status in (400, 403):
        raise StoreError(f"{name}: status {status}: {content[:200]!r}.", "Report this.")
    try:
        body = json.loads(content) if content else {}
    except ValueError as error:
        raise _lost(method, name, error) from error
    return _Answer(status, body)


def _unavailable(name: str, found: object) -> StoreUnavailable:
    return StoreUnavailable(
        f"{name}: the store did nothing: {found}.", "Check the platform's store."
    )


def _lost(method: str, name: str, found: object) -> StoreError:
    if method == "GET":
        return _unavailable(name, found)
    return StoreOutcomeUnknown(
        f"{name}: the answer was lost: {found!r}.", "Read the value back to settle it."
    )


def _item(item: dict[str, Any]) -> Item:
    value = base64.b64decode(item.get("value") or "")
    return Item(item["key"], value, item["revision"])


def _change(event: dict[str, Any]) -> Change:
    value = None if event.get("removed") else base64.b64decode(event["value"])
    return Change(event["key"], value, event["revision"])


def _put(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    put: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease_id:
        put["lease"] = write.lease_id
    return put
