"""The leader's work: grants, moves, and the written assignment."""

from __future__ import annotations

__all__ = ["Assigner"]

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from mode import Service

from ..errors import StoreError, StoreOutcomeUnknown
from .assignment import FormerLeader, encode_assignment
from .balance import Member, first_ranges, plan_moves
from .beliefs import ASSIGNMENT_KEY, LEADER_KEY, Beliefs
from .clock import boot_time_s
from .events import EventLog
from .leadership import Leadership
from .loads import LoadBoard
from .model import Backend, Timing
from .orders import GrantOrder, OrderResult, OrderSender, ReleaseOrder
from .ownership import (
    ORDER_S,
    RENEWAL_S,
    Authority,
    Holding,
    Ownership,
    adopted,
    former_bound_s,
)
from .store import Condition, ConflictingWrite, Store, Write

TICK_S = 0.1
PLAN_S = 0.3
"""Time between plans by load."""

FORMERS_S = 0.3
"""Time between questions to earlier leaders whether they have ended."""

RELEASE_TIMEOUT_S = 2.5
"""A release is answered when the running work has ended."""

RELEASE_RETRY_S = 0.4
"""Time between releases to a holder that does not answer: a lost server with many
ranges was asked for each of them ten times a second."""

FAILURES_TO_MOVE = 2
"""Grants in a row without an answer after which a server's keys are moved."""

FOUND_DELAY_S = 1.5
"""The set of servers has to stand still for this long before a service gets its first
owners, so that servers that start together are all among them."""


class Assigner(Service):
    """Grants the keys of all keyed services while this host leads."""

    def __init__(
        self,
        store: Store,
        beliefs: Beliefs,
        leadership: Leadership,
        orders: OrderSender,
        loads: LoadBoard,
        timing: Timing,
        events: EventLog,
        metrics: Any,
        own: FormerLeader,
        has_ended: Callable[[FormerLeader], Awaitable[bool]],
    ) -> None:
        super().__init__()
        self._store = store
        self._beliefs = beliefs
        self._leadership = leadership
        self._orders = orders
        self._loads = loads
        self._timing = timing
        self._events = events
        self._metrics = metrics
        self._own = own
        self._has_ended = has_ended
        self._formers: set[FormerLeader] = set()
        self._formers_asked_s = 0.0
        self._formers_until_s = 0.0
        self._asking = False
        self._ownership: Ownership | None = None
        self._reign: Authority | None = None
        self._revision = 0
        self._unwritten = False
        self._planned_s = 0.0
        self._servers_since: dict[str, tuple[frozenset, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Begin to act whenever this host leads."""
        self.add_future(self._run())

    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._tick()
            except StoreError as error:
                self._events.process("assignment_not_written", error=str(error))
                await asyncio.sleep(TICK_S)
            await asyncio.sleep(TICK_S)

    async def _tick(self) -> None:
        authority = self._leadership.authority
        if authority is None:
            self._ownership = self._reign = None
            return
        if authority is not self._reign:
            await self._adopt(authority)
        elif self._was_succeeded(authority):
            self._leadership.step_down("a successor has written the assignment")
            return
        if self._ownership is None:
            return
        now_s = boot_time_s()
        self._ask_formers(now_s)
        if authority.may_move(now_s):
            await self._change_owners(now_s)
        if authority.may_renew(boot_time_s()):
            self._renew(authority, boot_time_s())

    # Taking over.

    async def _adopt(self, authority: Authority) -> None:
        """Write the assignment with a higher fence; no key moves."""
        item = await self._store.read(ASSIGNMENT_KEY)
        if item is None:
            founding = self._beliefs.assignment._replace(leaders=(self._own,))
            self._ownership = Ownership(founding, 0.0, {})
            self._revision = 0
            self._unwritten = False
            self._reign = authority
            return
        self._beliefs.apply_assignment(item.value, item.revision, "store")
        if self._beliefs.assignment_revision != item.revision:
            raise StoreError(
                "The written assignment cannot be read.", "See document_refused."
            )
        assignment = adopted(self._beliefs.assignment, self._own)
        bound_s = former_bound_s(boot_time_s(), authority.ttl_s)
        ownership = Ownership(assignment, bound_s, self._beliefs.moving_since_s)
        self._formers = {*assignment.leaders} - {self._own}
        self._formers_until_s = bound_s
        self._revision = item.revision
        await self._write(ownership)
        self._unwritten = False
        if not self._formers:
            # Only this process led before; its earlier orders have been given up.
            ownership.former_leaders_ended(boot_time_s())
        self._ownership = ownership
        self._reign = authority
        self._events.belief(
            "assignment_adopted", revision=self._revision, fence=ownership.fence
        )

    def _was_succeeded(self, authority: Authority) -> bool:
        """Return whether a leader that cannot confirm itself sees a later assignment.

        While it is confirmed, a later one is its own write whose answer was lost.
        """
        later = self._beliefs.assignment_revision > self._revision > 0
        return later and not authority.may_move(boot_time_s())

    def _ask_formers(self, now_s: float) -> None:
        """Find out whether the earlier leaders have ended, until their bound."""
        if now_s >= self._formers_until_s and len(self._ownership.leaders) > 1:
            # The next write leaves out the leaders whose grants count no more.
            self._formers.clear()
            self._ownership.leaders = (self._own,)
        due = now_s - self._formers_asked_s >= FORMERS_S
        if self._formers and due and not self._asking:
            self._asking = True
            self._formers_asked_s = now_s
            self._start(self._learn_ended(self._ownership))

    async def _learn_ended(self, ownership: Ownership) -> None:
        try:
            for former in [*self._formers]:
                if await self._has_ended(former):
                    self._formers.discard(former)
        finally:
            self._asking = False
        if not self._formers and ownership is self._ownership:
            ownership.former_leaders_ended(boot_time_s())
            self._events.belief("former_leaders_ended", fence=ownership.fence)

    # Changing owners.

    async def _change_owners(self, now_s: float) -> None:
        """Write and carry out the changes that are due."""
        backends = self._beliefs.directory.all()
        ownership = self._ownership
        changed = self._unwritten
        changed |= self._found_services(now_s)
        changed |= ownership.renew_lives(backends)
        finished = ownership.finish_moves(now_s, backends)
        changed |= bool(finished)
        changed |= self._retarget(backends)
        if now_s - self._planned_s >= PLAN_S or self._needs_evacuation(backends):
            self._planned_s = now_s
            changed |= self._begin_moves(now_s)
        if changed:
            self._unwritten = True
            await self._write(ownership)
            self._unwritten = False
        for service, holding in finished:
            self._events.belief(
                "keys_moved",
                service=service,
                first=holding.owned.first,
                last=holding.owned.last,
                server=holding.owned.server,
                fence=holding.owned.fence,
                handover=bool(holding.handover),
            )
        self._release_moving()

    def _found_services(self, now_s: float) -> bool:
        """Give the services that have no owners their first ones."""
        routes = self._beliefs.routes
        changed = False
        for service in routes.table.services.values() if routes else ():
            if not service.keyed or self._ownership.holdings.get(service.name):
                continue
            members = self._ready(service.name)
            if not members:
                continue
            by_id = {backend.server: backend for backend in members}
            if not self._stands_still(service.name, frozenset(by_id), now_s):
                continue
            equal = [Member(server, 1.0) for server in sorted(by_id)]
            self._ownership.found(
                service.name,
                [
                    (first, last, by_id[server])
                    for first, last, server in first_ranges(equal)
                ],
            )
            changed = True
        return changed

    def _stands_still(self, service: str, servers: frozenset, now_s: float) -> bool:
        """Return whether the servers have been the same for some time."""
        known, since_s = self._servers_since.get(service, (None, now_s))
        if known != servers:
            since_s = now_s
        self._servers_since[service] = (servers, since_s)
        return now_s - since_s >= FOUND_DELAY_S

    def _ready(self, service: str) -> list[Backend]:
        """Return the servers that may receive keys."""
        return [
            b for b in self._beliefs.directory.of_service(service) if not b.draining
        ]

    def _failing(self, service: str, failures: int = FAILURES_TO_MOVE) -> set[str]:
        """Return the servers that left so many grants in a row unanswered."""
        return {
            holding.owned.server
            for holding in self._ownership.holdings.get(service, ())
            if holding.failures >= failures
        }

    def _retarget(self, backends: dict[str, Backend]) -> bool:
        """Choose another target where one is gone, draining or not answering."""
        changed = False
        moving = (
            (service, holding, self._failing(service))
            for service, holding in self._ownership.all_holdings()
            if holding.owned.target
        )
        for service, holding, failing in moving:
            target = holding.owned.target
            backend = backends.get(target)
            if backend is not None and not backend.draining and target not in failing:
                continue
            others = [b for b in self._ready(service) if b.server not in failing]
            if not others:
                continue
            fewest = min(others, key=lambda b: self._range_count(service, b.server))
            if fewest.server != target:
                holding.owned = holding.owned._replace(target=fewest.server)
                changed = True
        return changed

    def _range_count(self, service: str, server: str) -> int:
        holdings = self._ownership.holdings[service]
        return sum(h.owned.server == server for h in holdings)

    def _needs_evacuation(self, backends: dict[str, Backend]) -> bool:
        for service, holding in self._ownership.all_holdings():
            if holding.owned.target:
                continue
            backend = backends.get(holding.owned.server)
            if backend is None or backend.draining:
                return bool(self._ready(service))
        return False

    def _begin_moves(self, now_s: float) -> bool:
        """Mark the ranges that should move; the write makes it known."""
        changed = False
        self._loads.decay(now_s)
        for service in [*self._ownership.holdings]:
            for move in self._planned(service):
                if not self._ownership.begin_move(service, *move, now_s):
                    continue
                self._events.belief(
                    "move_begun",
                    service=service,
                    first=move.first,
                    last=move.last,
                    target=move.target,
                    reason="load or leaving",
                )
                changed = True
        return changed

    def _planned(self, service: str) -> list[Any]:
        ready = self._ready(service)
        if not ready:
            return []
        failing = self._failing(service)
        silent = self._failing(service, 1)
        speeds = self._loads.speeds(service)
        members = [
            Member(
                b.server,
                speeds.get(b.server, 1.0),
                b.server in failing,
                self._loads.present(service, b.server),
                b.server not in silent,
            )
            for b in ready
        ]
        if all(member.leaving for member in members):
            return []
        ranges = [holding.owned for holding in self._ownership.holdings[service]]
        return plan_moves(ranges, members, self._loads.key_loads(service))

    async def _write(self, ownership: Ownership) -> None:
        """Write the assignment; retry a write whose answer was lost.

        :raises StoreError: it was not written; leadership is in doubt.
        """
        content = encode_assignment(ownership.written())
        conditions = (
            Condition(ASSIGNMENT_KEY, self._revision),
            Condition(LEADER_KEY, self._leadership.record_revision),
        )
        writes = (Write(ASSIGNMENT_KEY, content),)
        try:
            self._revision = await self._write_surely(conditions, writes)
        except ConflictingWrite as conflict:
            self._revision = self._settled(content, conflict)
        self._beliefs.apply_assignment(content, self._revision, "own")

    async def _write_surely(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Write; repeat a write whose answer was lost.

        The same write under the same conditions takes effect once at most.
        """
        try:
            return await self._store.write(conditions, writes)
        except StoreOutcomeUnknown:
            return await self._store.write(conditions, writes)

    def _settled(self, content: bytes, conflict: ConflictingWrite) -> int:
        """Return the revision of a write that was done without an answer.

        :raises StoreError: another leader has written.
        """
        for item in conflict.current:
            if item.key == ASSIGNMENT_KEY and item.value == content:
                return item.revision
        self._ownership = self._reign = None
        raise StoreError(
            "Another write of the assignment came first.", "The assignment is read."
        )

    # Orders.

    def _renew(self, authority: Authority, now_s: float) -> None:
        """Send the grants that are due."""
        hold_s = authority.hold_s(now_s, self._timing.hold_max_s)
        for service, holding in self._ownership.all_holdings():
            owned = holding.owned
            if owned.target or holding.sending:
                continue
            if holding.failures and not authority.may_move(now_s):
                # The server may have started again and forgotten the fence of a
                # successor that has moved these keys.
                continue
            due = now_s - holding.answered_s >= RENEWAL_S or not holding.granted
            if due and owned.fence <= self._beliefs.assignment.fence:
                holding.sending = True
                self._start(self._grant(authority, service, holding, hold_s))

    async def _grant(
        self, authority: Authority, service: str, holding: Holding, hold_s: float
    ) -> None:
        owned = holding.owned
        backend = self._beliefs.directory.find(owned.server)
        address = backend.address if backend else owned.address
        order = GrantOrder(
            owned.first, owned.last, owned.fence, hold_s, holding.handover
        )
        try:
            answer = await self._orders.grant(owned.server, address, order, ORDER_S)
        finally:
            holding.sending = False
        now_s = boot_time_s()
        self._metrics.count("orders_total", kind="grant", result=answer.result.value)
        if answer.result is OrderResult.DONE:
            if not holding.granted:
                self._events.belief(
                    "keys_granted",
                    service=service,
                    first=owned.first,
                    last=owned.last,
                    server=owned.server,
                    fence=owned.fence,
                    hold_s=hold_s,
                )
            holding.grant_answered(now_s, hold_s)
            return
        if answer.result is OrderResult.FENCED and not authority.may_move(now_s):
            self._leadership.step_down("a server has seen a successor's fence")
        if answer.result is OrderResult.UNKNOWN:
            holding.grant_uncertain(now_s, hold_s)
        else:
            holding.grant_not_run()
        self._events.belief(
            "grant_not_confirmed",
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=owned.fence,
            result=answer.result.value,
            detail=answer.detail,
            failures=holding.failures,
        )

    def _release_moving(self) -> None:
        """Ask the holders of moving ranges to give them up."""
        now_s = boot_time_s()
        for service, holding in self._ownership.all_holdings():
            if not holding.owned.target or holding.released or holding.sending:
                continue
            if now_s - holding.asked_s >= RELEASE_RETRY_S:
                holding.asked_s = now_s
                holding.sending = True
                self._start(self._release(service, holding))

    async def _release(self, service: str, holding: Holding) -> None:
        owned = holding.owned
        backend = self._beliefs.directory.find(owned.server)
        address = backend.address if backend else owned.address
        order = ReleaseOrder(owned.first, owned.last, self._ownership.fence)
        try:
            answer = await self._orders.release(
                owned.server, address, order, RELEASE_TIMEOUT_S
            )
        finally:
            holding.sending = False
        self._metrics.count("orders_total", kind="release", result=answer.result.value)
        done = answer.result is OrderResult.DONE
        if done:
            holding.release_answered(answer.handover)
        self._events.belief(
            "keys_released" if done else "release_not_confirmed",
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=order.fence,
            result=answer.result.value,
            detail=answer.detail,
            held_for_s=round(holding.in_force_until_s() - boot_time_s(), 2),
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
