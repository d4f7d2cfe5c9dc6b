"""Whether a record holder's memory is complete enough to report a key as new.

A holder is *current* for a key at a roster version when it remembers every claim
that it accepted as a holder of the key, and learned the rest from the other
holders when it became one. Among the current holders of a key at most one does not
know a claim that two holders accepted, so any two acceptances include a holder
that knows it. The proof is in ``docs/decisions/at-most-once.md``.
"""

from __future__ import annotations

__all__ = ["HolderCompleteness"]

from collections import deque

from .record_messages import PeerCompleteness, RecordKey
from .record_roster import QUORUM, Member, Roster, choose_holders

# A holder whose roster version was not confirmed for this long accepts no claim,
# which bounds the time until members of an old version stop accepting.
CONFIRMATION_LIMIT_S = 60.0

# Maximum time from the start of a claim to the first byte sent to an endpoint.
MAX_CLAIM_S = 60.0


class HolderCompleteness:
    """Tracks the roster versions and record transfers of one holder.

    ``complete_up_to`` is the roster version up to which the memory is complete for
    all keys of this holder, or 0.

    :param member: this process, with its random process id.
    :param retention_s: time for which records are kept.
    """

    def __init__(self, member: Member, retention_s: float = 600.0) -> None:
        self.member = member
        self.roster: Roster | None = None
        self.complete_up_to = 0
        self._seal_wait_s = retention_s + CONFIRMATION_LIMIT_S + MAX_CLAIM_S
        self._confirmed_at = float("-inf")
        self._is_first_process = False
        self._peer_reports: dict[str, PeerCompleteness] = {}
        # Versions whose predecessors cannot be confirmed any more, and since when.
        self._sealed_versions: deque[tuple[int, float]] = deque(maxlen=64)

    def start_as_initial_member(self, roster: Roster, initial: Roster) -> None:
        """Start as the first process of an initial member: no record is missing.

        :param roster: the newest roster.
        :param initial: its first version.
        """
        self._is_first_process = True
        self.roster = initial
        self.complete_up_to = initial.version
        self.adopt(roster)

    def adopt(self, roster: Roster) -> bool:
        """Switch to a newer roster; other rosters are ignored.

        From then on no claim of an earlier version is accepted.

        :return: whether the roster was newer.
        """
        previous = self.roster
        if previous is not None and roster.version <= previous.version:
            return False
        self.roster = roster
        self._peer_reports.clear()
        self._carry_over_completeness(previous, roster)
        return True

    def record_confirmation(self, at: float) -> None:
        """Record that the roster version was known to be the newest at time ``at``.

        The evidence is a read of the store, or that a majority of data centres
        reports this version and cannot reach the store.
        """
        self._confirmed_at = max(self._confirmed_at, at)

    def report(self) -> PeerCompleteness:
        """Return the versions sent to a peer that pulls this holder's records."""
        if not self._is_member():
            return PeerCompleteness(0, 0)
        return PeerCompleteness(self.roster.version, self.complete_up_to)

    def list_unpulled_peers(self) -> list[Member]:
        """Return the members whose records this holder still has to pull."""
        if not self._is_member() or self.complete_up_to == self.roster.version:
            return []
        return [
            each for each in self._co_holders() if each.host not in self._peer_reports
        ]

    def record_transfer(
        self, host: str, peer_report: PeerCompleteness, now: float
    ) -> None:
        """Record that all records of a peer were pulled.

        A peer at another version does not count: it could still accept claims
        of its version after the transfer.
        """
        if not self._is_member() or peer_report.version != self.roster.version:
            return
        self._peer_reports[host] = peer_report
        if self._all_co_holders_complete():
            self.complete_up_to = self.roster.version
        elif (
            self.complete_up_to < self.roster.version
            and self._are_older_versions_sealed()
        ):
            if not any(
                version == peer_report.version for version, _ in self._sealed_versions
            ):
                self._sealed_versions.append((peer_report.version, now))

    def refusal_reason(self, key: RecordKey, version: int, now: float) -> str:
        """Return why a claim cannot be answered, or an empty string.

        :param key: account, service and idempotency key.
        :param version: roster version of the claimant.
        """
        self._complete_sealed_versions(now)
        if not self._is_member():
            return "no-member"
        if version != self.roster.version:
            return "roster-version"
        if now - self._confirmed_at > CONFIRMATION_LIMIT_S:
            return "unconfirmed"
        if not self._is_current_for(key):
            return "young"
        return ""

    def _is_member(self) -> bool:
        return self.roster is not None and self._is_listed_in(self.roster)

    def _is_listed_in(self, roster: Roster) -> bool:
        listed_member = roster.member(self.member.host)
        if listed_member is None:
            return False
        if not listed_member.process_id:
            return self._is_first_process
        return listed_member.process_id == self.member.process_id

    def _carry_over_completeness(self, previous: Roster | None, roster: Roster) -> None:
        version_steps = roster.version - (previous.version if previous else 0)
        history_covers = previous is not None and version_steps <= len(roster.changes)
        changes = roster.changes[-version_steps:] if history_covers else ()
        if (
            not history_covers
            or not self._is_listed_in(roster)
            or self._was_removed(changes)
        ):
            self.complete_up_to = 0
            self._sealed_versions.clear()
        elif self.complete_up_to == previous.version:
            self._advance_completeness(roster)

    def _was_removed(self, changes) -> bool:
        return any(
            removed and removed.host == self.member.host for removed, _ in changes
        )

    def _advance_completeness(self, roster: Roster) -> None:
        while self.complete_up_to < roster.version:
            next_roster = roster.at_version(self.complete_up_to + 1)
            if self._may_gain_keys(next_roster):
                return
            self.complete_up_to = next_roster.version

    def _may_gain_keys(self, next_roster: Roster) -> bool:
        """Whether the change that led to ``next_roster`` may give this holder keys."""
        removed, added = next_roster.changes[-1]
        if added is not None or removed is None:
            return False
        data_centres = {member.data_centre for member in next_roster.members}
        return (
            removed.data_centre == self.member.data_centre
            or removed.data_centre not in data_centres
            or len(data_centres) <= QUORUM
        )

    def _co_holders(self) -> list[Member]:
        """Return the members that may hold a key together with this one."""
        in_distinct_data_centres = self.roster.data_centre_count() > QUORUM
        return [
            each
            for each in self.roster.members
            if each.host != self.member.host
            and not (
                in_distinct_data_centres and each.data_centre == self.member.data_centre
            )
        ]

    def _all_co_holders_complete(self) -> bool:
        version = self.roster.version
        complete = PeerCompleteness(version, version)
        co_holders = self._co_holders()
        return len(co_holders) >= QUORUM and all(
            self._peer_reports.get(each.host) == complete for each in co_holders
        )

    def _are_older_versions_sealed(self) -> bool:
        """Whether no majority of data centres can confirm an older version any more.

        In at least half of the data centres every member has responded at this
        version.
        """
        answered_hosts = {self.member.host, *self._peer_reports}
        open_data_centres = {
            each.data_centre
            for each in self.roster.members
            if each.host not in answered_hosts
        }
        data_centre_count = self.roster.data_centre_count()
        earliest = self.roster.at_version(
            self.roster.version - len(self.roster.changes)
        )
        max_data_centre_count = max(data_centre_count, earliest.data_centre_count())
        return 2 * (data_centre_count - len(open_data_centres)) >= max_data_centre_count

    def _complete_sealed_versions(self, now: float) -> None:
        """Count as complete up to the versions that were sealed long enough ago.

        By then the records of older versions that this holder lacks have expired.
        """
        while (
            self._sealed_versions
            and now >= self._sealed_versions[0][1] + self._seal_wait_s
        ):
            version, _ = self._sealed_versions.popleft()
            if version > self.complete_up_to:
                self.complete_up_to = version
                if self.roster.at_version(version) is not None:
                    self._advance_completeness(self.roster)

    def _is_current_for(self, key: RecordKey) -> bool:
        if self._has_held_since(self.member.host, self.complete_up_to, key):
            return True
        holders = choose_holders(*key, self.roster.hosts())
        others = [host for host in holders if host != self.member.host]
        return len(others) >= QUORUM and all(
            host in self._peer_reports
            and self._has_held_since(host, self._peer_reports[host].complete_up_to, key)
            for host in others
        )

    def _has_held_since(self, host: str, complete_up_to: int, key: RecordKey) -> bool:
        """Whether ``host`` held the key at every version from ``complete_up_to`` on."""
        if complete_up_to == self.roster.version:
            return True
        if not complete_up_to or self.roster.at_version(complete_up_to) is None:
            return False
        return all(
            host in choose_holders(*key, self.roster.at_version(version).hosts())
            for version in range(complete_up_to, self.roster.version + 1)
        )
