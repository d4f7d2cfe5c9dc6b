"""Roster of the at-most-once record holders, and the first start of a fleet.

The roster is one value in the store that changes by compare-and-swap, one member
at a time. Its version gives all processes the same order of holder sets; the
lagging host list only suggests changes. A member is a control *process*: a
restart loses the memory, so it is a change of the roster as well.
"""

from __future__ import annotations

__all__ = [
    "HOLDERS",
    "QUORUM",
    "Change",
    "Founding",
    "Member",
    "Roster",
    "StoreCall",
    "StoreReply",
    "choose_holders",
    "decode_roster",
    "encode_roster",
    "founding_roster",
]

import json
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from .errors import FrameError
from .hashing import rendezvous_rank

HOLDERS = 3
QUORUM = 2

# Changes that a roster carries, so that a holder that missed some versions can
# tell which keys it gained in between. At 100 restarts a day, 64 changes cover
# half a day.
HISTORY_LENGTH = 64

ROSTER_KEY = "records/roster"
MARKER_PREFIX = "records/started/"


def choose_holders(
    account: str, service: str, idempotency_key: str, hosts: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the hosts that hold the record of an idempotency key.

    The data centres are ranked first and then the hosts within each, so one
    host that joins or leaves replaces at most one holder of a key.

    :param hosts: data centre of each host.
    :return: three hosts in different data centres; with fewer data centres the
        rest are further hosts; fewer than three when there are fewer hosts.
    """
    item = f"{account}\0{service}\0{idempotency_key}"
    by_centre: dict[str, list[str]] = {}
    for host, centre in hosts.items():
        by_centre.setdefault(centre, []).append(host)
    centres = rendezvous_rank(item, by_centre)[:HOLDERS]
    chosen = [rendezvous_rank(item, by_centre[centre])[0] for centre in centres]
    if len(chosen) < HOLDERS:
        others = (host for host in hosts if host not in chosen)
        chosen += rendezvous_rank(item, others)[: HOLDERS - len(chosen)]
    return tuple(chosen)


class Member(NamedTuple):
    """A control process that may hold records.

    :param process: identity of the process, random at each start; empty for a
        founding host, whose first process is known by its marker in the store.
    :param address: peer address of the control process.
    """

    host: str
    data_centre: str
    process: str = ""
    address: str = ""


# The member that left and the one that joined; both when a process replaces another.
Change = tuple[Member | None, Member | None]


class Roster(NamedTuple):
    """One version of the set of holders.

    :param version: version of the value in the store; grows by one each change.
    :param members: one member at most for each host.
    :param changes: the latest changes, oldest first.
    """

    version: int
    members: tuple[Member, ...]
    changes: tuple[Change, ...] = ()

    def hosts(self) -> dict[str, str]:
        """Return the data centre of each host."""
        return {member.host: member.data_centre for member in self.members}

    def member(self, host: str) -> Member | None:
        """Return the member on a host, if any."""
        return next((each for each in self.members if each.host == host), None)

    def with_member(self, member: Member) -> Roster:
        """Return the next version, with ``member`` instead of its host's old one."""
        return self._changed(self.member(member.host), member)

    def without_host(self, host: str) -> Roster:
        """Return the next version, without the member on ``host``."""
        return self._changed(self.member(host), None)

    def at(self, version: int) -> Roster | None:
        """Return an earlier version, or ``None`` when it is not in the history."""
        steps = self.version - version
        if not 0 <= steps <= len(self.changes):
            return None
        return _undo(self, steps)

    def data_centre_count(self) -> int:
        """Return the number of data centres that have members."""
        return len({member.data_centre for member in self.members})

    def _changed(self, removed: Member | None, added: Member | None) -> Roster:
        members = tuple(each for each in self.members if each != removed)
        if added is not None:
            members += (added,)
        changes = (*self.changes, (removed, added))[-HISTORY_LENGTH:]
        return Roster(self.version + 1, tuple(sorted(members)), changes)


# A holder asks for the same few earlier versions at each claim while it pulls.
@lru_cache(maxsize=HISTORY_LENGTH)
def _undo(roster: Roster, steps: int) -> Roster:
    members = set(roster.members)
    kept = len(roster.changes) - steps
    for removed, added in reversed(roster.changes[kept:]):
        members.discard(added)
        if removed is not None:
            members.add(removed)
    return Roster(roster.version - steps, tuple(sorted(members)), roster.changes[:kept])


def founding_roster(members: Iterable[Member]) -> Roster:
    """Return the roster that founds a fleet.

    :param members: the hosts of the host list, without process identities.
    """
    return Roster(1, tuple(sorted(members)))


def encode_roster(roster: Roster) -> bytes:
    """Return a roster as the value in the store and as the content of a topic."""
    return json.dumps(roster, separators=(",", ":")).encode()


def decode_roster(content: bytes) -> Roster:
    """Return the roster in ``content``.

    :raises FrameError: the content is no roster.
    """
    try:
        version, members, changes = json.loads(content)
        return Roster(
            int(version),
            tuple(Member(*fields) for fields in members),
            tuple(
                (removed and Member(*removed), added and Member(*added))
                for removed, added in changes
            ),
        )
    except (TypeError, ValueError) as error:
        raise FrameError(
            f"A roster is malformed: {error}.", "Check the sender's release."
        ) from error


class StoreCall(NamedTuple):
    """A call that the caller should make to the store.

    ``action`` is ``read``, or ``create`` (write if the key does not exist).
    """

    action: str
    key: str
    value: bytes = b""


class StoreReply(NamedTuple):
    """What came of a call to the store.

    ``kind`` is ``created``, ``found`` (with the value), ``absent``, ``exists``
    (a create that lost), or ``unclear`` (no answer: a create may have been
    carried out).
    """

    kind: str
    value: bytes = b""


class Founding:
    """Decides at the start of a control process whether it may answer at once.

    A host of the founding roster that starts for the first time has never held
    a record, so its empty memory is complete. Its first start is the one that
    creates its marker in the store; a later start of the same host finds the
    marker and is young. An unclear answer is resolved by reading back.

    :param member: this process.
    :param founders: the hosts of the host list, without process identities; used
        when no roster exists yet.
    """

    def __init__(self, member: Member, founders: Iterable[Member]) -> None:
        self.member = member
        self.roster: Roster | None = None
        self.first_start: bool | None = None
        self._founders = tuple(founders)
        self._marker_key = MARKER_PREFIX + member.host
        self._call: StoreCall | None = StoreCall("read", ROSTER_KEY)

    def next_call(self) -> StoreCall | None:
        """Return the next store call, or ``None`` when all is decided."""
        return self._call

    def take(self, reply: StoreReply) -> None:
        """Take the answer to the call of :meth:`next_call`."""
        call = self._call
        if call is None:
            return
        if reply.kind in ("unclear", "exists"):
            self._call = StoreCall("read", call.key)
        elif call.key == ROSTER_KEY:
            self._take_roster(call, reply)
        else:
            self._take_marker(reply)

    def _take_roster(self, call: StoreCall, reply: StoreReply) -> None:
        if reply.kind == "absent":
            content = encode_roster(founding_roster(self._founders))
            self._call = StoreCall("create", ROSTER_KEY, content)
            return
        content = call.value if reply.kind == "created" else reply.value
        self.roster = decode_roster(content)
        listed = self.roster.member(self.member.host)
        if listed is not None and not listed.process:
            self._call = self._create_marker()
        else:
            self._finish(first_start=False)

    def _take_marker(self, reply: StoreReply) -> None:
        if reply.kind == "absent":
            self._call = self._create_marker()
            return
        process = self.member.process.encode()
        self._finish(reply.kind == "created" or reply.value == process)

    def _create_marker(self) -> StoreCall:
        return StoreCall("create", self._marker_key, self.member.process.encode())

    def _finish(self, first_start: bool) -> None:
        self.first_start = first_start
        self._call = None
