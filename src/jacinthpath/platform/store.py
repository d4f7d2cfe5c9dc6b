"""HTTP client of the platform's store."""

from __future__ import annotations

__all__ = ["WATCHED_KEYS", "PlatformStore"]

import base64
import json
import re
from collections import defaultdict
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import aiohttp

from ..errors import StoreOutcomeUnknown, StoreUnavailable
from ..gateway.revisions import (
    MAX_ERA,
    era_of_revision,
    store_revision_of,
)
from ..gateway.sockets import open_keepalive_socket
from ..gateway.store import (
    CallFailure,
    ChangeBatch,
    Condition,
    ConflictingWrite,
    Item,
    Lease,
    Listing,
    Write,
)
from ..gateway.store_eras import StoreEras
from ..gateway.store_watcher import WatchedKeys
from .headers import STORE_ERA
from .http import open_session
from .store_responses import (
    MAX_ENTRY_BYTES,
    MAX_VALUE_BYTES,
    ResponseTooLong,
    StoreResponse,
    check_response,
    history_lost_error,
    lease_ended_error,
    read_content,
    reading,
    unavailable_error,
    unknown_outcome_error,
)
from .values import format_duration, parse_duration_s

WATCHED_KEYS = WatchedKeys(
    configuration="op/config",
    servers_prefix="servers/",
    evacuations_prefix="op/evacuate/",
)

CALL_TIMEOUT_S = 1.0
"""Longest wait for a response. A busy store takes 0.4 s to respond; a store that does
not respond must be noticed well within the lease of the leader."""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16
KEEPALIVE_TIMEOUT_S = 30.0

_ERA = re.compile(r"[0-9]{1,6}")


class PlatformStore:
    """See :class:`jacinthpath.gateway.store.Store`.

    Revisions and lease ids are combined with the era of the response that they come
    from; a call with one of another era fails like a call with an outdated one.

    :param address: ``IP:port`` of the store.
    :param eras: is told the era of each response.
    """

    def __init__(self, address: str, eras: StoreEras | None = None) -> None:
        self._eras = eras or StoreEras(is_first_start=False)
        self.malformed_eras = 0
        self.calls: dict[str, int] = defaultdict(int)
        self.failures: dict[CallFailure, int] = defaultdict(int)
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    @property
    def era(self) -> int:
        """Highest era that a response had."""
        return self._eras.newest

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
        with reading("GET", "kv-key"):
            return response.item()

    async def list(
        self, prefix: str, handle_page: Callable[[Listing], None] | None = None
    ) -> Listing:
        """See :meth:`Store.list`."""
        items: list[Item] = []
        revision = 0
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        cursor = ""
        while True:
            page = await self._call(
                "GET", path + cursor, max_value_bytes=_max_value_bytes(prefix)
            )
            with reading("GET", "kv-range"):
                page_items = page.items()
                items += page_items
                last_key = page.last_key()
                # Later pages may hold newer items. A watch from the revision of the
                # first page delivers these changes again.
                revision = revision or page.revision("current_rev")
            if page.era != era_of_revision(revision):
                raise unavailable_error("kv-range", "the store was restored")
            if not page.body.get("has_more") or last_key is None:
                return Listing(tuple(items), revision)
            if handle_page is not None:
                handle_page(Listing(tuple(page_items), revision))
            cursor = f"&after={quote(last_key, safe='', errors='replace')}"

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """See :meth:`Store.watch`."""
        era = era_of_revision(after)
        if era != self.era:
            raise history_lost_error(after)
        path = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={store_revision_of(after)}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._call(
                "GET",
                path,
                extra_wait_s=wait_s,
                max_value_bytes=_max_value_bytes(prefix),
            )
        except ResponseTooLong as error:
            # The same watch would fail again; pages of a list are bounded.
            raise history_lost_error(after) from error
        # In another era the same number stands for another change.
        if response.status == 410 or response.era != era:
            raise history_lost_error(after)
        with reading("GET", "kv-watch"):
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
            raise lease_ended_error()
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
            raise lease_ended_error()
        with reading("POST", "kv-txn"):
            if response.status == 412:
                raise ConflictingWrite(tuple(response.items()))
            return response.revision("revision")

    async def create_lease(self, ttl_s: float) -> Lease:
        """See :meth:`Store.create_lease`."""
        body = {"ttl_time": format_duration(ttl_s)}
        response = await self._call("POST", "/-/kv-lease", body)
        with reading("POST", "kv-lease"):
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
        raise lease_ended_error()

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
        max_value_bytes: int = MAX_VALUE_BYTES,
    ) -> StoreResponse:
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
            return await self._send(
                method, name, path, body, extra_wait_s, max_value_bytes
            )
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
        max_value_bytes: int,
    ) -> StoreResponse:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + extra_wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        data = json.dumps(body).encode() if body is not None else None
        headers = {"Content-Type": "application/json"} if data else None
        try:
            async with self._session.request(
                method, self._base + path, data=data, headers=headers, timeout=timeout
            ) as response:
                content = await read_content(response, name, max_value_bytes)
                era = self._read_era(response.headers.get(STORE_ERA))
        except ResponseTooLong as error:
            if method == "GET":
                raise
            raise unknown_outcome_error(method, name, error) from error
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise unavailable_error(name, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise unknown_outcome_error(method, name, error) from error
        return check_response(method, name, response.status, content, era)

    def _read_era(self, value: str | None) -> int:
        """Return the era of a response, and remember the highest.

        A late response of an earlier era keeps its own. One whose era cannot be read is
        taken as a response of the current one.
        """
        if value is None:
            era = self.era
        elif _ERA.fullmatch(value) and int(value) <= MAX_ERA:
            era = int(value)
        else:
            self.malformed_eras += 1
            era = self.era
        self._eras.record(era)
        return era


def _max_value_bytes(prefix: str) -> int:
    """Return the longest value to read under a prefix."""
    is_servers = prefix == WATCHED_KEYS.servers_prefix
    return MAX_ENTRY_BYTES if is_servers else MAX_VALUE_BYTES


def _encode_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    put: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease_id:
        put["lease"] = store_revision_of(write.lease_id)
    return put
