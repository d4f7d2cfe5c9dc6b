"""Failure detection: which hosts are alive, leaving, suspected or lost.

Evidence is direct (an exchange with the host, or a failed contact) or indirect
(a peer lists the host among its suspects). In a fleet of 500 hosts each one is
contacted about once a second by some peer, so hearing nothing from a host is no
evidence that it failed. A host lists only suspects that it failed to contact itself,
and it contacts a suspect that a peer listed before listing that host too; a
suspicion is therefore passed on only by hosts that confirmed it.
"""

from __future__ import annotations

__all__ = ["HostState", "Member", "MembershipView"]

import enum
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# A suspected host is lost after at least this long if a second host suspects it
# too, or after the longer time if none does (a system of two hosts has no second
# witness).
SUSPICION_S = 2.0
UNCONFIRMED_SUSPICION_S = 10.0

# Indirect evidence expires unless it is repeated.
WITNESS_TTL_S = 5.0

# 8 names of 30 bytes keep a digest within a few hundred bytes; after the loss
# of a rack, each digest lists a random sample of the suspects.
MAX_LISTED_SUSPECTS = 8
SUSPECT_CONTACT_INTERVAL_S = 1.0

# The host list lags behind; a host that is no longer on it is removed after this
# time without an exchange.
UNLISTED_RETENTION_S = 60.0


class HostState(enum.Enum):
    """State of a host in this host's view."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    LOST = "lost"


class Member(NamedTuple):
    """One host.

    :param incarnation: last accepted one, 0 before the first exchange.
    :param last_exchange_at_s: time of the last exchange.
    :param suspected_at_s: time of the first failed contact, else ``None``.
    :param last_failed_contact_at_s: time of the last failed contact.
    :param witnesses: other hosts that suspect it, and when they last reported it.
    :param listed: whether it is on the host list.
    """

    host: str
    data_centre: str
    address: str
    state: HostState
    incarnation: int = 0
    leaving: bool = False
    last_exchange_at_s: float = float("-inf")
    suspected_at_s: float | None = None
    last_failed_contact_at_s: float = float("-inf")
    witnesses: Mapping[str, float] = {}
    listed: bool = True


class MembershipView:
    """One host's view of the hosts in the system.

    ``revision`` grows with every change of a host's state or data centre, and when a
    host is removed.

    :param host: name of this host.
    :param incarnation: of this process; higher at each start, such as the
        start time in milliseconds.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self.host = host
        self.incarnation = incarnation
        self._members: dict[str, Member] = {}
        self._suspected: set[str] = set()
        self._unverified_suspects: set[str] = set()
        self.revision = 0

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts except this one."""
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
        """Apply the host list, which lags behind.

        It adds hosts and shows which are leaving. It does not make a lost host
        alive again, and a host that is no longer on it stays while exchanges
        succeed.

        :param hosts: host, data centre, control address and whether it is leaving.
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
                self._set_member(
                    member._replace(leaving=leaving, last_exchange_at_s=now_s)
                )
            else:
                leaving = leaving or known.leaving
                self._set_member(known._replace(leaving=leaving, listed=True))
            self._update_state(host, now_s)
        for host in self._members.keys() - listed:
            member = self._members[host]._replace(listed=False)
            self._set_member(member)
            if member.suspected_at_s is not None or (
                now_s - member.last_exchange_at_s > UNLISTED_RETENTION_S
            ):
                self._remove_member(host)

    def record_digest(
        self,
        host: str,
        incarnation: int,
        leaving: bool,
        suspects: Iterable[str],
        now_s: float,
        answered: bool,
    ) -> bool:
        """Apply a digest of a host; return whether it was accepted.

        An unsolicited digest may have waited in a buffer while its sender was
        lost, so it refutes a suspicion only with a higher incarnation. The
        response to a request of this host proves that the sender is running.

        :param answered: whether the digest responds to a request of this host.
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
            # Most hosts were suspected, so the fault was on this host's side.
            self._clear_suspicions()
        restarted = incarnation != member.incarnation
        self._set_member(
            self._members[host]._replace(
                incarnation=incarnation,
                leaving=leaving if restarted else leaving or member.leaving,
                last_exchange_at_s=now_s,
                suspected_at_s=None,
                witnesses={} if refuted else member.witnesses,
            )
        )
        self._unverified_suspects.discard(host)
        self._update_state(host, now_s)
        for suspect in suspects:
            self._record_suspicion(host, suspect, now_s)
        return True

    def record_contact_failure(self, host: str, now_s: float) -> None:
        """Record that this host could not contact another one."""
        member = self._members.get(host)
        if member is None:
            return
        suspected_at_s = member.suspected_at_s
        self._set_member(
            member._replace(
                suspected_at_s=now_s if suspected_at_s is None else suspected_at_s,
                last_failed_contact_at_s=now_s,
            )
        )
        self._update_state(host, now_s)

    def tick(self, now_s: float) -> None:
        """Mark suspected hosts as lost whose suspicion was not refuted in time."""
        for host in tuple(self._suspected):
            self._update_state(host, now_s)

    def choose_suspect_to_contact(
        self, now_s: float, randomness: random.Random
    ) -> str | None:
        """Return a suspect to contact now, if any.

        Suspects that peers listed come first. This host's own suspects are contacted
        again, so that a host that came back learns of the suspicion and refutes
        it. One contact per call bounds the traffic after the loss of a rack.
        """
        unverified = sorted(self._unverified_suspects - self._suspected)
        if unverified:
            host = randomness.choice(unverified)
            self._unverified_suspects.discard(host)
            return host
        due = [
            host
            for host in sorted(self._suspected)
            if now_s - self._members[host].last_failed_contact_at_s
            > SUSPECT_CONTACT_INTERVAL_S
        ]
        return randomness.choice(due) if due else None

    def suspects(self, randomness: random.Random) -> tuple[str, ...]:
        """Return this host's suspects for a digest, as ``host@incarnation``."""
        suspects = [
            f"{host}@{self._members[host].incarnation}"
            for host in sorted(self._suspected)
        ]
        if len(suspects) > MAX_LISTED_SUSPECTS:
            suspects = randomness.sample(suspects, MAX_LISTED_SUSPECTS)
        return tuple(suspects)

    def _record_suspicion(self, witness: str, suspect: str, now_s: float) -> None:
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
        self._set_member(member._replace(witnesses=witnesses))
        if member.suspected_at_s is None:
            self._unverified_suspects.add(host)
        self._update_state(host, now_s)

    def _update_state(self, host: str, now_s: float) -> None:
        """Derive the state of a host from the evidence."""
        member = self._members[host]
        witnesses = {
            name: at_s
            for name, at_s in member.witnesses.items()
            if now_s - at_s <= WITNESS_TTL_S and self._is_valid_witness(name)
        }
        suspected_at_s = member.suspected_at_s
        if suspected_at_s is None:
            state = HostState.LEAVING if member.leaving else HostState.ALIVE
        elif member.state is HostState.LOST:
            state = HostState.LOST
        elif self._is_isolated():
            state = HostState.SUSPECTED
        elif now_s - suspected_at_s >= (
            SUSPICION_S if witnesses else UNCONFIRMED_SUSPICION_S
        ):
            state = HostState.LOST
        else:
            state = HostState.SUSPECTED
        self._set_member(member._replace(state=state, witnesses=witnesses))

    def _is_isolated(self) -> bool:
        """Return whether so many hosts are suspected that this one must be cut off."""
        return len(self._suspected) > max(1, len(self._members) / 2)

    def _clear_suspicions(self) -> None:
        for host in tuple(self._suspected):
            member = self._members[host]
            state = HostState.LEAVING if member.leaving else HostState.ALIVE
            self._set_member(
                member._replace(suspected_at_s=None, state=state, witnesses={})
            )

    def _is_valid_witness(self, witness: str) -> bool:
        member = self._members.get(witness)
        return member is not None and member.suspected_at_s is None

    def _set_member(self, member: Member) -> None:
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

    def _remove_member(self, host: str) -> None:
        if self._members.pop(host, None) is not None:
            self.revision += 1
        self._suspected.discard(host)
        self._unverified_suspects.discard(host)
