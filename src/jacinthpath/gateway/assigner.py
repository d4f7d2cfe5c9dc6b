"""The leader's work: owners, moves and orders, one reign after the other."""

from __future__ import annotations

__all__ = ["Assigner"]

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from ..errors import StoreError
from ..metrics import Metrics
from .assignment import LeaderProcess
from .assignment_record import AssignmentRecord
from .authority import LeaderAuthority, former_bound_s
from .clock import boottime_s
from .cluster_view import ClusterView
from .command_runner import CommandRunner
from .events import EventLog
from .leader_election import LeaderElection
from .loads import LoadAggregator
from .model import Timing
from .move_planning import MovePlanner
from .ownership import Holding, Ownership, adopted
from .previous_leaders import PreviousLeaders
from .server_commands import CommandSender
from .store import ConflictingWrite, Store

TICK_S = 0.1
PLAN_S = 0.3
"""Time between plans by load."""


class _Reign:
    """What a leader holds from gaining the leadership until losing it."""

    def __init__(
        self,
        authority: LeaderAuthority,
        ownership: Ownership,
        record: AssignmentRecord,
        planner: MovePlanner,
        formers: PreviousLeaders,
    ) -> None:
        self.authority = authority
        self.ownership = ownership
        self.record = record
        self.planner = planner
        self.formers = formers
        self.unwritten = False
        self.planned_s = float("-inf")


class Assigner(Service):
    """Grants the keys of all keyed services while this host leads.

    :param own: this process as a successor will see it.
    :param has_stopped_leading: asks an earlier leader whether it has ended.
    :param clock: boot clock.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        leadership: LeaderElection,
        orders: CommandSender,
        loads: LoadAggregator,
        timing: Timing,
        events: EventLog,
        metrics: Metrics,
        own: LeaderProcess,
        has_stopped_leading: Callable[[LeaderProcess], Awaitable[bool]],
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        super().__init__()
        self._store = store
        self._view = view
        self._leadership = leadership
        self._loads = loads
        self._timing = timing
        self._events = events
        self._own = own
        self._has_stopped_leading = has_stopped_leading
        self._clock = clock
        self._reign: _Reign | None = None
        self._runner = CommandRunner(
            orders, view, events, metrics, self._note_fenced, clock
        )

    async def on_start(self) -> None:
        """Begin to act whenever this host leads."""
        self.add_future(self._run())

    def shortest_hold_s(self) -> float:
        """Return how long the grant is held that ends first, or 0 without grants."""
        if self._reign is None:
            return 0.0
        now_s = self._clock()
        holds_s = [
            holding.held_until_s - now_s
            for _, holding in self._reign.ownership.all_holdings()
            if holding.granted and not holding.owned.target
        ]
        return max(0.0, min(holds_s, default=0.0))

    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.act()
            except StoreError as error:
                self._events.process("assignment_not_written", error=str(error))
            await asyncio.sleep(TICK_S)

    async def act(self) -> None:
        """Do once what is due.

        :raises StoreError: the store did not take a write.
        """
        authority = self._leadership.authority
        if authority is None:
            self._reign = None
            return
        if self._reign is None or self._reign.authority is not authority:
            self._reign = await self._adopt(authority)
        reign = self._reign
        if reign.record.was_overtaken() and not authority.may_move(self._clock()):
            # While a leader is confirmed, a later assignment is its own write whose
            # answer was lost.
            self._leadership.step_down("a successor has written the assignment")
            return
        self._ask_formers(reign)
        if authority.may_move(self._clock()):
            await self._change_owners(reign)
        if authority.may_renew(self._clock()):
            hold_max_s = self._timing.max_hold_s
            self._runner.renew(reign.ownership, authority, hold_max_s)

    async def _adopt(self, authority: LeaderAuthority) -> _Reign:
        """Take the written owners over with a higher fence; no key moves."""
        record = AssignmentRecord(
            self._store, self._view, self._leadership.record_revision
        )
        written = await record.read()
        now_s = self._clock()
        if written is None:
            founding = self._view.assignment._replace(leaders=(self._own,))
            ownership = Ownership(founding, now_s, {})
            return self._begin(authority, ownership, record, now_s)
        until_s = former_bound_s(now_s, authority.ttl_s)
        ownership = Ownership(
            adopted(written, self._own), until_s, self._view.moving_since_s
        )
        await record.write(ownership.written())
        reign = self._begin(authority, ownership, record, until_s)
        if reign.formers.all_ended():
            # Only this process led before; its earlier orders have been given up.
            ownership.former_leaders_ended(self._clock())
        self._events.state_change(
            "assignment_adopted", revision=record.revision, fence=ownership.fence
        )
        return reign

    def _begin(
        self,
        authority: LeaderAuthority,
        ownership: Ownership,
        record: AssignmentRecord,
        formers_until_s: float,
    ) -> _Reign:
        others = [leader for leader in ownership.leaders if leader != self._own]
        formers = PreviousLeaders(others, formers_until_s, self._has_stopped_leading)
        planner = MovePlanner(ownership, self._view, self._loads)
        return _Reign(authority, ownership, record, planner, formers)

    def _ask_formers(self, reign: _Reign) -> None:
        """Find out whether the earlier leaders have ended, until their bound."""
        now_s = self._clock()
        if now_s >= reign.formers.until_s:
            # The next write leaves out the leaders whose grants count no more.
            reign.ownership.leaders = (self._own,)
        elif reign.formers.are_due(now_s):
            self._runner.start(self._learn_ended(reign, now_s))

    async def _learn_ended(self, reign: _Reign, now_s: float) -> None:
        await reign.formers.ask(now_s)
        if reign.formers.all_ended():
            reign.ownership.former_leaders_ended(self._clock())
            self._events.state_change(
                "former_leaders_ended", fence=reign.ownership.fence
            )

    async def _change_owners(self, reign: _Reign) -> None:
        """Write and carry out the changes that are due."""
        now_s = self._clock()
        ownership = reign.ownership
        backends = self._view.directory.all()
        changed = self._found_services(reign, now_s)
        changed |= ownership.renew_lives(backends)
        finished = ownership.finish_moves(now_s, backends)
        changed |= bool(finished)
        changed |= reign.planner.retarget()
        changed |= self._begin_moves(reign, now_s)
        reign.unwritten |= changed
        if reign.unwritten:
            await self._write(reign)
        for service, holding in finished:
            self._log_moved(service, holding)
        self._runner.release_moving(ownership)

    async def _write(self, reign: _Reign) -> None:
        """Write the assignment; what is not written is granted to nobody.

        :raises StoreError: it was not written.
        """
        try:
            await reign.record.write(reign.ownership.written())
        except ConflictingWrite:
            self._reign = None
            raise
        reign.unwritten = False

    def _found_services(self, reign: _Reign, now_s: float) -> bool:
        """Give the services that have no owners their first ones."""
        found = reign.planner.first_owners(now_s)
        for service, ranges in found.items():
            reign.ownership.found(service, ranges)
        return bool(found)

    def _begin_moves(self, reign: _Reign, now_s: float) -> bool:
        """Mark the ranges that should move; the write makes it known."""
        due = now_s - reign.planned_s >= PLAN_S
        if not due and not reign.planner.needs_evacuation():
            return False
        reign.planned_s = now_s
        self._loads.decay(now_s)
        changed = False
        for service in [*reign.ownership.holdings]:
            for move in reign.planner.moves(service):
                if reign.ownership.begin_move(service, *move, now_s):
                    self._events.state_change(
                        "move_begun", service=service, **move._asdict()
                    )
                    changed = True
        return changed

    def _note_fenced(self, authority: LeaderAuthority) -> None:
        """Step down if a leader that cannot confirm itself meets a higher fence."""
        if not authority.may_move(self._clock()):
            self._leadership.step_down("a server has seen a successor's fence")

    def _log_moved(self, service: str, holding: Holding) -> None:
        owned = holding.owned
        self._events.state_change(
            "keys_moved",
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=owned.fence,
            handover=bool(holding.handover),
        )
