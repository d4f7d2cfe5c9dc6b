"""Whether the memory of a record holder is complete enough to call a key new.

A holder is *current* for a key at a roster version when it remembers every claim
that it accepted as a holder of the key, and learned the rest from the other
holders when it became one. Among the current holders of a key at most one does not
know a claim that two holders accepted, so two acceptances always meet a holder
that knows it. ``docs/decisions/at-most-once.md`` has the argument.
"""

from __future__ import annotations

__all__ = ["HolderStanding"]

from collections import deque

from .record_messages import PeerStanding, RecordKey
from .record_roster import QUORUM, Member, Roster, choose_holders

# A holder whose roster version was not confirmed for this long accepts no claim,
# so that members of an old version stop within a known time.
CONFIRMATION_LIMIT_S = 60.0

# Longest time from the start of a claim to the first byte sent to an endpoint.
MAX_CLAIM_S = 60.0


class HolderStanding:
    """Tracks the roster versions and transfers of one holder.

    :param member: this process, with its random process identity.
    :param retention_s: time for which records are kept.
    """

    def __init__(self, member: Member, retention_s: float = 600.0) -> None:
        self.member = member
        self.roster: Roster | None = None
        self.base = 0
        self._wait_s = retention_s + CONFIRMATION_LIMIT_S + MAX_CLAIM_S
        self._confirmed_at = float("-inf")
        self._founder = False
        self._peers: dict[str, PeerStanding] = {}
        self._sealed: deque[tuple[int, float]] = deque(maxlen=64)

    def found(self, roster: Roster, founding: Roster) -> None:
        """Start as a founding host in its first process: no record is missing.

        :param roster: the newest roster.
        :param founding: the first version of it.
        """
        self._founder = True
        self.roster = founding
        self.base = founding.version
        self.adopt(roster)

    def adopt(self, roster: Roster) -> bool:
        """Move on to a newer roster; older ones are ignored.

        From here on no claim of an earlier version is accepted.
        """
        previous = self.roster
        if previous is not None and roster.version <= previous.version:
            return False
        self.roster = roster
        self._peers.clear()
        self._carry_base(previous, roster)
        return True

    def confirm(self, at: float) -> None:
        """Note that the roster version was known to be the newest at time ``at``.

        The proof is a read of the store, or that a majority of data centres
        reports this version and cannot reach the store.
        """
        self._confirmed_at = max(self._confirmed_at, at)

    def standing(self) -> PeerStanding:
        """Return what this holder tells a peer that pulls its records."""
        if not self._is_member():
            return PeerStanding(0, 0)
        return PeerStanding(self.roster.version, self.base)

    def peers_to_pull(self) -> list[Member]:
        """Return the members whose records this holder still has to pull."""
        if not self._is_member() or self.base == self.roster.version:
            return []
        return [each for each in self._sharers() if each.host not in self._peers]

    def note_transfer(self, host: str, peer: PeerStanding, now: float) -> None:
        """Note that all records of a peer were pulled.

        A peer at another version does not count: it could still accept claims
        of its version after the transfer.
        """
        if not self._is_member() or peer.version != self.roster.version:
            return
        self._peers[host] = peer
        if self._all_sharers_complete():
            self.base = self.roster.version
        elif self.base < self.roster.version and self._enough_sealed():
            if not any(version == peer.version for version, _ in self._sealed):
                self._sealed.append((peer.version, now))

    def refusal(self, key: RecordKey, version: int, now: float) -> str:
        """Return why a claim cannot be answered, or an empty string.

        :param key: account, service and idempotency key.
        :param version: roster version of the claimant.
        """
        self._pass_time(now)
        if not self._is_member():
            return "no-member"
        if version != self.roster.version:
            return "roster-version"
        if now - self._confirmed_at > CONFIRMATION_LIMIT_S:
            return "unconfirmed"
        if not self._is_current(key):
            return "young"
        return ""

    def _is_member(self) -> bool:
        return self.roster is not None and self._in(self.roster)

    def _in(self, roster: Roster) -> bool:
        listed = roster.member(self.member.host)
        if listed is None:
            return False
        if not listed.process:
            return self._founder
        return listed.process == self.member.process

    def _carry_base(self, previous: Roster | None, roster: Roster) -> None:
        steps = roster.version - (previous.version if previous else 0)
        kept = previous is not None and steps <= len(roster.changes)
        changes = roster.changes[-steps:] if kept else ()
        if not kept or not self._in(roster) or self._was_removed(changes):
            self.base = 0
            self._sealed.clear()
        elif self.base == previous.version:
            self._advance_base(roster)

    def _was_removed(self, changes) -> bool:
        return any(
            removed and removed.host == self.member.host for removed, _ in changes
        )

    def _advance_base(self, roster: Roster) -> None:
        while self.base < roster.version:
            following = roster.at(self.base + 1)
            if self._may_gain_keys(following):
                return
            self.base = following.version

    def _may_gain_keys(self, following: Roster) -> bool:
        """Whether the change that made ``following`` may give this holder keys."""
        removed, added = following.changes[-1]
        if added is not None or removed is None:
            return False
        centres = {member.data_centre for member in following.members}
        return (
            removed.data_centre == self.member.data_centre
            or removed.data_centre not in centres
            or len(centres) <= QUORUM
        )

    def _sharers(self) -> list[Member]:
        """Return the members that may hold a key together with this one."""
        apart = self.roster.data_centre_count() > QUORUM
        return [
            each
            for each in self.roster.members
            if each.host != self.member.host
            and not (apart and each.data_centre == self.member.data_centre)
        ]

    def _all_sharers_complete(self) -> bool:
        version = self.roster.version
        complete = PeerStanding(version, version)
        sharers = self._sharers()
        return len(sharers) >= QUORUM and all(
            self._peers.get(each.host) == complete for each in sharers
        )

    def _enough_sealed(self) -> bool:
        """Whether the data centres that may still use an older version are few.

        Every member of the others has answered at this version, so a majority
        of data centres cannot confirm an older one any more.
        """
        known = {self.member.host, *self._peers}
        open_centres = {
            each.data_centre for each in self.roster.members if each.host not in known
        }
        total = self.roster.data_centre_count()
        earliest = self.roster.at(self.roster.version - len(self.roster.changes))
        most = max(total, earliest.data_centre_count())
        return 2 * (total - len(open_centres)) >= most

    def _pass_time(self, now: float) -> None:
        """Raise the base to versions whose predecessors ended long enough ago."""
        while self._sealed and now >= self._sealed[0][1] + self._wait_s:
            version, _ = self._sealed.popleft()
            if version > self.base:
                self.base = version
                if self.roster.at(version) is not None:
                    self._advance_base(self.roster)

    def _is_current(self, key: RecordKey) -> bool:
        if self._held_since(self.member.host, self.base, key):
            return True
        holders = choose_holders(*key, self.roster.hosts())
        others = [host for host in holders if host != self.member.host]
        return len(others) >= QUORUM and all(
            host in self._peers and self._held_since(host, self._peers[host].base, key)
            for host in others
        )

    def _held_since(self, host: str, base: int, key: RecordKey) -> bool:
        """Whether ``host`` held the key at every version from ``base`` on."""
        if base == self.roster.version:
            return True
        if not base or self.roster.at(base) is None:
            return False
        return all(
            host in choose_holders(*key, self.roster.at(version).hosts())
            for version in range(base, self.roster.version + 1)
        )
