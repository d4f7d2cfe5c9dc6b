"""Coordinator of one keyed service, as a state machine without I/O.

:meth:`Coordinator.handle` takes one event and returns the effects to carry out.
A table counts as durable once the store has it, or hosts in a majority of data
centres have. A server is granted a slice only under a durable table, and only
after every other process that may hold it has given it up or let its term end.
"""

from __future__ import annotations

__all__ = ["Coordinator", "Plan", "Planner"]

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, ClassVar, Protocol

from .configuration import Endpoint
from .coordination_events import (
    AuthorityExtended,
    AuthorityGained,
    AuthorityLost,
    Effect,
    EpochSeen,
    Event,
    GrantAnswered,
    LeaseRouter,
    LoadsChanged,
    PublishTable,
    ReleaseRequested,
    ReleaseRole,
    RouterAsked,
    SendGrant,
    ServersChanged,
    TableKept,
    TableWritten,
    Tick,
    WriteTable,
)
from .holdings import Holdings, key_item
from .recovery import adopt_claims
from .router_leases import RouterLeases
from .slices import NO_OWNER, SliceTable

RENEWAL_S = 0.1
RECOVERY_LIMIT_S = 0.15  # Silent servers count as lost after this.
WRITE_REPEAT_S = 0.1
GRADUAL_PLAN_S = 0.2  # Two renewals, so that a batch is confirmed before the next.


class Plan(Protocol):
    """Result of a planner; see :class:`jacinthpath.placement.Plan`."""

    moves: Iterable[Any]
    splits: Mapping[int, str]
    merges: Iterable[int]
    urgent: bool


Planner = Callable[[SliceTable, Mapping[str, Endpoint], Any], Plan]


class Coordinator:
    """Decides which server owns each slice of one service, under an authority.

    :param service: service to coordinate.
    :param planner: ``planner(table, servers, loads)`` returns the next batch of
        moves, given the servers that are up.
    :param address: control address that routers ask for sending leases.
    :param data_centre: where this process runs.
    :param data_centres: all data centres of the system.
    :param longest_deadline_s: longest deadline of a request, for services whose
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
        longest_deadline_s: float = 10.0,
    ) -> None:
        self.service = service
        self._planner = planner
        self._data_centre = data_centre
        self._majority = len(set(data_centres)) // 2 + 1
        self._slice_count = slice_count
        self._address = address
        self._fencing = fencing
        self._longest_deadline_s = longest_deadline_s
        self._servers: dict[str, Endpoint] = {}
        self._loads: Any = None
        self._last_epoch = 0
        self._reset()

    def _reset(self) -> None:
        self._phase = "idle"
        self._epoch = 0
        self._end = -math.inf
        self._started = -math.inf
        self._inherited_until = -math.inf
        self._found: SliceTable | None = None
        self._found_is_newest = False
        self._claims: dict[str, Any] = {}
        self._holdings = Holdings(self.service, self._slice_count)
        self._routers = RouterLeases(self._longest_deadline_s)
        self._table: SliceTable | None = None
        self._durable = False
        self._published = 0
        self._write_sent = -math.inf
        self._kept: set[str] = set()
        self._last_heard: dict[str, float] = {}
        self._last_sent: dict[str, float] = {}
        self._next_plan = -math.inf

    @property
    def acting(self) -> bool:
        """Whether the coordinator was last known to have authority."""
        return self._phase != "idle"

    @property
    def table(self) -> SliceTable | None:
        """Newest table, which may not be durable yet."""
        return self._table

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done.

        Effects are carried out in order. Those that are delayed do no harm: a
        grant is worth nothing after its echoed stamp plus its term.

        :param now: monotonic time at which the event is handled.
        """
        if self._phase != "idle" and now >= self._end:
            self._reset()
        effects = self._HANDLERS[type(event)](self, event, now)
        if self._phase != "idle":
            effects += self._advance(now)
        return effects

    def _authority_gained(self, event: AuthorityGained, now: float) -> list[Effect]:
        if event.epoch <= self._last_epoch:
            # Sequences begin anew with each recovery, so its epoch must be new.
            return [ReleaseRole(self._bound())]
        self._reset()
        if now >= event.end:
            return []
        self._phase = "recovering"
        self._last_epoch = event.epoch
        self._epoch = event.epoch
        self._end = event.end
        self._started = now
        self._inherited_until = event.inherited_until
        self._found = event.table
        self._found_is_newest = event.table_is_newest
        self._holdings.begin_epoch(event.epoch)
        if event.table is not None:
            self._routers.begin(max(now, event.inherited_until))
        for hash_value in event.table.hot_keys if event.table else ():
            self._holdings.track(hash_value)
        return [self._inquire(server, now) for server in self._known_servers()]

    def _authority_extended(self, event: AuthorityExtended, now: float) -> list[Effect]:
        if self._phase == "idle":
            return []
        self._end = max(self._end, event.end)
        if event.epoch != self._epoch:
            self._epoch = self._last_epoch = event.epoch
            self._holdings.begin_epoch(event.epoch)
            if self._table is not None:
                self._replace_table(self._table)
        return []

    def _authority_lost(self, event: AuthorityLost, now: float) -> list[Effect]:
        self._reset()
        return []

    def _servers_changed(self, event: ServersChanged, now: float) -> list[Effect]:
        known = self._known_servers()
        self._servers = {
            name: endpoint
            for name, endpoint in event.servers.items()
            if endpoint.state != "gone"
        }
        self._next_plan = now
        if self._phase == "idle":
            return []
        return [self._inquire(name, now) for name in self._servers if name not in known]

    def _grant_answered(self, event: GrantAnswered, now: float) -> list[Effect]:
        if self._phase == "idle" or event.server not in self._known_servers():
            return []
        answer = event.answer
        if not self._holdings.answered(event.server, answer, now):
            return []
        returning = not self._is_up(event.server, now)
        self._last_heard[event.server] = now
        if returning:
            self._next_plan = now
        if answer.held is not None and answer.held_epoch < self._epoch:
            self._holdings.inherited(event.server, answer, now)
        if answer.held is not None and self._phase == "recovering":
            self._claims[event.server] = answer
        if answer.reason == "stale-epoch":
            return [EpochSeen(answer.epoch)]
        return []

    def _loads_changed(self, event: LoadsChanged, now: float) -> list[Effect]:
        self._loads = event.loads
        return []

    def _table_written(self, event: TableWritten, now: float) -> list[Effect]:
        if self._is_newest(event.epoch, event.version):
            self._durable = True
        return []

    def _table_kept(self, event: TableKept, now: float) -> list[Effect]:
        if self._is_newest(event.epoch, event.version):
            self._kept.add(event.data_centre)
            if len(self._kept | {self._data_centre}) >= self._majority:
                self._durable = True
        return []

    def _router_asked(self, event: RouterAsked, now: float) -> list[Effect]:
        if self._phase == "idle" or self._table is None:
            return []
        lease = self._routers.ask(event, self._published, self._end, now)
        return [LeaseRouter(event.router, lease._replace(epoch=self._epoch))]

    def _release_requested(self, event: ReleaseRequested, now: float) -> list[Effect]:
        if self._phase == "idle":
            return []
        effects = self._renewals(now, force=True) if self._table else []
        bound = self._bound()
        self._reset()
        return [*effects, ReleaseRole(bound)]

    def _bound(self) -> float:
        """Return when everything that was granted has ended."""
        bounds = [self._holdings.terms.bound(name) for name in self._known_servers()]
        return max([*bounds, self._routers.bound(), self._inherited_until])

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        return []

    _HANDLERS: ClassVar[dict[type, Callable[[Any, Any, float], list[Effect]]]] = {
        AuthorityGained: _authority_gained,
        AuthorityExtended: _authority_extended,
        AuthorityLost: _authority_lost,
        ServersChanged: _servers_changed,
        GrantAnswered: _grant_answered,
        LoadsChanged: _loads_changed,
        TableWritten: _table_written,
        TableKept: _table_kept,
        RouterAsked: _router_asked,
        ReleaseRequested: _release_requested,
        Tick: _tick,
    }

    def _advance(self, now: float) -> list[Effect]:
        self._holdings.expire(now)
        if self._phase == "recovering" and self._recovered(now):
            self._phase = "acting"
            self._replace_table(self._recover_table())
        effects: list[Effect] = []
        if self._phase == "acting":
            # Routers are leased only the published version, so a plan that
            # counts on the newest version being in force comes after it.
            effects += self._publication()
            self._plan(now)
            effects += self._writes(now)
        return effects + self._renewals(now)

    def _known_servers(self) -> set[str]:
        table = self._table or self._found
        owners = {*table.owners, *table.hot_keys.values()} if table else set()
        return {*self._servers, *owners} - {NO_OWNER}

    def _is_newest(self, epoch: int, version: int) -> bool:
        table = self._table
        return table is not None and (table.epoch, table.version) == (epoch, version)

    def _inquire(self, server: str, now: float) -> SendGrant:
        self._last_sent[server] = now
        return SendGrant(
            server, self._address_of(server), self._holdings.inquiry(server)
        )

    def _address_of(self, server: str) -> str:
        if server in self._servers:
            return self._servers[server].address
        table = self._table or self._found
        return table.addresses.get(server, "") if table else ""

    def _is_up(self, server: str, now: float) -> bool:
        """Whether a server may be given slices: it answers within its term."""
        if self._fencing == "router":
            return server in self._servers
        if server not in self._last_heard:
            return False
        if self._phase == "recovering":
            return True
        return not self._holdings.terms.lapsed(server, now) or (
            now < self._last_heard[server] + RENEWAL_S * 3
        )

    def _recovered(self, now: float) -> bool:
        if self._fencing == "router":
            return bool(self._servers) or now >= self._started + RECOVERY_LIMIT_S
        silent = self._known_servers() - set(self._claims)
        return not silent or now >= self._started + RECOVERY_LIMIT_S

    def _recover_table(self) -> SliceTable:
        table = self._found
        if table is None or len(table.owners) != self._slice_count:
            owners = (NO_OWNER,) * self._slice_count
            version = table.version if table else 0
            table = SliceTable(self.service, version, 0, owners, {}, {})
        if not self._found_is_newest:
            table = adopt_claims(table, self._claims)
        return table

    def _replace_table(self, table: SliceTable) -> None:
        """Make a table the newest one, to be written before it is acted on."""
        named = {*table.owners, *table.hot_keys.values()} - {NO_OWNER}
        addresses = {name: self._address_of(name) for name in sorted(named)}
        self._table = table._replace(
            version=table.version + 1,
            epoch=self._epoch,
            addresses=addresses,
            coordinator=self._address,
            fencing=self._fencing,
        )
        for hash_value in table.hot_keys:
            self._holdings.track(hash_value)
        self._durable = False
        self._kept = set()
        self._write_sent = -math.inf

    def _plan(self, now: float) -> None:
        table = self._table
        if not self._durable or table is None:
            return
        up = {name: e for name, e in self._servers.items() if self._is_up(name, now)}
        usable = {name for name, e in up.items() if e.state == "active"}
        owners = {*table.owners, *table.hot_keys.values()}
        urgent = not owners <= usable
        if not urgent and (now < self._next_plan or self._handing_off(now)):
            return
        self._next_plan = now + GRADUAL_PLAN_S
        plan = self._planner(table, up, self._loads)
        planned = _apply(table, plan)
        if self._fencing == "router":
            planned = self._routers.staged(table, planned, now)
        if planned != table:
            self._replace_table(planned)

    def _handing_off(self, now: float) -> bool:
        """Whether a server that is up does not hold yet what the table gives it."""
        for server, items in self._targets().items():
            if self._fencing == "router" or not self._is_up(server, now):
                continue
            if not items <= self._holdings.acknowledged(server):
                return True
        return False

    def _targets(self) -> dict[str, frozenset[int]]:
        """Return the items that the newest table gives to each server."""
        table = self._table
        items: dict[str, set[int]] = {}
        for index, owner in enumerate(table.owners):
            items.setdefault(owner, set()).add(index)
        for hash_value in self._holdings.tracked:
            owner = table.owner_of(hash_value)
            items.setdefault(owner, set()).add(key_item(hash_value))
        items.pop(NO_OWNER, None)
        return {server: frozenset(held) for server, held in items.items()}

    def _writes(self, now: float) -> list[Effect]:
        if self._durable or now < self._write_sent + WRITE_REPEAT_S:
            return []
        self._write_sent = now
        return [WriteTable(self._table)]

    def _publication(self) -> list[Effect]:
        if not self._durable or self._published == self._table.version:
            return []
        self._published = self._table.version
        self._holdings.untrack_settled(self._table.hot_keys)
        return [PublishTable(self._table)]

    def _renewals(self, now: float, *, force: bool = False) -> list[Effect]:
        if self._fencing == "router":
            return []
        targets = self._targets() if self._table else {}
        effects: list[Effect] = []
        for server in sorted(self._known_servers()):
            due = force or now >= self._last_sent.get(server, -math.inf) + RENEWAL_S
            if server not in self._last_heard or self._phase == "recovering":
                if due:
                    effects.append(self._inquire(server, now))
                continue
            items = self._grantable(server, targets.get(server, frozenset()), now)
            if due or self._holdings.is_new(server, items):
                grant = self._holdings.grant(server, items, self._end)
                if grant is not None:
                    self._last_sent[server] = now
                    address = self._address_of(server)
                    effects.append(SendGrant(server, address, grant))
        return effects

    def _grantable(
        self, server: str, targets: frozenset[int], now: float
    ) -> frozenset[int]:
        """Return what may be granted to a server now, out of its targets."""
        held = self._holdings.may_hold(server)
        added = targets - held
        if not added:
            return targets
        if not self._durable or self._may_be_held_unseen(now):
            return targets & held
        return targets - (added & self._holdings.held_elsewhere(server))

    def _may_be_held_unseen(self, now: float) -> bool:
        """Whether a silent server may still serve what a predecessor granted."""
        silent = self._known_servers() - set(self._last_heard)
        return now < self._inherited_until and bool(silent)


def _apply(table: SliceTable, plan: Plan) -> SliceTable:
    owners = list(table.owners)
    hot_keys = {**table.hot_keys, **plan.splits}
    for move in plan.moves:
        if move.unit.kind == "key":
            hot_keys[move.unit.index] = move.target
        else:
            owners[move.unit.index] = move.target
    for hash_value in plan.merges:
        hot_keys.pop(hash_value, None)
    return table._replace(owners=tuple(owners), hot_keys=hot_keys)
