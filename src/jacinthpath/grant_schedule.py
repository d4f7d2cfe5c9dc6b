"""When a coordinator sends which grant to which server."""

from __future__ import annotations

__all__ = ["GrantSchedule"]

import math
from collections.abc import Iterable, Mapping

from .coordination_events import SendGrant
from .grants import GrantAnswer
from .holdings import Holdings

RENEWAL_S = 0.1
# Answers to three renewals; a server whose term was cut short by the end of an
# authority is not lost for that.
SILENCE_S = 0.3


class GrantSchedule:
    """Renews the grants of all servers and changes them when that is safe.

    :param holdings: what the servers may hold.
    """

    def __init__(self, holdings: Holdings) -> None:
        self.holdings = holdings
        self._last_heard: dict[str, float] = {}
        self._last_sent: dict[str, float] = {}
        self._changed = False

    def inquire(self, server: str, address: str, now: float) -> SendGrant:
        """Return an inquiry to a server."""
        self._last_sent[server] = now
        return SendGrant(server, address, self.holdings.inquiry(server))

    def handle_answer(self, server: str, answer: GrantAnswer, now: float) -> bool:
        """Take an answer; return whether it is of the server's current process."""
        if not self.holdings.handle_answer(server, answer, now):
            return False
        self._last_heard[server] = now
        self._changed = True
        return True

    def mark_changed(self) -> None:
        """Note that targets or their durability changed."""
        self._changed = True

    def expire(self, now: float) -> None:
        """Let go of what silent servers held, once their terms have ended."""
        if self.holdings.expire(now):
            self._changed = True

    def unanswered_servers(self, servers: Iterable[str]) -> set[str]:
        """Return the servers that have not answered in this recovery."""
        return set(servers) - self._last_heard.keys()

    def is_up(self, server: str, now: float) -> bool:
        """Whether a server answers within its term."""
        if server not in self._last_heard:
            return False
        if now < self._last_heard[server] + SILENCE_S:
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
        """Return the grants that are due, and those that have changed.

        :param addresses: every server to keep in touch with.
        :param targets: items that each server should hold.
        :param authority_end: no term ends after this.
        :param may_add: whether a server may be given what it does not hold yet.
        :param force: renew all grants now.
        """
        effects = []
        for server, address in sorted(addresses.items()):
            due = force or now >= self._last_sent.get(server, -math.inf) + RENEWAL_S
            if not due and not self._changed:
                continue
            if server not in self._last_heard:
                if due:
                    effects.append(self.inquire(server, address, now))
                continue
            wanted = targets.get(server, frozenset())
            items = self._grantable(server, wanted, may_add)
            if due or self.holdings.is_new(server, items):
                grant = self.holdings.grant(server, items, authority_end)
                self._last_sent[server] = now
                effects.append(SendGrant(server, address, grant))
        self._changed = False
        return effects

    def _grantable(
        self, server: str, wanted: frozenset[int], may_add: bool
    ) -> frozenset[int]:
        added = wanted - self.holdings.may_hold(server)
        if not added:
            return wanted
        if not may_add:
            return wanted - added
        return wanted - (added & self.holdings.held_elsewhere(server))
