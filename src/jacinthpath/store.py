"""Interface to the platform's key-value service, and its adapter over HTTP.

Versions strictly increase for as long as the store exists, also across deletes,
so the version of a value that was created by compare-and-swap can serve as a
fencing token.
"""

from __future__ import annotations

__all__ = ["HttpKeyValueStore", "KeyValueStore", "StoredValue", "StoreCallResult"]

import base64
import json
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import aiohttp

from .errors import StoreOutcomeUnknown, StoreUnavailable, VersionConflict
from .http_sessions import disable_retries
from .json_documents import UNREADABLE, describe, parse_json

MAX_VALUE_BYTES = 1_000_000


class StoredValue(NamedTuple):
    """A value and its version; the version is 0 only for an absent key."""

    version: int
    data: bytes


class StoreCallResult(NamedTuple):
    """Raw result of one call.

    :param status: HTTP status, 0 when there was no response.
    :param body: body of the response.
    :param sent: whether the call may have reached the store.
    """

    status: int
    body: bytes
    sent: bool


class KeyValueStore(Protocol):
    """Operations that the system needs from the platform's key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None``."""

    async def compare_and_swap(
        self, key: str, expected_version: int, data: bytes, lease_id: str = ""
    ) -> int:
        """Write a value if the key still has the expected version.

        :param expected_version: 0 to create a key that does not exist.
        :param lease_id: lease whose end deletes the key; empty for none.
        :return: the new version.
        :raises VersionConflict: another write came first.
        :raises StoreOutcomeUnknown: there was no response; the write may have taken
            effect.
        """

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> StoredValue | None:
        """Wait until the key's version differs from ``after_version``.

        Returns ``None`` when the key is absent or nothing changed in time.
        """

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its identifier."""

    async def keep_lease(self, lease_id: str) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""


class HttpKeyValueStore:
    """Adapter to a key-value service over HTTP and JSON.

    :param url: address of the service.
    :param call_timeout_s: longest wait for a response.
    """

    def __init__(
        self,
        url: str,
        call_timeout_s: float = 0.4,
    ) -> None:
        self.url = url.rstrip("/")
        self.call_timeout_s = call_timeout_s
        self.calls = 0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        connector = aiohttp.TCPConnector(limit=16, keepalive_timeout=60)
        self._session = disable_retries(aiohttp.ClientSession(connector=connector))

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> StoredValue | None:
        """See :meth:`KeyValueStore.get`."""
        result = await self._call("GET", f"/kv/{quote(key, safe='')}")
        return None if result.status == 404 else _read_value(result)

    async def compare_and_swap(
        self, key: str, expected_version: int, data: bytes, lease_id: str = ""
    ) -> int:
        """See :meth:`KeyValueStore.compare_and_swap`."""
        body = {
            "expected_version": expected_version,
            "data": base64.b64encode(data).decode(),
            "lease_id": lease_id,
        }
        result = await self._call("PUT", f"/kv/{quote(key, safe='')}", body)
        try:
            version = _read_field(result, "version")
        except StoreUnavailable as error:
            raise StoreOutcomeUnknown(error.message, error.remedy) from error
        if result.status == 409:
            raise VersionConflict(key, expected_version, version)
        return version

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> StoredValue | None:
        """See :meth:`KeyValueStore.watch`."""
        wait_ms = int(wait_s * 1000)
        path = f"/kv/{quote(key, safe='')}?after={after_version}&wait_ms={wait_ms}"
        result = await self._call("GET", path, extra_wait_s=wait_s)
        return None if result.status in (404, 304) else _read_value(result)

    async def grant_lease(self, ttl_ms: int) -> str:
        """See :meth:`KeyValueStore.grant_lease`."""
        result = await self._call("POST", "/leases", {"ttl_ms": ttl_ms})
        return _read_field(result, "lease_id")

    async def keep_lease(self, lease_id: str) -> bool:
        """See :meth:`KeyValueStore.keep_lease`."""
        result = await self._call("POST", f"/leases/{lease_id}/keep")
        return result.status == 200

    async def revoke_lease(self, lease_id: str) -> None:
        """See :meth:`KeyValueStore.revoke_lease`."""
        await self._call("DELETE", f"/leases/{lease_id}")

    async def send_call(
        self, method: str, path: str, body: bytes, extra_wait_s: float = 0.0
    ) -> StoreCallResult:
        """Make one call, possibly for a peer, and return its raw result."""
        if self._session is None:
            return StoreCallResult(0, b"", False)
        timeout = aiohttp.ClientTimeout(
            total=self.call_timeout_s + extra_wait_s, connect=self.call_timeout_s
        )
        self.calls += 1
        try:
            async with self._session.request(
                method, self.url + path, data=body or None, timeout=timeout
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError:
            return StoreCallResult(0, b"", False)
        except (TimeoutError, aiohttp.ClientError):
            return StoreCallResult(0, b"", True)
        return StoreCallResult(response.status, content, True)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_wait_s: float = 0.0,
    ) -> StoreCallResult:
        encoded = json.dumps(body).encode() if body is not None else b""
        result = await self.send_call(method, path, encoded, extra_wait_s)
        if 0 < result.status < 500:
            return result
        if result.sent and method != "GET" and result.status != 503:
            raise StoreOutcomeUnknown(
                "The store's response was lost; the write may have taken effect.",
                "Read the value back to find out.",
            )
        raise StoreUnavailable(
            "The store cannot be reached.", "Check store_url and the platform."
        )


def _read_value(result: StoreCallResult) -> StoredValue:
    version = _read_field(result, "version")
    try:
        data = base64.b64decode(_read_field(result, "data"))
    except UNREADABLE as error:
        raise _unreadable_error(error) from error
    return StoredValue(version, data)


def _read_field(result: StoreCallResult, name: str) -> Any:
    """Return a field of a response.

    :raises StoreUnavailable: the response cannot be read.
    """
    try:
        return parse_json(result.body)[name]
    except UNREADABLE as error:
        raise _unreadable_error(error) from error


def _unreadable_error(error: Exception) -> StoreUnavailable:
    return StoreUnavailable(
        f"The store's response cannot be read: {describe(error)}.",
        "Check store_url and the platform.",
    )
