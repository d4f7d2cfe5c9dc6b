"""Schedules the grants that a coordinator sends to each server."""

from __future__ import annotations

__all__ = ["GrantSchedule"]

import math
from collections.abc import Iterable, Mapping

from .coordination_events import SendGrant
from .grants import GrantAnswer
from .holdings import Holdings

RENEWAL_INTERVAL_S = 0.1
# Three renewal intervals: a server whose term was cut short by the end of an
# authority does not count as lost before this.
ANSWER_TIMEOUT_S = 0.3


class GrantSchedule:
    """Renews the grants of all servers, and changes them once that is safe.

    :param holdings: items that the servers may hold.
    """

    def __init__(self, holdings: Holdings) -> None:
        self.holdings = holdings
        self._last_answer: dict[str, float] = {}
        self._last_sent: dict[str, float] = {}
        self._has_changed = False

    def inquire(self, server: str, address: str, now: float) -> SendGrant:
        """Return an inquiry to send to a server."""
        self._last_sent[server] = now
        return SendGrant(server, address, self.holdings.inquiry(server))

    def handle_answer(self, server: str, answer: GrantAnswer, now: float) -> bool:
        """Process an answer; return whether the server's current process sent it."""
        if not self.holdings.handle_answer(server, answer, now):
            return False
        self._last_answer[server] = now
        self._has_changed = True
        return True

    def mark_changed(self) -> None:
        """Make the next call of :meth:`due_grants` compare all grants with the targets.

        Call this when the targets change or become durable.
        """
        self._has_changed = True

    def expire(self, now: float) -> None:
        """Clear what servers held whose terms have provably ended."""
        if self.holdings.expire(now):
            self._has_changed = True

    def unanswered_servers(self, servers: Iterable[str]) -> set[str]:
        """Return the servers that have not answered since this recovery began."""
        return set(servers) - self._last_answer.keys()

    def is_up(self, server: str, now: float) -> bool:
        """Whether a server has answered recently, or answered and has a term left."""
        if server not in self._last_answer:
            return False
        if now < self._last_answer[server] + ANSWER_TIMEOUT_S:
            return True
        return not self.holdings.terms.has_lapsed(server, now)

    def due_grants(
        self,
        addresses: Mapping[str, str],
        targets: Mapping[str, frozenset[int]],
        now: float,
        *,
        authority_end: float,
        may_add: bool,
        force: bool = False,
    ) -> list[SendGrant]:
        """Return the grants that are due for renewal and those that have changed.

        A server that has not answered yet is sent an inquiry instead.

        :param addresses: address of each server to send grants to.
        :param targets: items that each server should hold.
        :param authority_end: no term ends after this.
        :param may_add: whether a server may be granted items it does not hold yet.
        :param force: renew all grants now.
        """
        grants = []
        for server, address in sorted(addresses.items()):
            due = (
                force
                or now >= self._last_sent.get(server, -math.inf) + RENEWAL_INTERVAL_S
            )
            if not due and not self._has_changed:
                continue
            if server not in self._last_answer:
                if due:
                    grants.append(self.inquire(server, address, now))
                continue
            wanted = targets.get(server, frozenset())
            items = self._grantable_items(server, wanted, may_add)
            if due or self.holdings.differs_from_last_grant(server, items):
                grant = self.holdings.grant(server, items, authority_end)
                self._last_sent[server] = now
                grants.append(SendGrant(server, address, grant))
        self._has_changed = False
        return grants

    def _grantable_items(
        self, server: str, wanted: frozenset[int], may_add: bool
    ) -> frozenset[int]:
        added = wanted - self.holdings.may_hold(server)
        if not added:
            return wanted
        if not may_add:
            return wanted - added
        return wanted - (added & self.holdings.held_elsewhere(server))
