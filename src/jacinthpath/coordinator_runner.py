"""Runs the coordinator of one service and carries out its effects over the network."""

from __future__ import annotations

__all__ = ["CoordinatorRunner", "Peers"]

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Mapping
from typing import Any, NamedTuple

import aiohttp

from .authority import AuthorityTracker
from .configuration import Endpoint, ServicePolicy
from .coordination import Coordinator
from .coordination_events import (
    AuthorityExtended,
    AuthorityGained,
    AuthorityLost,
    Effect,
    EpochSeen,
    Event,
    GrantAnswered,
    LoadsChanged,
    PublishTable,
    ReleaseRequested,
    ReleaseRole,
    SendGrant,
    ServersChanged,
    TableCopied,
    TableWritten,
    Tick,
    WriteTable,
)
from .endpoints import EndpointClient
from .errors import FrameError, PeerUnavailable, StoreError
from .grant_messages import decode_answer, encode_grant
from .hotkeys import LoadReport
from .leases import LeaseCall
from .logs import get_logger
from .peers import PeerIdentity
from .placement import Placement, Plan, ServerState, plan_moves
from .slices import SliceTable
from .store_leases import CoordinationStore
from .vouches import VouchAnswer, VouchRequest, round_of

GRANT_TIMEOUT_S = 0.3
TABLE_READ_RETRY_INTERVAL_S = 0.05
WATCH_TIMEOUT_S = 20.0
WATCH_RETRY_INTERVAL_S = 0.2
MAX_TASKS = 4_096

_log = get_logger()


class Peers(NamedTuple):
    """Functions by which a coordinator reaches other control processes.

    :param data_centres_by_host: returns the data centre of each listed host.
    :param request_vouch: sends an inquiry or a request for a vouch; returns the
        answer with the host's table, ``None`` if it was not fetched.
    :param send_draft: asks a host to store a copy of a table.
    :param publish: disseminates an acknowledged table.
    """

    data_centres_by_host: Callable[[], Mapping[str, str]]
    request_vouch: Callable[
        [VouchRequest], Awaitable[tuple[VouchAnswer, SliceTable | None]]
    ]
    send_draft: Callable[[str, str, SliceTable], Awaitable[bool]]
    publish: Callable[[SliceTable], None]


class CoordinatorRunner:
    """Obtains the authority for one service, and coordinates it while it lasts.

    :param policy: the service's policy.
    :param started: when the process started.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        identity: PeerIdentity,
        data_centres: Iterable[str],
        started: float,
        min_uptime_s: float,
        store: CoordinationStore,
        endpoints: EndpointClient,
        peers: Peers,
        address: str,
    ) -> None:
        data_centres = tuple(data_centres)
        self.service = policy.service
        self.tracker = AuthorityTracker(
            policy.service,
            identity.process_id,
            data_centres,
            started,
            min_uptime_s=min_uptime_s,
        )
        self._coordinator = Coordinator(
            policy.service,
            _make_plan,
            data_centre=identity.data_centre,
            data_centres=data_centres,
            slice_count=policy.slice_count,
            address=address,
            fencing=policy.fencing,
            max_deadline_s=policy.deadline_ms / 1000,
        )
        self._placement = Placement(policy.slice_count)
        self._store = store
        self._endpoints = endpoints
        self._peers = peers
        self._local_table: SliceTable | None = None
        self._active_holder = ""
        self._recovered_tables: list[SliceTable | None] = []
        self._recovered_for = ""
        self._table_read_for = ""
        self._table_read_running = False
        self._lease_watch_running = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches: set[asyncio.Task[None]] = set()
        self.update_servers(policy)

    def update_servers(self, policy: ServicePolicy) -> None:
        """Apply the servers of a new configuration."""
        servers = {endpoint.server: endpoint for endpoint in policy.endpoints}
        self.handle(ServersChanged(servers))

    @property
    def slice_count(self) -> int:
        """Number of slices in the current table, 0 without authority."""
        table = self._coordinator.table
        if table is None or self.tracker.authority(_clock_s()) is None:
            return 0
        return len(table.owners)

    def add_report(self, report: LoadReport) -> None:
        """Add a router's load report, for the next plans."""
        self._placement.add_report(report, _clock_s())
        self.handle(LoadsChanged(self._placement))

    def record_table(self, table: SliceTable) -> None:
        """Record a table that reached this process."""
        self._local_table = table
        self.tracker.record_epoch(table.epoch)

    def tick(self, jitter: float, *, wanted: bool) -> None:
        """Do what is due; called periodically."""
        now = _clock_s()
        self.tracker.update_hosts(self._peers.data_centres_by_host(), now)
        if wanted and not self._lease_watch_running:
            self._lease_watch_running = True
            watch = asyncio.create_task(self._watch_lease())
            self._watches.add(watch)
            watch.add_done_callback(self._watches.discard)
        requests = self.tracker.tick(now, jitter, wanted=wanted)
        self._sync_authority()
        self.handle(Tick())
        self._dispatch(requests)

    def release(self) -> None:
        """Release the role, if this process has it."""
        self.handle(ReleaseRequested())
        self._sync_authority()

    async def wait_until_sent(self) -> None:
        """Wait until all messages in flight are answered or have failed."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = [*self._tasks, *self._watches]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def handle(self, event: Event) -> list[Effect]:
        """Pass an event to the coordinator, carry out and return the effects."""
        effects = self._coordinator.handle(event, _clock_s())
        for effect in effects:
            self._carry_out(effect)
        return effects

    def _sync_authority(self) -> None:
        """Report every change of authority to the coordinator at once."""
        authority = self.tracker.authority(_clock_s())
        holder = self.tracker.holder if authority else ""
        if holder != self._active_holder:
            if self._active_holder:
                _log.info("coordination_ended", service=self.service)
            self.handle(AuthorityLost())
            self._active_holder = holder
            self._table_read_for = ""
        if authority is None:
            return
        if self._coordinator.acting:
            self.handle(AuthorityExtended(authority.epoch, authority.end))
            return
        was_read = self._table_read_for == holder
        if not was_read and round_of(authority.epoch) == 0:
            if not self._table_read_running:
                self._table_read_running = True
                self._spawn(self._read_table(holder))
            return
        self._start_coordinating(was_read)

    def _start_coordinating(self, was_read: bool) -> None:
        authority = self.tracker.authority(_clock_s())
        if authority is None:
            return
        tables = [table for table in self._recovered_tables if table is not None]
        table = max(tables, key=lambda t: (t.epoch, t.version), default=None)
        newest = was_read or (table is not None and round_of(table.epoch) > 0)
        _log.info("coordinating", service=self.service, epoch=authority.epoch)
        inherited = authority.inherited_terms_end
        self.handle(
            AuthorityGained(authority.epoch, authority.end, inherited, table, newest)
        )

    async def _read_table(self, holder: str) -> None:
        try:
            _, table = await self._store.read_table()
        except StoreError:
            await asyncio.sleep(TABLE_READ_RETRY_INTERVAL_S)
        else:
            if self._active_holder == holder:
                self._recovered_tables.append(table)
                self._table_read_for = holder
        finally:
            self._table_read_running = False
        self._sync_authority()

    def _dispatch(self, requests: Iterable[VouchRequest | LeaseCall]) -> None:
        for request in requests:
            if isinstance(request, LeaseCall):
                self._spawn(self._call_store(request))
                continue
            if request.kind == "inquire" and self._recovered_for != request.holder:
                self._recovered_for = request.holder
                self._recovered_tables = [self._local_table]
            self._spawn(self._request_vouch(request))

    async def _watch_lease(self) -> None:
        lease = self.tracker.lease
        revision = 0
        try:
            while True:
                known, revision = (
                    revision,
                    await self._store.watch_lease(revision, WATCH_TIMEOUT_S),
                )
                lease.record_watch_status(True)
                if revision != known:
                    lease.handle_change()
        except StoreError:
            lease.record_watch_status(False)
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)
        finally:
            self._lease_watch_running = False

    async def _call_store(self, call: LeaseCall) -> None:
        result = await self._store.execute(call)
        self.tracker.handle_lease_result(call, result, _clock_s())
        self._sync_authority()

    async def _request_vouch(self, request: VouchRequest) -> None:
        try:
            answer, table = await self._peers.request_vouch(request)
        except (PeerUnavailable, FrameError, KeyError):
            return
        if self._recovered_for == request.holder:
            self._recovered_tables.append(table)
        self.tracker.handle_vouch_answer(request, answer, _clock_s())
        self._sync_authority()

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, SendGrant):
            self._spawn(self._send_grant(effect))
        elif isinstance(effect, WriteTable):
            self._spawn(self._write_table(effect.table))
            for host in self._peers.data_centres_by_host():
                self._spawn(self._replicate(host, effect.table))
        elif isinstance(effect, PublishTable):
            self._peers.publish(effect.table)
        elif isinstance(effect, EpochSeen):
            self.tracker.record_epoch(effect.epoch)
        elif isinstance(effect, ReleaseRole):
            _log.info("role_released", service=self.service)
            self._dispatch(self.tracker.release(_clock_s(), effect.terms_end))

    async def _send_grant(self, effect: SendGrant) -> None:
        try:
            _, document = await self._endpoints.post_json(
                effect.address, "/-/grant", encode_grant(effect.grant), GRANT_TIMEOUT_S
            )
            answer = decode_answer(document)
        except (aiohttp.ClientError, TimeoutError, OSError, FrameError, ValueError):
            return
        self.handle(GrantAnswered(effect.server, answer))

    async def _write_table(self, table: SliceTable) -> None:
        try:
            written = await self._store.write_table(table)
        except StoreError:
            return
        if written:
            self.handle(TableWritten(table.epoch, table.version))

    async def _replicate(self, host: str, table: SliceTable) -> None:
        data_centre = self._peers.data_centres_by_host().get(host, "")
        try:
            stored = await self._peers.send_draft(host, self.tracker.holder, table)
        except KeyError:
            return
        if stored:
            self.handle(TableCopied(table.epoch, table.version, data_centre))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= MAX_TASKS:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _clock_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_plan(
    table: SliceTable, servers: Mapping[str, Endpoint], loads: Placement | None
) -> Plan:
    """Return the next plan.

    :param loads: placement with the reported loads; ``None`` before any report.
    """
    states = {
        name: ServerState(weight=server.weight, leaving=server.state != "active")
        for name, server in servers.items()
    }
    if loads is None:
        return plan_moves(table, states)
    plan = loads.plan(_clock_s(), table, states)
    if not plan.urgent:
        return plan
    # An urgent plan is also made while handoffs are in flight, and then no key is
    # split or merged. With router fencing, each such change would restart the wait
    # for old requests and leave slices without an owner for longer.
    moves = [
        move
        for move in plan.moves
        if move.unit.kind != "key" or move.unit.index not in plan.splits
    ]
    return plan._replace(moves=tuple(moves), splits={}, merges=())
