"""Sends the grants and releases that are due and records their results."""

from __future__ import annotations

__all__ = ["CommandRunner"]

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from ..metrics import Metrics
from .authority import GRANT_INTERVAL_S, GRANT_TIMEOUT_S, LeaderAuthority
from .cluster_view import ClusterView
from .events import EventLog
from .fence_sweep import FenceSweep, SweepRelease
from .loop_delay import LATE_S
from .loops import LoopSupervisor
from .model import Backend
from .ownership import Ownership
from .pool import connection_limit
from .range_state import RangeState
from .reach_monitor import ReachMonitor
from .server_commands import (
    CommandResponse,
    CommandResult,
    CommandSender,
    GrantCommand,
    ReleaseCommand,
)

RELEASE_TIMEOUT_S = 2.5
"""A server responds to a release only when the running requests have ended."""

RELEASE_RETRY_S = 0.4
"""Interval between releases of a range to a holder that does not respond. Without it, a
lost server with many ranges was sent ten releases a second for each of them."""

MIN_COMMANDS_IN_PROGRESS = 8
"""Commands of a kind in progress at a server for which there is always room."""

SILENT_ROUNDS_BEFORE_ONE = 2
"""Rounds of commands without a response after which a server gets one at a time."""

MIN_STARTS = 16
"""Commands of a kind that one step may start however few ranges there are."""

STEPS_FOR_ALL_RANGES = 3
"""A leader that has just been elected spreads the grants of all ranges over so many
steps, half of the time between renewals; sent at once, they hold up its event loop."""


class CommandRunner:
    """Sends the commands of a leader, one at a time for each range.

    :param handle_fenced: called when a server has seen a higher fence.
    :param clock: boot clock.
    """

    def __init__(
        self,
        commands: CommandSender,
        view: ClusterView,
        reach: ReachMonitor,
        events: EventLog,
        metrics: Metrics,
        handle_fenced: Callable[[LeaderAuthority], None],
        loops: LoopSupervisor,
        clock: Callable[[], float],
    ) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self._in_progress: Counter[tuple[str, str]] = Counter()
        self._commands = commands
        self._view = view
        self._reach = reach
        self._events = events
        self._metrics = metrics
        self._handle_fenced = handle_fenced
        self._loops = loops
        self._clock = clock

    def send_due_grants(
        self, ownership: Ownership, authority: LeaderAuthority, max_hold_s: float
    ) -> None:
        """Send the grants that are due, only for ranges as written to the store.

        The range whose grant ends first goes first, one without a grant before all.
        """
        now_s = self._clock()
        hold_s = authority.hold_s(now_s, max_hold_s)
        written_fence = self._view.assignment.fence
        due = [
            (service, state)
            for service, state in ownership.all_range_states()
            if not state.command_pending
            and state.owned.fence <= written_fence
            and _is_due(state, authority, now_s)
        ]
        due.sort(key=lambda entry: entry[1].own_expiry_s)
        starts_left = _max_starts(ownership)
        for service, state in due:
            if not starts_left:
                break
            if not self._has_room("grant", ownership, service, state):
                continue
            starts_left -= 1
            command = self._grant(ownership, authority, service, state, hold_s)
            self._start("grant", state, command)

    def send_due_releases(self, ownership: Ownership) -> None:
        """Send the releases that are due to the holders of moving ranges."""
        now_s = self._clock()
        starts_left = _max_starts(ownership)
        for service, state in ownership.all_range_states():
            if not state.owned.target or state.released or state.command_pending:
                continue
            if now_s - state.release_sent_s < RELEASE_RETRY_S:
                continue
            if not starts_left:
                break
            if not self._has_room("release", ownership, service, state):
                continue
            starts_left -= 1
            state.release_sent_s = now_s
            self._start("release", state, self._release(ownership, service, state))

    def send_due_sweep_releases(
        self, sweep: FenceSweep, backends: Iterable[Backend], fence: int
    ) -> None:
        """Send the releases of a sweep that are due."""
        for release in sweep.due_releases(backends, self._clock()):
            self.start_task(self._release_in_sweep(sweep, release, fence))

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task beside the commands."""
        task = self._loops.start_task("command", coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _has_room(
        self, kind: str, ownership: Ownership, service: str, state: RangeState
    ) -> bool:
        """Return whether the server may be sent one more command of a kind now.

        One that does not respond gets one command at a time.
        """
        server = state.owned.server
        in_progress = self._in_progress[kind, server]
        if ownership.evidence.silent_rounds(server) >= SILENT_ROUNDS_BEFORE_ONE:
            return not in_progress
        return in_progress < self._max_in_progress(service)

    def _max_in_progress(self, service: str) -> int:
        """Return how many commands of a kind a server may be sent at a time.

        They use connections, of which each host may use a share.
        """
        routes = self._view.routes
        found = routes.table.services.get(service) if routes else None
        if found is None:
            return MIN_COMMANDS_IN_PROGRESS
        share = connection_limit(found, len(self._view.peer_addresses))
        return max(MIN_COMMANDS_IN_PROGRESS, share)

    def _start(
        self, kind: str, state: RangeState, command: Coroutine[Any, Any, None]
    ) -> None:
        """Start a command, which occupies its range and a place at the server."""
        place = kind, state.owned.server
        state.command_pending = True
        self._in_progress[place] += 1
        self.start_task(self._run(place, state, command))

    async def _run(
        self,
        place: tuple[str, str],
        state: RangeState,
        command: Coroutine[Any, Any, None],
    ) -> None:
        try:
            await command
        finally:
            state.command_pending = False
            self._in_progress[place] -= 1
            if not self._in_progress[place]:
                del self._in_progress[place]

    async def _grant(
        self,
        ownership: Ownership,
        authority: LeaderAuthority,
        service: str,
        state: RangeState,
        hold_s: float,
    ) -> None:
        owned = state.owned
        sent_s = self._clock()
        command = GrantCommand(
            owned.first, owned.last, owned.fence, hold_s, state.handover
        )
        response = await self._commands.grant(
            owned.server, self._address(state), command, GRANT_TIMEOUT_S
        )
        now_s = self._clock()
        self._metrics.count("orders_total", kind="grant", result=response.result.value)
        self._record_reach(service, owned.server, response, now_s - sent_s)
        if response.responded:
            ownership.evidence.record_response(owned.server, now_s)
        elif not _was_late(now_s - sent_s):
            ownership.evidence.record_silence(owned.server, sent_s, now_s)
        if response.result is CommandResult.DONE:
            is_first = not state.granted
            state.record_grant(now_s, hold_s)
            if is_first:
                self._log("keys_granted", service, state, owned.fence, response)
            return
        if response.result is CommandResult.FENCED:
            self._handle_fenced(authority)
        if response.result is CommandResult.UNKNOWN:
            state.record_uncertain_grant(now_s, hold_s)
        else:
            state.record_failed_grant(now_s, refused=response.responded)
        self._log("grant_not_confirmed", service, state, owned.fence, response)

    async def _release(
        self, ownership: Ownership, service: str, state: RangeState
    ) -> None:
        owned, fence = state.owned, ownership.fence
        command = ReleaseCommand(owned.first, owned.last, fence)
        response = await self._commands.release(
            owned.server, self._address(state), command, RELEASE_TIMEOUT_S
        )
        self._metrics.count(
            "orders_total", kind="release", result=response.result.value
        )
        if response.responded:
            ownership.evidence.record_response(owned.server, self._clock())
        done = response.result is CommandResult.DONE
        if done:
            state.record_release(response.handover)
        event = "keys_released" if done else "release_not_confirmed"
        self._log(event, service, state, fence, response)

    async def _release_in_sweep(
        self, sweep: FenceSweep, release: SweepRelease, fence: int
    ) -> None:
        server = release.recipient.server
        command = ReleaseCommand(release.first, release.last, fence)
        response = await self._commands.release(
            server, release.recipient.address, command, RELEASE_TIMEOUT_S
        )
        if response.result is CommandResult.DONE:
            sweep.record_release(release)
            return
        self._events.log_state_change(
            "sweep_release_not_confirmed",
            server=server,
            first=release.first,
            last=release.last,
            fence=fence,
            detail=response.detail,
        )

    def _record_reach(
        self, service: str, server: str, response: CommandResponse, elapsed_s: float
    ) -> None:
        """Record whether this host has a path to the server."""
        if response.responded:
            self._reach.record_response()
        elif not _was_late(elapsed_s):
            self._reach.record_failure(server, service)

    def _address(self, state: RangeState) -> str:
        """Return the holder's address for commands, from its entry or as written."""
        backend = self._view.directory.find(state.owned.server)
        return backend.address if backend else state.owned.address

    def _log(
        self,
        event: str,
        service: str,
        state: RangeState,
        fence: int,
        response: CommandResponse,
    ) -> None:
        owned = state.owned
        self._events.log_state_change(
            event,
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=fence,
            result=response.result.value,
            detail=response.detail,
            failures=state.failures,
            held_for_s=round(state.last_expiry_s() - self._clock(), 2),
        )


def _max_starts(ownership: Ownership) -> int:
    """Return how many commands of a kind one step may start."""
    ranges = sum(len(states) for states in ownership.range_states.values())
    return max(MIN_STARTS, math.ceil(ranges / STEPS_FOR_ALL_RANGES))


def _was_late(elapsed_s: float) -> bool:
    """Return whether a grant without a response took longer than it may.

    Then this process was late, and the response may have come in time.
    """
    return elapsed_s > GRANT_TIMEOUT_S + LATE_S


def _is_due(state: RangeState, authority: LeaderAuthority, now_s: float) -> bool:
    """Return whether a grant of the range is due."""
    if state.owned.target or now_s < state.retry_s:
        return False
    lapsed = state.granted and now_s >= state.own_expiry_s
    if (state.failures or lapsed) and not authority.may_move_keys(now_s):
        # The server may have restarted and lost the higher fence of a successor that
        # has moved these keys. A grant lapses while this process is suspended.
        return False
    return not state.granted or now_s - state.confirmed_s >= GRANT_INTERVAL_S
