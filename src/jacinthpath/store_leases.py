"""Executes the store calls for a coordinator's lease, generation and table."""

from __future__ import annotations

__all__ = ["CoordinationStore", "RelayedStore"]

import json
from collections.abc import Awaitable, Callable

from .errors import FrameError, StoreError, StoreUnavailable, VersionConflict
from .json_documents import parse_json
from .leases import LEASE_TTL_S, LeaseCall, LeaseResult, LeaseView
from .slices import SliceTable, decode_table, encode_table
from .store import HttpKeyValueStore, KeyValueStore, StoreCallResult

SendThroughPeer = Callable[[str, str, bytes], Awaitable[StoreCallResult]]


class RelayedStore(HttpKeyValueStore):
    """The store, called through another control process.

    :param send: sends one call through a peer.
    """

    def __init__(self, send: SendThroughPeer) -> None:
        super().__init__("")
        self._send = send

    async def send_call(
        self, method: str, path: str, body: bytes, extra_wait_s: float = 0.0
    ) -> StoreCallResult:
        """See :meth:`HttpKeyValueStore.send_call`."""
        return await self._send(method, path, body)


class CoordinationStore:
    """Lease, generation record and table of one service in the store.

    The lease is a key that is bound to a lease of the store and ends with it. The
    generation record and the table are separate keys and are never deleted.

    :param relayed: the same store, called through peers.
    """

    def __init__(
        self, service: str, store: KeyValueStore, relayed: KeyValueStore
    ) -> None:
        self._store = store
        self._relayed = relayed
        self._lease_key = f"coordinator/{service}"
        self._record_key = f"generation/{service}"
        self._table_key = f"table/{service}"
        self._lease_ids: dict[str, str] = {}

    async def execute(self, call: LeaseCall) -> LeaseResult:
        """Execute a call of the lease and return its result."""
        store = self._relayed if call.relay else self._store
        try:
            return await getattr(self, f"_{call.kind}")(store, call)
        except VersionConflict:
            return LeaseResult("conflict")
        except StoreUnavailable:
            return LeaseResult("unavailable")
        except (StoreError, KeyError, TypeError, ValueError):
            return LeaseResult("unknown")

    async def watch_lease(self, revision: int, wait_s: float) -> int:
        """Wait until the lease changes; return its revision, 0 when it is free.

        :param revision: last known revision.
        :raises StoreError: the store cannot be reached.
        """
        value = await self._store.watch(self._lease_key, revision, wait_s)
        return value.version if value is not None else 0

    async def read_table(self) -> tuple[int, SliceTable | None]:
        """Return the table in the store with the revision of its key.

        :raises StoreError: the store cannot be read.
        """
        value = await self._get(self._table_key)
        if value is None:
            return 0, None
        try:
            return value.version, decode_table(value.data)
        except FrameError:
            return value.version, None

    async def write_table(self, table: SliceTable) -> bool:
        """Write a table unless the store has a newer one; return whether it is stored.

        Tables are ordered by epoch and then version.

        :raises StoreError: the write did not take effect or its answer was lost.
        """
        revision, stored = await self.read_table()
        if stored is not None:
            if (stored.epoch, stored.version) == (table.epoch, table.version):
                return True
            if (stored.epoch, stored.version) > (table.epoch, table.version):
                return False
        data = encode_table(table)
        try:
            await self._store.compare_and_swap(self._table_key, revision, data)
        except StoreUnavailable:
            await self._relayed.compare_and_swap(self._table_key, revision, data)
        return True

    async def _get(self, key: str):
        try:
            return await self._store.get(key)
        except StoreUnavailable:
            return await self._relayed.get(key)

    async def _read(self, store: KeyValueStore, call: LeaseCall) -> LeaseResult:
        # The lease is read first: a release writes its remaining term to the record
        # before it frees the lease.
        lease = await store.get(self._lease_key)
        value = await store.get(self._record_key)
        record = parse_json(value.data) if value else {}
        return LeaseResult(
            "done",
            LeaseView(
                revision=value.version if value else 0,
                generation=record.get("generation", 0),
                raised_by=record.get("raised_by", ""),
                live_holder=lease.data.decode() if lease else "",
                term_left_ms=record.get("term_left_ms", 0),
            ),
        )

    async def _acquire(self, store: KeyValueStore, call: LeaseCall) -> LeaseResult:
        lease_id = await store.grant_lease(int(LEASE_TTL_S * 1000))
        self._lease_ids = {call.identity: lease_id}
        identity = call.identity.encode()
        await store.compare_and_swap(self._lease_key, 0, identity, lease_id)
        return LeaseResult("done")

    async def _raise(self, store: KeyValueStore, call: LeaseCall) -> LeaseResult:
        record = {"generation": call.generation, "raised_by": call.identity}
        data = json.dumps(record).encode()
        await store.compare_and_swap(self._record_key, call.revision, data)
        return LeaseResult("done")

    async def _renew(self, store: KeyValueStore, call: LeaseCall) -> LeaseResult:
        kept = await store.keep_lease(self._lease_ids[call.identity])
        return LeaseResult("done" if kept else "conflict")

    async def _release(self, store: KeyValueStore, call: LeaseCall) -> LeaseResult:
        lease_id = self._lease_ids.get(call.identity)
        value = await store.get(self._record_key)
        record = parse_json(value.data) if value else {}
        if lease_id is None:
            return LeaseResult("done")
        if record.get("raised_by") == call.identity:
            record["term_left_ms"] = call.term_left_ms
            data = json.dumps(record).encode()
            await store.compare_and_swap(self._record_key, value.version, data)
        await store.revoke_lease(lease_id)
        return LeaseResult("done")
