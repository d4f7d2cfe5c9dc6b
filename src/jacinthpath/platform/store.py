"""HTTP client of the platform's store."""

from __future__ import annotations

__all__ = ["WATCHED_KEYS", "PlatformStore"]

import base64
import json
import re
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp

from ..errors import StoreError, StoreOutcomeUnknown, StoreUnavailable
from ..gateway.revisions import (
    MAX_ERA,
    MAX_STORE_REVISION,
    era_of_revision,
    make_revision,
    store_revision_of,
)
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
from ..json_documents import (
    UNREADABLE,
    check_integer,
    describe,
    parse_json,
)
from ..logs import get_logger
from .headers import STORE_ERA
from .http import open_session
from .values import MalformedValue, format_duration, parse_duration_s

WATCHED_KEYS = WatchedKeys(configuration="op/config", servers_prefix="servers/")

CALL_TIMEOUT_S = 1.0
"""Longest wait for a response. A busy store takes 0.4 s to respond; a store that does
not respond must be noticed well within the lease of the leader."""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""A page holds about 1 MB, and a single value 1 MB before its encoding."""

KEEPALIVE_TIMEOUT_S = 30.0

_ERA = re.compile(r"[0-9]{1,6}")

Decoded = TypeVar("Decoded")

_log = get_logger()


class _ResponseTooLong(StoreUnavailable):
    """A response is longer than a host may hold."""


class _StoreResponse(NamedTuple):
    """A response of the store.

    :param era: era that its revisions and leases belong to.
    """

    status: int
    body: dict[str, Any]
    era: int

    def revision(self, field: str) -> int:
        """Return a revision in the body, with the era."""
        return _make_revision(self.era, self.body[field])

    def items(self) -> list[Item]:
        """Return the items in the body that can be read; a missing one has no value."""
        present = [item for item in self.body["items"] if "value" in item]
        return _decode_each(_decode_item, present, self.era)

    def last_key(self) -> str | None:
        """Return the key after which the next page begins."""
        keys = [item.get("key") for item in self.body["items"]]
        return next((key for key in reversed(keys) if isinstance(key, str)), None)

    def changes(self) -> list[Change]:
        """Return the events in the body that can be read."""
        return _decode_each(_decode_change, self.body["events"], self.era)


class PlatformStore:
    """See :class:`jacinthpath.gateway.store.Store`.

    Revisions and lease ids are combined with the era of the response that they come
    from; a call with one of another era fails like a call with an outdated one.

    :param address: ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.era = 0
        self.malformed_eras = 0
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
        if response.status == 404:
            return None
        with _reading("GET", "kv-key"):
            return _decode_item(response.body, response.era)

    async def list(self, prefix: str) -> Listing:
        """See :meth:`Store.list`."""
        items: list[Item] = []
        revision = 0
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        cursor = ""
        while True:
            page = await self._call("GET", path + cursor)
            with _reading("GET", "kv-range"):
                items.extend(page.items())
                last_key = page.last_key()
                # Later pages may hold newer items. A watch from the revision of the
                # first page delivers these changes again.
                revision = revision or page.revision("current_rev")
            if page.era != era_of_revision(revision):
                raise _unavailable_error("kv-range", "the store was restored")
            if not page.body.get("has_more") or last_key is None:
                return Listing(tuple(items), revision)
            cursor = f"&after={quote(last_key, safe='', errors='replace')}"

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """See :meth:`Store.watch`."""
        era = era_of_revision(after)
        if era != self.era:
            raise _history_lost_error(after)
        path = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={store_revision_of(after)}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._call("GET", path, extra_wait_s=wait_s)
        except _ResponseTooLong as error:
            # The same watch would fail again; pages of a list are bounded.
            raise _history_lost_error(after) from error
        # In another era the same number stands for another change.
        if response.status == 410 or response.era != era:
            raise _history_lost_error(after)
        with _reading("GET", "kv-watch"):
            changes = tuple(response.changes())
            return ChangeBatch(changes, response.revision("current_rev"))

    async def write(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """See :meth:`Store.write`."""
        if any(
            revision and era_of_revision(revision) != self.era
            for _, revision in conditions
        ):
            raise ConflictingWrite(())
        if any(
            write.lease_id and era_of_revision(write.lease_id) != self.era
            for write in writes
        ):
            raise _lease_ended_error()
        body = {
            # "expected_revision" is a list of objects with a key and its revision.
            "expected_revision": [
                {"key": key, "revision": store_revision_of(revision)}
                for key, revision in conditions
            ],
            "puts": [_encode_write(write) for write in writes],
            "deletes": [],
        }
        response = await self._call("POST", "/-/kv-txn", body)
        if response.status == 404:
            raise _lease_ended_error()
        with _reading("POST", "kv-txn"):
            if response.status == 412:
                raise ConflictingWrite(tuple(response.items()))
            return response.revision("revision")

    async def create_lease(self, ttl_s: float) -> Lease:
        """See :meth:`Store.create_lease`."""
        body = {"ttl_time": format_duration(ttl_s)}
        response = await self._call("POST", "/-/kv-lease", body)
        with _reading("POST", "kv-lease"):
            ttl_s = parse_duration_s(response.body["ttl_time"])
            return Lease(response.revision("lease"), ttl_s)

    async def renew_lease(self, lease_id: int) -> None:
        """See :meth:`Store.renew_lease`."""
        era = era_of_revision(lease_id)
        if era == self.era:
            number = store_revision_of(lease_id)
            response = await self._call("POST", f"/-/kv-keep/{number}")
            if response.status != 404 and response.era == era:
                return
        raise _lease_ended_error()

    async def revoke_lease(self, lease_id: int) -> None:
        """See :meth:`Store.revoke_lease`."""
        if era_of_revision(lease_id) == self.era:
            number = store_revision_of(lease_id)
            await self._call("DELETE", f"/-/kv-lease-end/{number}")

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
                content = await _read_content(response, name)
                era = self._read_era(response.headers.get(STORE_ERA))
        except _ResponseTooLong as error:
            if method == "GET":
                raise
            raise _unknown_outcome_error(method, name, error) from error
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _unavailable_error(name, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _unknown_outcome_error(method, name, error) from error
        return _check_response(method, name, response.status, content, era)

    def _read_era(self, value: str | None) -> int:
        """Return the era of a response, and remember the highest.

        A late response of an earlier era keeps its own. One whose era cannot be read is
        taken as a response of the current one.
        """
        if value is None:
            return self.era
        if not (_ERA.fullmatch(value) and int(value) <= MAX_ERA):
            self.malformed_eras += 1
            return self.era
        self.era = max(self.era, int(value))
        return int(value)


async def _read_content(response: aiohttp.ClientResponse, name: str) -> bytes:
    """Return the body of a response to the call ``name``.

    :raises _ResponseTooLong: it is longer than a host may hold.
    """
    content = bytearray()
    async for part in response.content.iter_any():
        content += part
        if len(content) > MAX_RESPONSE_BYTES:
            raise _ResponseTooLong(
                f"{name}: the response has over {MAX_RESPONSE_BYTES} bytes.",
                "Look for large values under the prefix that is read.",
            )
    return bytes(content)


def _check_response(
    method: str, name: str, status: int, content: bytes, era: int
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
        body = parse_json(content) if content else {}
    except ValueError as error:
        raise _unknown_outcome_error(method, name, error) from error
    if not isinstance(body, dict):
        raise _unknown_outcome_error(method, name, "the body is no object")
    return _StoreResponse(status, body, era)


@contextmanager
def _reading(method: str, name: str) -> Iterator[None]:
    """Turn an error in reading a response into one of the store.

    :raises StoreUnavailable: nothing was done by the call, which reads only.
    :raises StoreOutcomeUnknown: a write may have been done.
    """
    try:
        yield
    except (*UNREADABLE, MalformedValue) as error:
        raise _unknown_outcome_error(method, name, describe(error)) from error


def _unavailable_error(name: str, cause: object) -> StoreUnavailable:
    return StoreUnavailable(
        f"{name}: the store did not execute the call: {cause}.",
        "Check the platform's store.",
    )


def _lease_ended_error() -> LeaseEnded:
    return LeaseEnded("The lease has ended.", "Create another one.")


def _history_lost_error(after: int) -> HistoryLost:
    return HistoryLost(
        f"The store no longer has the history after revision {after}.",
        "List the keys again.",
    )


def _unknown_outcome_error(method: str, name: str, cause: object) -> StoreError:
    if method == "GET":
        return _unavailable_error(name, cause)
    return StoreOutcomeUnknown(
        f"{name}: the outcome of the call is unknown: {cause!r}.",
        "Read the value back to see whether it was written.",
    )


def _decode_item(item: dict[str, Any], era: int) -> Item:
    value = _decode_value(item.get("value") or "")
    revision = _make_revision(era, item["revision"])
    return Item(_check_key(item["key"]), value, revision)


def _decode_change(event: dict[str, Any], era: int) -> Change:
    value = None if event.get("removed") else _decode_value(event["value"])
    revision = _make_revision(era, event["revision"])
    return Change(_check_key(event["key"]), value, revision)


def _decode_value(value: Any) -> bytes:
    return base64.b64decode(value, validate=True)


def _check_key(key: Any) -> str:
    if not isinstance(key, str):
        raise TypeError("a key is not a string")
    return key


def _make_revision(era: int, store_revision: Any) -> int:
    return make_revision(era, check_integer(store_revision, 0, MAX_STORE_REVISION))


def _decode_each(
    decode: Callable[[Any, int], Decoded], rows: list[Any], era: int
) -> list[Decoded]:
    """Return the rows that can be read; one that cannot costs no other."""
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row, era))
        except UNREADABLE as error:
            _log.warning("store_item_refused", error=describe(error))
    return decoded


def _encode_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    put: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease_id:
        put["lease"] = store_revision_of(write.lease_id)
    return put
