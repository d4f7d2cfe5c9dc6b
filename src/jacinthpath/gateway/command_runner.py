"""Sends the grants and releases that are due and records what came of them."""

from __future__ import annotations

__all__ = ["CommandRunner"]

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..metrics import Metrics
from .authority import ORDER_S, RENEWAL_S, LeaderAuthority
from .cluster_view import ClusterView
from .events import EventLog
from .ownership import Holding, Ownership
from .server_commands import (
    CommandResponse,
    CommandResult,
    CommandSender,
    GrantCommand,
    ReleaseCommand,
)

RELEASE_TIMEOUT_S = 2.5
"""A release is answered when the running work has ended."""

RELEASE_RETRY_S = 0.4
"""Time between releases to a holder that does not answer: a lost server with many
ranges was asked for each of them ten times a second."""


class CommandRunner:
    """Runs the orders of a leader, one at a time for each range.

    :param fenced: called when a server has seen a higher fence.
    :param clock: boot clock.
    """

    def __init__(
        self,
        orders: CommandSender,
        view: ClusterView,
        events: EventLog,
        metrics: Metrics,
        fenced: Callable[[LeaderAuthority], None],
        clock: Callable[[], float],
    ) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self._orders = orders
        self._view = view
        self._events = events
        self._metrics = metrics
        self._fenced = fenced
        self._clock = clock

    def renew(
        self, ownership: Ownership, authority: LeaderAuthority, hold_max_s: float
    ) -> None:
        """Send the grants that are due; only what is written is granted."""
        now_s = self._clock()
        hold_s = authority.hold_s(now_s, hold_max_s)
        written = self._view.assignment.fence
        for service, holding in ownership.all_holdings():
            if holding.sending or holding.owned.fence > written:
                continue
            if _is_due(holding, authority, now_s):
                self._start(holding, self._grant(authority, service, holding, hold_s))

    def release_moving(self, ownership: Ownership) -> None:
        """Ask the holders of moving ranges to give them up."""
        now_s = self._clock()
        for service, holding in ownership.all_holdings():
            if not holding.owned.target or holding.released or holding.sending:
                continue
            if now_s - holding.asked_s >= RELEASE_RETRY_S:
                holding.asked_s = now_s
                self._start(holding, self._release(service, holding, ownership.fence))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the orders."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _start(self, holding: Holding, order: Coroutine[Any, Any, None]) -> None:
        holding.sending = True
        self.start(order)

    async def _grant(
        self, authority: LeaderAuthority, service: str, holding: Holding, hold_s: float
    ) -> None:
        owned = holding.owned
        order = GrantCommand(
            owned.first, owned.last, owned.fence, hold_s, holding.handover
        )
        try:
            answer = await self._orders.grant(
                owned.server, self._address(holding), order, ORDER_S
            )
        finally:
            holding.sending = False
        now_s = self._clock()
        self._metrics.count("orders_total", kind="grant", result=answer.result.value)
        if answer.result is CommandResult.DONE:
            is_first = not holding.granted
            holding.grant_answered(now_s, hold_s)
            if is_first:
                self._log("keys_granted", service, holding, owned.fence, answer)
            return
        if answer.result is CommandResult.FENCED:
            self._fenced(authority)
        if answer.result is CommandResult.UNKNOWN:
            holding.grant_uncertain(now_s, hold_s)
        else:
            holding.grant_not_run()
        self._log("grant_not_confirmed", service, holding, owned.fence, answer)

    async def _release(self, service: str, holding: Holding, fence: int) -> None:
        owned = holding.owned
        order = ReleaseCommand(owned.first, owned.last, fence)
        try:
            answer = await self._orders.release(
                owned.server, self._address(holding), order, RELEASE_TIMEOUT_S
            )
        finally:
            holding.sending = False
        self._metrics.count("orders_total", kind="release", result=answer.result.value)
        done = answer.result is CommandResult.DONE
        if done:
            holding.release_answered(answer.handover)
        event = "keys_released" if done else "release_not_confirmed"
        self._log(event, service, holding, fence, answer)

    def _address(self, holding: Holding) -> str:
        """Return where the holder takes orders, by its entry or as written."""
        backend = self._view.directory.find(holding.owned.server)
        return backend.address if backend else holding.owned.address

    def _log(
        self,
        event: str,
        service: str,
        holding: Holding,
        fence: int,
        answer: CommandResponse,
    ) -> None:
        owned = holding.owned
        self._events.state_change(
            event,
            service=service,
            first=owned.first,
            last=owned.last,
            server=owned.server,
            fence=fence,
            result=answer.result.value,
            detail=answer.detail,
            failures=holding.failures,
            held_for_s=round(holding.in_force_until_s() - self._clock(), 2),
        )


def _is_due(holding: Holding, authority: LeaderAuthority, now_s: float) -> bool:
    """Return whether a grant of the range has to be sent."""
    if holding.owned.target:
        return False
    if holding.failures and not authority.may_move(now_s):
        # The server may have started again and forgotten the fence of a successor
        # that has moved these keys.
        return False
    return not holding.granted or now_s - holding.answered_s >= RENEWAL_S
