"""Assigns the keys of keyed services to servers while this host leads."""

from __future__ import annotations

__all__ = ["Assigner"]

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from ..errors import StoreError
from ..metrics import Metrics
from .assignment import EMPTY_ASSIGNMENT, Assignment, LeaderProcess
from .assignment_record import AssignmentRecord
from .authority import (
    LeaderAuthority,
    last_expiry_if_running_s,
    last_expiry_if_stopped_s,
)
from .clock import boottime_s
from .cluster_view import ClusterView
from .command_runner import CommandRunner
from .events import EventLog
from .fence_sweep import FenceSweep
from .leader_election import LeaderElection
from .leader_state import LeaderState
from .loads import LoadAggregator
from .loops import LoopSupervisor
from .model import Timing
from .move_planning import MovePlanner
from .ownership import Ownership, adopt_assignment
from .previous_leaders import PreviousLeaders
from .range_state import RangeState
from .reach_monitor import ReachMonitor
from .revisions import era_of_revision, minimum_fence
from .server_commands import CommandSender
from .store import ConflictingWrite, Store
from .store_eras import StoreEras
from .waiting import wait_for_event

TICK_S = 0.1
IDLE_TICK_S = 0.3
"""Interval at which a host that does not lead checks whether it does."""

PLANNING_INTERVAL_S = 0.3
"""Interval at which moves are planned by load."""


class Assigner(Service):
    """Grants the keys of all keyed services while this host leads.

    :param own_process: identity of this process, stored for successors.
    :param has_stopped_leading: returns whether a previous leader is known to have
        stopped leading.
    :param eras: eras of the store that this process has seen.
    :param clock: boot clock.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        election: LeaderElection,
        commands: CommandSender,
        loads: LoadAggregator,
        reach: ReachMonitor,
        timing: Timing,
        events: EventLog,
        metrics: Metrics,
        own_process: LeaderProcess,
        has_stopped_leading: Callable[[LeaderProcess], Awaitable[bool]],
        eras: StoreEras,
        loops: LoopSupervisor,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        super().__init__()
        self._store = store
        self._view = view
        self._election = election
        self._loads = loads
        self._timing = timing
        self._events = events
        self._own_process = own_process
        self._has_stopped_leading = has_stopped_leading
        self._eras = eras
        self._loops = loops
        self._clock = clock
        self._leader_state: LeaderState | None = None
        self._command_runner = CommandRunner(
            commands, view, reach, events, metrics, self._handle_fenced, loops, clock
        )

    async def on_start(self) -> None:
        """Start to assign keys whenever this host leads."""
        self.add_future(self._loops.run("assigner", self._run))

    def shortest_hold_s(self) -> float:
        """Return the shortest remaining hold time of all grants, or 0 without any."""
        if self._leader_state is None:
            return 0.0
        now_s = self._clock()
        holds_s = [
            state.own_expiry_s - now_s
            for _, state in self._leader_state.ownership.all_range_states()
            if state.granted and not state.owned.target
        ]
        return max(0.0, min(holds_s, default=0.0))

    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.run_once()
            except StoreError as error:
                self._events.log_process_event(
                    "assignment_not_written", error=str(error)
                )
            if self._election.authority is not None:
                await asyncio.sleep(TICK_S)
            else:
                await wait_for_event(self._election.gained, IDLE_TICK_S)

    async def run_once(self) -> None:
        """Do everything that is due now.

        :raises StoreError: a read or write of the assignment failed.
        """
        authority = self._election.authority
        if authority is None:
            self._leader_state = None
            return
        if self._leader_state is None or self._leader_state.authority is not authority:
            self._leader_state = await self._adopt_assignment(authority)
        leader_state = self._leader_state
        if leader_state.record.is_superseded() and not authority.may_move_keys(
            self._clock()
        ):
            # While the leader's lease is confirmed, a newer assignment can only be its
            # own write whose response was lost.
            self._election.step_down("a successor has written the assignment")
            return
        self._check_previous_leaders(leader_state)
        if leader_state.sweep is not None:
            self._continue_sweep(leader_state, leader_state.sweep)
            return
        if authority.may_move_keys(self._clock()):
            await self._update_owners(leader_state)
        if authority.may_renew_grants(self._clock()):
            max_hold_s = self._timing.max_hold_s
            self._command_runner.send_due_grants(
                leader_state.ownership, authority, max_hold_s
            )

    def may_have_missed_grants(self) -> bool:
        """Return whether this host, as leader, would have to wait for lost grants."""
        if self._view.knows_earlier_grants():
            return False
        if not self._view.assignment_revision:
            return self._eras.may_have_lost_writes()
        return self._view.assignment.confirmed_era < self._eras.newest

    async def _adopt_assignment(self, authority: LeaderAuthority) -> LeaderState:
        """Adopt the stored owners and moves with a higher fence; no move begins."""
        era = self._era()
        record = AssignmentRecord(
            self._store, self._view, self._election.record_revision
        )
        stored = await record.read()
        now_s = self._clock()
        lost_grants_expiry_s = self._eras.lost_grants_expiry_s(
            stored, era, authority.ttl_s
        )
        if stored is None and now_s >= lost_grants_expiry_s:
            initial = Assignment(minimum_fence(era), {}, (self._own_process,), era, era)
            ownership = Ownership(initial, now_s, {})
            return self._make_leader_state(
                authority, ownership, record, now_s, None, lost_grants_expiry_s
            )
        stored = stored or EMPTY_ASSIGNMENT
        if stored.confirmed_era < era:
            stored = await self._ask_previous_leaders(stored)
        previous_expiry_s = last_expiry_if_running_s(now_s, authority.ttl_s)
        ownership = Ownership(
            adopt_assignment(stored, self._own_process, minimum_fence(era)),
            previous_expiry_s,
            self._view.moving_since_s,
        )
        await record.write(ownership.to_assignment())
        sweep = None
        if stored.confirmed_era < era:
            sweep = FenceSweep(
                stored.ranges,
                now_s,
                self._view.knows_earlier_grants,
                lost_grants_expiry_s,
            )
        leader_state = self._make_leader_state(
            authority,
            ownership,
            record,
            previous_expiry_s,
            sweep,
            lost_grants_expiry_s,
        )
        self._check_previous_leaders(leader_state)
        self._events.log_state_change(
            "assignment_adopted",
            revision=record.revision,
            fence=ownership.fence,
            sweeping=sweep is not None,
        )
        return leader_state

    async def _ask_previous_leaders(self, stored: Assignment) -> Assignment:
        """Return the newest assignment that the previous leaders still know.

        Their response contains what a restored store has lost.
        """
        for leader in stored.leaders:
            if leader != self._own_process:
                await self._has_stopped_leading(leader)
        known = self._view.assignment
        return known if known.fence > stored.fence else stored

    def _era(self) -> int:
        """Return the era in which this host became leader."""
        return era_of_revision(self._election.record_revision)

    def _continue_sweep(self, leader_state: LeaderState, sweep: FenceSweep) -> None:
        """Send the releases of a sweep, and end it once nothing is left to release.

        The servers are watched meanwhile, so that services without owners get them as
        soon as their keys are free.
        """
        now_s = self._clock()
        leader_state.planner.watch_servers(now_s)
        services = self._keyed_services() | leader_state.ownership.range_states.keys()
        backends = [
            backend
            for backend in self._view.directory.listed_or_removed(now_s)
            if backend.service in services
        ]
        if sweep.is_complete(backends, now_s):
            leader_state.sweep = None
            leader_state.swept_services = frozenset(services)
            leader_state.ownership.confirmed_era = self._era()
            leader_state.has_unwritten_changes = True
            self._events.log_state_change(
                "sweep_ended", fence=leader_state.ownership.fence
            )
            return
        self._command_runner.send_due_sweep_releases(
            sweep, backends, leader_state.ownership.fence
        )

    def _keyed_services(self) -> set[str]:
        routes = self._view.routes
        services = routes.table.services.values() if routes else ()
        return {service.name for service in services if service.keyed}

    def _make_leader_state(
        self,
        authority: LeaderAuthority,
        ownership: Ownership,
        record: AssignmentRecord,
        previous_expiry_s: float,
        sweep: FenceSweep | None,
        lost_grants_expiry_s: float,
    ) -> LeaderState:
        others = [leader for leader in ownership.leaders if leader != self._own_process]
        previous_leaders = PreviousLeaders(
            others, previous_expiry_s, self._has_stopped_leading
        )
        planner = MovePlanner(ownership, self._view, self._loads)
        return LeaderState(
            authority,
            ownership,
            record,
            planner,
            previous_leaders,
            sweep,
            lost_grants_expiry_s,
        )

    def _check_previous_leaders(self, leader_state: LeaderState) -> None:
        """Check whether previous leaders have stopped, until their grants expire."""
        now_s = self._clock()
        if now_s >= leader_state.previous_leaders.last_expiry_s:
            # The next write leaves out the leaders whose grants have expired.
            leader_state.ownership.leaders = (self._own_process,)
        elif leader_state.previous_leaders.have_all_stopped():
            self._record_previous_leaders_stopped(leader_state)
        elif leader_state.previous_leaders.is_check_due(now_s):
            self._command_runner.start_task(
                self._poll_previous_leaders(leader_state, now_s)
            )

    async def _poll_previous_leaders(
        self, leader_state: LeaderState, now_s: float
    ) -> None:
        await leader_state.previous_leaders.check(now_s)
        if leader_state.previous_leaders.have_all_stopped():
            self._record_previous_leaders_stopped(leader_state)
            self._events.log_state_change(
                "former_leaders_ended", fence=leader_state.ownership.fence
            )

    def _record_previous_leaders_stopped(self, leader_state: LeaderState) -> None:
        """Record that no previous leader sends grants any more.

        Those that led when the store lost their writes are in no list.
        """
        if leader_state.previous_leaders_stopped or (
            leader_state.sweep is not None and not self._view.knows_earlier_grants()
        ):
            return
        leader_state.previous_leaders_stopped = True
        now_s = self._clock()
        leader_state.ownership.record_previous_leaders_stopped(now_s)
        if leader_state.sweep is not None:
            expiry_s = last_expiry_if_stopped_s(now_s)
            leader_state.sweep.record_previous_leaders_stopped(expiry_s)
            if self._view.earlier_grants.were_servers_recent():
                leader_state.sweep.record_all_registered(now_s)

    async def _update_owners(self, leader_state: LeaderState) -> None:
        """Write the changes of owners that are due, then release moving ranges."""
        now_s = self._clock()
        ownership = leader_state.ownership
        backends = self._view.directory.all()
        changed = self._settle(leader_state, now_s)
        changed |= self._assign_initial_owners(leader_state, now_s)
        changed |= ownership.update_incarnations(backends)
        finished = ownership.finish_moves(now_s, backends)
        changed |= bool(finished)
        changed |= leader_state.planner.retarget()
        changed |= self._begin_moves(leader_state, now_s)
        leader_state.has_unwritten_changes |= changed
        if leader_state.has_unwritten_changes:
            await self._write(leader_state)
        for service, state in finished:
            self._log_moved(service, state)
        self._command_runner.send_due_releases(ownership)

    async def _write(self, leader_state: LeaderState) -> None:
        """Write the assignment; ranges are granted only after they were written.

        :raises StoreError: it was not written.
        """
        try:
            await leader_state.record.write(leader_state.ownership.to_assignment())
        except ConflictingWrite:
            self._leader_state = None
            raise
        leader_state.has_unwritten_changes = False

    def _assign_initial_owners(self, leader_state: LeaderState, now_s: float) -> bool:
        """Assign initial owners to the services that have none and are free."""
        changed = False
        for service, ranges in leader_state.planner.initial_owners(now_s).items():
            if leader_state.is_free(service, now_s):
                leader_state.ownership.add_service(service, ranges)
                changed = True
        return changed

    def _settle(self, leader_state: LeaderState, now_s: float) -> bool:
        """Record it for successors when no grant of an earlier era can be valid."""
        era = self._era()
        ownership = leader_state.ownership
        if ownership.settled_era == era or now_s < leader_state.lost_grants_expiry_s:
            return False
        ownership.settled_era = era
        return True

    def _begin_moves(self, leader_state: LeaderState, now_s: float) -> bool:
        """Mark the ranges that should move, to be written with the assignment."""
        due = now_s - leader_state.last_planned_s >= PLANNING_INTERVAL_S
        if not due and not leader_state.planner.needs_evacuation():
            return False
        leader_state.last_planned_s = now_s
        self._loads.decay(now_s)
        changed = False
        for service in [*leader_state.ownership.range_states]:
            for move in leader_state.planner.plan_service_moves(service, now_s):
                if leader_state.ownership.begin_move(service, *move, now_s):
                    self._events.log_state_change(
                        "move_begun", service=service, **move._asdict()
                    )
                    changed = True
        return changed

    def _handle_fenced(self, authority: LeaderAuthority) -> None:
        """Step down after a refusal for a higher fence if the lease is unconfirmed."""
        if not authority.may_move_keys(self._clock()):
            self._election.step_down("a server has seen a successor's fence")

    def _log_moved(self, service: str, state: RangeState) -> None:
        owned = state.owned
        self._events.log_state_change(
            "keys_moved",
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=owned.fence,
            handover=bool(state.handover),
        )
