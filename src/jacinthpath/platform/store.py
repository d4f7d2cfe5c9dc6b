"""HTTP client of the platform's store."""

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
from .values import format_duration, parse_duration_s

WATCHED_KEYS = WatchedKeys(configuration="op/config", servers_prefix="servers/")

CALL_TIMEOUT_S = 1.0
"""Longest wait for a response. A busy store takes 0.4 s to respond; a store that does
not respond must be noticed well within the lease of the leader."""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16
KEEPALIVE_TIMEOUT_S = 30.0


class _StoreResponse(NamedTuple):
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
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
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
        response = await self._call("GET", f"/-/kv-key?key={quote(key, safe='')}")
        return None if response.status == 404 else _decode_item(response.body)

    async def list(self, prefix: str) -> Listing:
        """See :meth:`Store.list`."""
        items: list[Item] = []
        revision = 0
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        cursor = ""
        while True:
            page = await self._call("GET", path + cursor)
            page_items = [_decode_item(item) for item in page.body["items"]]
            # Later pages may hold newer items. A watch from the revision of the first
            # page delivers these changes again.
            revision = revision or page.body["current_rev"]
            items.extend(page_items)
            if not page.body.get("has_more") or not page_items:
                return Listing(tuple(items), revision)
            cursor = f"&after={quote(page_items[-1].key, safe='')}"

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """See :meth:`Store.watch`."""
        path = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(wait_s * 1000)}"
        )
        response = await self._call("GET", path, extra_wait_s=wait_s)
        if response.status == 410:
            raise HistoryLost(
                f"The store no longer has the history after revision {after}.",
                "List the keys again.",
            )
        changes = tuple(_decode_change(event) for event in response.body["events"])
        return ChangeBatch(changes, response.body["current_rev"])

    async def write(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """See :meth:`Store.write`."""
        body = {
            # "expected_revision" is a list of objects with a key and its revision.
            "expected_revision": [
                {"key": key, "revision": revision} for key, revision in conditions
            ],
            "puts": [_encode_write(write) for write in writes],
            "deletes": [],
        }
        response = await self._call("POST", "/-/kv-txn", body)
        if response.status == 412:
            current_items = tuple(
                _decode_item(item) for item in response.body["items"] if "value" in item
            )
            raise ConflictingWrite(current_items)
        if response.status == 404:
            raise LeaseEnded("The lease of the write has ended.", "Create another one.")
        return response.body["revision"]

    async def create_lease(self, ttl_s: float) -> Lease:
        """See :meth:`Store.create_lease`."""
        body = {"ttl_time": format_duration(ttl_s)}
        response = await self._call("POST", "/-/kv-lease", body)
        return Lease(
            response.body["lease"], parse_duration_s(response.body["ttl_time"])
        )

    async def renew_lease(self, lease_id: int) -> None:
        """See :meth:`Store.renew_lease`."""
        response = await self._call("POST", f"/-/kv-keep/{lease_id}")
        if response.status == 404:
            raise LeaseEnded(f"Lease {lease_id} has ended.", "Create another one.")

    async def revoke_lease(self, lease_id: int) -> None:
        """See :meth:`Store.revoke_lease`."""
        await self._call("DELETE", f"/-/kv-lease-end/{lease_id}")

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_wait_s: float = 0.0,
    ) -> _StoreResponse:
        """Call the store once; return the status and the decoded body.

        :raises StoreUnavailable: nothing was done.
        :raises StoreOutcomeUnknown: a write may have been done.
        """
        if self._session is None:
            raise StoreUnavailable(
                "The store client is not running.", "Start it first."
            )
        name = path.partition("?")[0].split("/")[2]
        self.calls[name] += 1
        try:
            return await self._send(method, name, path, body, extra_wait_s)
        except StoreUnavailable:
            self.failures[CallFailure(name, "unavailable")] += 1
            raise
        except StoreOutcomeUnknown:
            self.failures[CallFailure(name, "outcome-unknown")] += 1
            raise

    async def _send(
        self,
        method: str,
        name: str,
        path: str,
        body: dict[str, Any] | None,
        extra_wait_s: float,
    ) -> _StoreResponse:
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
            raise _unavailable_error(name, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _unknown_outcome_error(method, name, error) from error
        return _check_response(method, name, response.status, content)


def _check_response(
    method: str, name: str, status: int, content: bytes
) -> _StoreResponse:
    if status in (429, 503):
        raise _unavailable_error(name, f"status {status}")
    if status >= 500:
        raise _unknown_outcome_error(method, name, f"status {status}")
    if status in (400, 403):
        raise StoreError(
            f"{name}: status {status}: {content[:200]!r}.", "Report this error."
        )
    try:
        body = json.loads(content) if content else {}
    except ValueError as error:
        raise _unknown_outcome_error(method, name, error) from error
    return _StoreResponse(status, body)


def _unavailable_error(name: str, cause: object) -> StoreUnavailable:
    return StoreUnavailable(
        f"{name}: the store did not execute the call: {cause}.",
        "Check the platform's store.",
    )


def _unknown_outcome_error(method: str, name: str, cause: object) -> StoreError:
    if method == "GET":
        return _unavailable_error(name, cause)
    return StoreOutcomeUnknown(
        f"{name}: the outcome of the call is unknown: {cause!r}.",
        "Read the value back to see whether it was written.",
    )


def _decode_item(item: dict[str, Any]) -> Item:
    value = base64.b64decode(item.get("value") or "")
    return Item(item["key"], value, item["revision"])


def _decode_change(event: dict[str, Any]) -> Change:
    value = None if event.get("removed") else base64.b64decode(event["value"])
    return Change(event["key"], value, event["revision"])


def _encode_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    put: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease_id:
        put["lease"] = write.lease_id
    return put
