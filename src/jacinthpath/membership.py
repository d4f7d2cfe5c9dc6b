"""Which hosts are alive, leaving, suspected or lost.

Evidence is direct (an exchange with the host, or a failed contact) or indirect
(a peer names the host among its suspects). At 500 hosts each one is contacted
about once a second by somebody, so silence towards this host means nothing. A
host lists only suspects that it failed to contact itself, and a suspect that
others name is contacted before it is listed; a suspicion thus spreads only as
far as it is true.
"""

from __future__ import annotations

__all__ = ["HostState", "Member", "MembershipView"]

import enum
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# A host is lost after at least this long and a second witness, or after the
# longer time without one (a system of two hosts has no second witness).
SUSPICION_S = 2.0
LONE_SUSPICION_S = 10.0

# Indirect evidence expires unless it is repeated.
WITNESS_S = 5.0

# 8 names of 30 bytes keep a digest within a few hundred bytes; after the loss
# of a rack they take turns.
MAX_LISTED_SUSPECTS = 8
RECONTACT_S = 1.0

# The host list lags; a host that it dropped is forgotten after this time
# without an exchange.
FORGET_S = 60.0


class HostState(enum.Enum):
    """State of a host as seen from this one."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    LOST = "lost"


class Member(NamedTuple):
    """One host.

    :param incarnation: highest one heard of, 0 before the first exchange.
    :param heard_at_s: time of the last exchange.
    :param suspected_at_s: time of the first failed contact, else ``None``.
    :param witnesses: other hosts that suspect it, and when they last said so.
    :param listed: whether the host list has it.
    """

    host: str
    data_centre: str
    address: str
    state: HostState
    incarnation: int = 0
    leaving: bool = False
    heard_at_s: float = float("-inf")
    suspected_at_s: float | None = None
    contacted_at_s: float = float("-inf")
    witnesses: Mapping[str, float] = {}
    listed: bool = True


class MembershipView:
    """The hosts of the system as seen from one of them.

    ``revision`` changes with every change of a host's state.

    :param host: name of the own host.
    :param incarnation: of the own process; higher at each start, such as the
        start time in milliseconds.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self.host = host
        self.incarnation = incarnation
        self._members: dict[str, Member] = {}
        self._suspected: set[str] = set()
        self._rumoured: set[str] = set()
        self.revision = 0

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts, the own one excluded."""
        return tuple(self._members.values())

    def get(self, host: str) -> Member | None:
        """Return one host, if it is known."""
        return self._members.get(host)

    def state(self, host: str) -> HostState | None:
        """Return the state of a host, ``None`` if it is not known."""
        member = self._members.get(host)
        return member.state if member else None

    def usable(self) -> dict[str, str]:
        """Return the data centre of each host that is alive or leaving."""
        return {
            member.host: member.data_centre
            for member in self._members.values()
            if member.state in (HostState.ALIVE, HostState.LEAVING)
        }

    def apply_host_list(
        self, hosts: Iterable[tuple[str, str, str, bool]], now_s: float
    ) -> None:
        """Take the lagging host list.

        It adds hosts and says which are leaving. It does not revive a lost
        host, and a host that it no longer has stays while exchanges succeed.

        :param hosts: host, data centre, control address and whether it leaves.
        """
        listed = set()
        for host, data_centre, address, leaving in hosts:
            listed.add(host)
            known = self._members.get(host)
            if host == self.host:
                continue
            if known is None or known.address != address:
                # A host of the same name at another address is a replacement.
                member = Member(host, data_centre, address, HostState.ALIVE)
                self._put(member._replace(leaving=leaving, heard_at_s=now_s))
            else:
                leaving = leaving or known.leaving
                self._put(known._replace(leaving=leaving, listed=True))
            self._settle(host, now_s)
        for host in self._members.keys() - listed:
            member = self._members[host]._replace(listed=False)
            self._put(member)
            if member.suspected_at_s is not None or (
                now_s - member.heard_at_s > FORGET_S
            ):
                self._forget(host)

    def heard(
        self,
        host: str,
        incarnation: int,
        leaving: bool,
        suspects: Iterable[str],
        now_s: float,
        answered: bool,
    ) -> bool:
        """Take a digest of a host; return whether its own state was believed.

        An unsolicited digest may have waited in a buffer while its sender was
        lost, so it refutes a suspicion only with a higher incarnation. The
        answer to a request of this host is proof that the sender runs.

        :param answered: whether the digest answers a request of this host.
        """
        member = self._members.get(host)
        if member is None:
            return False
        refuted = answered or incarnation > member.incarnation
        if not refuted and (
            incarnation < member.incarnation or member.suspected_at_s is not None
        ):
            return False
        if member.suspected_at_s is not None and self._is_isolated():
            # Most hosts seemed lost, so the fault was on this side.
            self._clear_suspicions()
        restarted = incarnation != member.incarnation
        self._put(
            self._members[host]._replace(
                incarnation=incarnation,
                leaving=leaving if restarted else leaving or member.leaving,
                heard_at_s=now_s,
                suspected_at_s=None,
                witnesses={} if refuted else member.witnesses,
            )
        )
        self._rumoured.discard(host)
        self._settle(host, now_s)
        for suspect in suspects:
            self._hear_suspicion(host, suspect, now_s)
        return True

    def contact_failed(self, host: str, now_s: float) -> None:
        """Note that this host could not contact another one."""
        member = self._members.get(host)
        if member is None:
            return
        suspected_at_s = member.suspected_at_s
        self._put(
            member._replace(
                suspected_at_s=now_s if suspected_at_s is None else suspected_at_s,
                contacted_at_s=now_s,
            )
        )
        self._settle(host, now_s)

    def tick(self, now_s: float) -> None:
        """Turn suspicions that were confirmed and not refuted into losses."""
        for host in tuple(self._suspected):
            self._settle(host, now_s)

    def to_contact(self, now_s: float, randomness: random.Random) -> str | None:
        """Return a suspect to contact now, if any.

        Suspects that others named come first. One's own suspects are contacted
        again, so that a host that came back hears of the suspicion and refutes
        it. One contact a call bounds the traffic after the loss of a rack.
        """
        named = sorted(self._rumoured - self._suspected)
        if named:
            host = randomness.choice(named)
            self._rumoured.discard(host)
            return host
        again = [
            host
            for host in sorted(self._suspected)
            if now_s - self._members[host].contacted_at_s > RECONTACT_S
        ]
        return randomness.choice(again) if again else None

    def suspects(self, randomness: random.Random) -> tuple[str, ...]:
        """Return own suspects for a digest, as ``host@incarnation``."""
        own = [
            f"{host}@{self._members[host].incarnation}"
            for host in sorted(self._suspected)
        ]
        if len(own) > MAX_LISTED_SUSPECTS:
            own = randomness.sample(own, MAX_LISTED_SUSPECTS)
        return tuple(own)

    def _hear_suspicion(self, witness: str, suspect: str, now_s: float) -> None:
        host, _, text = suspect.rpartition("@")
        incarnation = int(text) if text.isascii() and text.isdigit() else 0
        if host == self.host:
            # The higher incarnation in the next digest refutes the suspicion.
            self.incarnation = max(self.incarnation, incarnation + 1)
            return
        member = self._members.get(host)
        if member is None or incarnation < member.incarnation:
            return
        witnesses = {**member.witnesses, witness: now_s}
        self._put(member._replace(witnesses=witnesses))
        if member.suspected_at_s is None:
            self._rumoured.add(host)
        self._settle(host, now_s)

    def _settle(self, host: str, now_s: float) -> None:
        """Derive the state of a host from the evidence."""
        member = self._members[host]
        witnesses = {
            name: at_s
            for name, at_s in member.witnesses.items()
            if now_s - at_s <= WITNESS_S and self._counts(name)
        }
        since_s = member.suspected_at_s
        if since_s is None:
            state = HostState.LEAVING if member.leaving else HostState.ALIVE
        elif member.state is HostState.LOST:
            state = HostState.LOST
        elif self._is_isolated():
            state = HostState.SUSPECTED
        elif now_s - since_s >= (SUSPICION_S if witnesses else LONE_SUSPICION_S):
            state = HostState.LOST
        else:
            state = HostState.SUSPECTED
        self._put(member._replace(state=state, witnesses=witnesses))

    def _is_isolated(self) -> bool:
        """Whether so many hosts are suspected that this one is cut off itself."""
        return len(self._suspected) > max(1, len(self._members) / 2)

    def _clear_suspicions(self) -> None:
        for host in tuple(self._suspected):
            member = self._members[host]
            state = HostState.LEAVING if member.leaving else HostState.ALIVE
            self._put(member._replace(suspected_at_s=None, state=state, witnesses={}))

    def _counts(self, witness: str) -> bool:
        member = self._members.get(witness)
        return member is not None and member.suspected_at_s is None

    def _put(self, member: Member) -> None:
        known = self._members.get(member.host)
        if known is None or (known.state, known.data_centre) != (
            member.state,
            member.data_centre,
        ):
            self.revision += 1
        self._members[member.host] = member
        if member.suspected_at_s is None:
            self._suspected.discard(member.host)
        else:
            self._suspected.add(member.host)

    def _forget(self, host: str) -> None:
        if self._members.pop(host, None) is not None:
            self.revision += 1
        self._suspected.discard(host)
        self._rumoured.discard(host)
