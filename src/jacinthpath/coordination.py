"""Coordinator of one keyed service, as a state machine without I/O.

:meth:`Coordinator.handle` takes one event and returns the effects to carry out.
A table counts as durable once the store has it, or hosts in a majority of data
centres have. A server is granted a slice only under a durable table, and only
after every other process that may hold it has released it or its term has ended.
"""

from __future__ import annotations

__all__ = ["Coordinator"]

import math
from collections.abc import Callable, Iterable
from typing import Any, ClassVar

from .configuration import Endpoint
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
    RouterLeaseRequested,
    SendRouterLease,
    ServersChanged,
    TableCopied,
    TableWritten,
    Tick,
    WriteTable,
)
from .drafts import TableDraft, first_version
from .grant_schedule import GrantSchedule
from .grants import GrantAnswer
from .holdings import Holdings
from .planning import Planner, apply_plan_keeping_version
from .recovery import recover_table
from .router_leases import RouterLeases
from .slices import NO_OWNER, SliceTable

RECOVERY_LIMIT_S = 0.15  # Servers that have not answered by then count as lost.
# Two renewal intervals, so that a batch of moves is confirmed before the next one.
REBALANCE_INTERVAL_S = 0.2


class Coordinator:
    """Assigns each slice of one service to a server, while it has authority.

    :param service: service to coordinate.
    :param planner: ``planner(table, servers, loads)`` returns the next batch of
        moves, given the servers that are up.
    :param address: control address where routers request sending leases.
    :param data_centre: where this process runs.
    :param data_centres: all data centres of the system.
    :param max_deadline_s: longest deadline of a request, for services whose
        servers do not check grants.
    """

    def __init__(
        self,
        service: str,
        planner: Planner,
        *,
        data_centre: str,
        data_centres: Iterable[str],
        slice_count: int = 1024,
        address: str = "",
        fencing: str = "server",
        max_deadline_s: float = 10.0,
    ) -> None:
        self.service = service
        self._planner = planner
        self._data_centre = data_centre
        self._data_centres = tuple(data_centres)
        self._slice_count = slice_count
        self._address = address
        self._fencing = fencing
        self._max_deadline_s = max_deadline_s
        self._servers: dict[str, Endpoint] = {}
        self._loads: Any = None
        self._last_epoch = 0
        self._reset()

    def _reset(self) -> None:
        self._phase = "idle"
        self._epoch = 0
        self._authority_end = -math.inf
        self._recovery_started = -math.inf
        self._inherited_terms_end = -math.inf
        self._initial_table: SliceTable | None = None
        self._initial_table_is_newest = False
        self._claims: dict[str, GrantAnswer] = {}
        self._holdings = Holdings(self.service, self._slice_count)
        self._schedule = GrantSchedule(self._holdings)
        self._routers = RouterLeases(self._max_deadline_s)
        self._draft = TableDraft(self._data_centre, self._data_centres)
        self._next_plan_time = -math.inf

    @property
    def acting(self) -> bool:
        """Whether the coordinator was last known to have authority."""
        return self._phase != "idle"

    @property
    def table(self) -> SliceTable | None:
        """Newest table, which may not be durable yet."""
        return self._draft.table

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process one event and return the effects to carry out, in order.

        A delayed effect is harmless: a grant has no effect after its echoed
        stamp plus its term.

        :param now: monotonic time at which the event is handled.
        """
        if self._phase != "idle" and now >= self._authority_end:
            self._reset()
        effects = self._HANDLERS[type(event)](self, event, now)
        if self._phase != "idle":
            effects += self._advance(now)
        return effects

    def _handle_authority_gained(
        self, event: AuthorityGained, now: float
    ) -> list[Effect]:
        if event.epoch <= self._last_epoch:
            # Grant sequences restart with each recovery, so it needs a new epoch.
            return [ReleaseRole(self._granted_terms_end())]
        self._reset()
        if now >= event.end:
            return []
        self._phase = "recovering"
        self._last_epoch = event.epoch
        self._epoch = event.epoch
        self._authority_end = event.end
        self._recovery_started = now
        self._inherited_terms_end = event.inherited_terms_end
        self._initial_table = event.table
        self._initial_table_is_newest = event.table_is_newest
        self._holdings.begin_epoch(event.epoch)
        if event.table is not None:
            self._routers.begin(max(now, event.inherited_terms_end))
        for hash_value in event.table.hot_keys if event.table else ():
            self._holdings.track_key(hash_value)
        return self._inquiries(self._known_servers(), now)

    def _handle_authority_extended(
        self, event: AuthorityExtended, now: float
    ) -> list[Effect]:
        if self._phase == "idle":
            return []
        self._authority_end = max(self._authority_end, event.end)
        if event.epoch != self._epoch:
            self._epoch = self._last_epoch = event.epoch
            self._holdings.begin_epoch(event.epoch)
            self._schedule.mark_changed()
            if self._draft.table is not None:
                self._replace_table(self._draft.table)
        return []

    def _handle_authority_lost(self, event: AuthorityLost, now: float) -> list[Effect]:
        self._reset()
        return []

    def _handle_servers_changed(
        self, event: ServersChanged, now: float
    ) -> list[Effect]:
        known = self._known_servers()
        self._servers = {
            name: endpoint
            for name, endpoint in event.servers.items()
            if endpoint.state != "gone"
        }
        self._next_plan_time = now
        if self._phase == "idle":
            return []
        return self._inquiries(self._servers.keys() - known, now)

    def _handle_grant_answered(self, event: GrantAnswered, now: float) -> list[Effect]:
        if self._phase == "idle" or event.server not in self._known_servers():
            return []
        answer = event.answer
        was_up = self._is_up(event.server, now)
        if not self._schedule.handle_answer(event.server, answer, now):
            return []
        if not was_up:
            self._next_plan_time = now
        if answer.held is not None and answer.held_epoch < self._epoch:
            self._holdings.record_inherited(event.server, answer, now)
        if answer.held is not None and self._phase == "recovering":
            self._claims[event.server] = answer
        if answer.reason == "stale-epoch":
            return [EpochSeen(answer.epoch)]
        return []

    def _handle_loads_changed(self, event: LoadsChanged, now: float) -> list[Effect]:
        self._loads = event.loads
        return []

    def _handle_table_written(self, event: TableWritten, now: float) -> list[Effect]:
        self._draft.record_write(event.epoch, event.version)
        self._schedule.mark_changed()
        return []

    def _handle_table_copied(self, event: TableCopied, now: float) -> list[Effect]:
        self._draft.record_copy(event.epoch, event.version, event.data_centre)
        self._schedule.mark_changed()
        return []

    def _handle_router_lease_requested(
        self, event: RouterLeaseRequested, now: float
    ) -> list[Effect]:
        if self._phase == "idle":
            return []
        version = self._draft.published_version
        lease = self._routers.handle_request(event, version, self._authority_end, now)
        return [SendRouterLease(event.router, lease._replace(epoch=self._epoch))]

    def _handle_release_requested(
        self, event: ReleaseRequested, now: float
    ) -> list[Effect]:
        if self._phase == "idle":
            return []
        effects = self._renewals(now, force=True)
        terms_end = self._granted_terms_end()
        self._reset()
        return [*effects, ReleaseRole(terms_end)]

    def _granted_terms_end(self) -> float:
        """Return the latest end of the granted, leased and inherited terms."""
        ends = [self._holdings.terms.latest_end(name) for name in self._known_servers()]
        return max([*ends, self._routers.latest_end(), self._inherited_terms_end])

    def _handle_tick(self, event: Tick, now: float) -> list[Effect]:
        return []

    _HANDLERS: ClassVar[dict[type, Callable[[Any, Any, float], list[Effect]]]] = {
        AuthorityGained: _handle_authority_gained,
        AuthorityExtended: _handle_authority_extended,
        AuthorityLost: _handle_authority_lost,
        ServersChanged: _handle_servers_changed,
        GrantAnswered: _handle_grant_answered,
        LoadsChanged: _handle_loads_changed,
        TableWritten: _handle_table_written,
        TableCopied: _handle_table_copied,
        RouterLeaseRequested: _handle_router_lease_requested,
        ReleaseRequested: _handle_release_requested,
        Tick: _handle_tick,
    }

    def _advance(self, now: float) -> list[Effect]:
        self._schedule.expire(now)
        if self._phase == "recovering" and self._is_recovered(now):
            self._phase = "acting"
            claims = {} if self._initial_table_is_newest else self._claims
            recovered = recover_table(
                self.service, self._slice_count, self._initial_table, claims
            )
            self._replace_table(recovered)
        effects: list[Effect] = []
        if self._phase == "acting":
            # Routers get leases for the published version only, so the table is
            # published before a plan that relies on it being in force.
            if self._draft.is_publication_due():
                effects.append(PublishTable(self._draft.table))
            self._plan(now)
            if self._draft.is_write_due(now):
                effects.append(WriteTable(self._draft.table))
        return effects + self._renewals(now)

    def _newest_table(self) -> SliceTable | None:
        return self._draft.table or self._initial_table

    def _known_servers(self) -> set[str]:
        table = self._newest_table()
        owners = {*table.owners, *table.hot_keys.values()} if table else set()
        return {*self._servers, *owners} - {NO_OWNER}

    def _address_of(self, server: str) -> str:
        if server in self._servers:
            return self._servers[server].address
        table = self._newest_table()
        return table.addresses.get(server, "") if table else ""

    def _inquiries(self, servers: Iterable[str], now: float) -> list[Effect]:
        if self._fencing == "router":
            return []
        return [
            self._schedule.inquire(server, self._address_of(server), now)
            for server in sorted(servers)
        ]

    def _is_up(self, server: str, now: float) -> bool:
        """Whether a server is available for slices."""
        if self._fencing == "router":
            return server in self._servers
        return self._schedule.is_up(server, now)

    def _is_recovered(self, now: float) -> bool:
        if now >= self._recovery_started + RECOVERY_LIMIT_S:
            return True
        if self._fencing == "router":
            return bool(self._servers)
        return self._known_servers() <= self._claims.keys()

    def _replace_table(self, table: SliceTable) -> None:
        """Make a table the newest one; it must be durable before it takes effect."""
        owners = {*table.owners, *table.hot_keys.values()} - {NO_OWNER}
        for hash_value in table.hot_keys:
            self._holdings.track_key(hash_value)
        self._draft.replace(
            table._replace(
                version=max(table.version + 1, first_version(self._epoch)),
                epoch=self._epoch,
                addresses={name: self._address_of(name) for name in sorted(owners)},
                coordinator=self._address,
                fencing=self._fencing,
            )
        )
        self._schedule.mark_changed()

    def _plan(self, now: float) -> None:
        table = self._draft.table
        if not self._draft.durable:
            return
        self._holdings.untrack_merged_keys(table.hot_keys)
        up = {name: e for name, e in self._servers.items() if self._is_up(name, now)}
        usable = {name for name, e in up.items() if e.state == "active"}
        urgent = not self._draft.owners() <= usable
        if not urgent and (now < self._next_plan_time or self._is_handing_off(now)):
            return
        self._next_plan_time = now + REBALANCE_INTERVAL_S
        planned = apply_plan_keeping_version(
            table, self._planner(table, up, self._loads)
        )
        if self._fencing == "router":
            planned = self._routers.next_table(table, planned, now)
        if planned != table:
            self._replace_table(planned)

    def _is_handing_off(self, now: float) -> bool:
        """Whether an available server has not yet acknowledged all its items."""
        if self._fencing == "router":
            return False
        targets = self._draft.targets(self._holdings.tracked_keys)
        return any(
            self._is_up(server, now)
            and not items <= self._holdings.acknowledged(server)
            for server, items in targets.items()
        )

    def _renewals(self, now: float, *, force: bool = False) -> list[Effect]:
        if self._fencing == "router":
            return []
        servers = self._known_servers()
        if self._phase == "recovering":
            # Holdings are known only after recovery, so only inquiries are sent.
            servers = self._schedule.unanswered_servers(servers)
        unknown_holdings = now < self._inherited_terms_end and bool(
            self._schedule.unanswered_servers(servers)
        )
        return self._schedule.due_grants(
            {server: self._address_of(server) for server in servers},
            self._draft.targets(self._holdings.tracked_keys),
            now,
            authority_end=self._authority_end,
            # A server that has not answered may still serve under a term that a
            # released predecessor granted.
            may_add=self._draft.durable and not unknown_holdings,
            force=force,
        )
