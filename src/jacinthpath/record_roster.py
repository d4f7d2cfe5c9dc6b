"""Roster of the at-most-once record holders, and its creation at the first start.

The roster is one value in the store that changes by compare-and-swap, one member
at a time. Its version gives all processes the same order of holder sets; the
host list, which may be outdated, only suggests changes. A member is a control
*process*: a restart loses its records, so it is a change of the roster as well.
"""

from __future__ import annotations

__all__ = [
    "HOLDER_COUNT",
    "QUORUM",
    "Change",
    "Member",
    "Roster",
    "RosterBootstrap",
    "StoreCall",
    "StoreResult",
    "choose_holders",
    "decode_roster",
    "encode_roster",
    "initial_roster",
]

import json
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from .errors import FrameError
from .hashing import rendezvous_rank
from .json_documents import parse_json

HOLDER_COUNT = 3
QUORUM = 2

# Changes kept in a roster, from which a holder that missed some versions determines
# which keys it gained in between. At 100 restarts a day, 64 changes cover half a day.
HISTORY_LENGTH = 64

ROSTER_KEY = "records/roster"
START_MARKER_PREFIX = "records/started/"


def choose_holders(
    account: str, service: str, idempotency_key: str, hosts: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the hosts that hold the record of an idempotency key.

    The data centres are ranked first and then the hosts within each, so one
    host that joins or leaves replaces at most one holder of a key.

    :param hosts: data centre of each host.
    :return: three hosts in different data centres; with fewer data centres, filled
        up with other hosts; fewer than three when there are fewer hosts.
    """
    item = f"{account}\0{service}\0{idempotency_key}"
    hosts_by_data_centre: dict[str, list[str]] = {}
    for host, data_centre in hosts.items():
        hosts_by_data_centre.setdefault(data_centre, []).append(host)
    data_centres = rendezvous_rank(item, hosts_by_data_centre)[:HOLDER_COUNT]
    chosen = [
        rendezvous_rank(item, hosts_by_data_centre[data_centre])[0]
        for data_centre in data_centres
    ]
    if len(chosen) < HOLDER_COUNT:
        others = (host for host in hosts if host not in chosen)
        chosen += rendezvous_rank(item, others)[: HOLDER_COUNT - len(chosen)]
    return tuple(chosen)


class Member(NamedTuple):
    """A control process that may hold records.

    :param process_id: id of the process, random at each start; empty for an initial
        member, whose first process is identified by its marker in the store.
    :param address: peer address of the control process.
    """

    host: str
    data_centre: str
    process_id: str = ""
    address: str = ""


# The removed and the added member; both when a process replaces another.
Change = tuple[Member | None, Member | None]


class Roster(NamedTuple):
    """One version of the set of holders.

    :param version: version of the value in the store; incremented by each change.
    :param members: at most one member for each host.
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
        """Return the next version, with ``member`` replacing the one on its host."""
        return self._next_version(self.member(member.host), member)

    def without_host(self, host: str) -> Roster:
        """Return the next version, without the member on ``host``."""
        return self._next_version(self.member(host), None)

    def at_version(self, version: int) -> Roster | None:
        """Return this or an earlier version; ``None`` if it is not in the history."""
        version_steps = self.version - version
        if not 0 <= version_steps <= len(self.changes):
            return None
        return _undo_changes(self, version_steps)

    def data_centre_count(self) -> int:
        """Return the number of data centres that have members."""
        return len({member.data_centre for member in self.members})

    def _next_version(self, removed: Member | None, added: Member | None) -> Roster:
        members = tuple(each for each in self.members if each != removed)
        if added is not None:
            members += (added,)
        changes = (*self.changes, (removed, added))[-HISTORY_LENGTH:]
        return Roster(self.version + 1, tuple(sorted(members)), changes)


# While a holder pulls records, each claim needs the same few earlier versions.
@lru_cache(maxsize=HISTORY_LENGTH)
def _undo_changes(roster: Roster, version_steps: int) -> Roster:
    members = set(roster.members)
    remaining_changes = len(roster.changes) - version_steps
    for removed, added in reversed(roster.changes[remaining_changes:]):
        members.discard(added)
        if removed is not None:
            members.add(removed)
    return Roster(
        roster.version - version_steps,
        tuple(sorted(members)),
        roster.changes[:remaining_changes],
    )


def initial_roster(members: Iterable[Member]) -> Roster:
    """Return the first version of the roster of a new system.

    :param members: the hosts of the host list, without process ids.
    """
    return Roster(1, tuple(sorted(members)))


def encode_roster(roster: Roster) -> bytes:
    """Return the encoding of a roster, used in the store and as a topic's content."""
    return json.dumps(roster, separators=(",", ":")).encode()


def decode_roster(content: bytes) -> Roster:
    """Return the roster in ``content``.

    :raises FrameError: the content is not a valid roster.
    """
    try:
        version, members, changes = parse_json(content)
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
            f"The roster is malformed: {error}.", "Check the sender's software version."
        ) from error


class StoreCall(NamedTuple):
    """A store call that the user of :class:`RosterBootstrap` should make.

    ``action`` is ``read``, or ``create`` (write if the key does not exist).
    """

    action: str
    key: str
    value: bytes = b""


class StoreResult(NamedTuple):
    """Result of a store call.

    ``kind`` is ``created``, ``found`` (with the value), ``absent``, ``exists``
    (the key to create existed already), or ``unclear`` (no response: a create may
    have been executed).
    """

    kind: str
    value: bytes = b""


class RosterBootstrap:
    """Decides at the start of a control process whether its records are complete.

    A host of the initial roster that starts for the first time has never held
    a record, so its empty memory is complete. Its first start is the one that
    creates its marker in the store; a later start of the same host finds the
    marker and has to pull records first. An unclear result is resolved by reading
    the value back.

    :param member: this process.
    :param initial_members: the hosts of the host list, without process ids; used
        when no roster exists yet.
    """

    def __init__(self, member: Member, initial_members: Iterable[Member]) -> None:
        self.member = member
        self.roster: Roster | None = None
        self.first_start: bool | None = None
        self._initial_members = tuple(initial_members)
        self._marker_key = START_MARKER_PREFIX + member.host
        self._pending_call: StoreCall | None = StoreCall("read", ROSTER_KEY)

    def next_call(self) -> StoreCall | None:
        """Return the next store call, or ``None`` when the decision is made."""
        return self._pending_call

    def handle_result(self, result: StoreResult) -> None:
        """Handle the result of the call returned by :meth:`next_call`."""
        call = self._pending_call
        if call is None:
            return
        if result.kind in ("unclear", "exists"):
            self._pending_call = StoreCall("read", call.key)
        elif call.key == ROSTER_KEY:
            self._handle_roster_result(call, result)
        else:
            self._handle_marker_result(result)

    def _handle_roster_result(self, call: StoreCall, result: StoreResult) -> None:
        if result.kind == "absent":
            content = encode_roster(initial_roster(self._initial_members))
            self._pending_call = StoreCall("create", ROSTER_KEY, content)
            return
        content = call.value if result.kind == "created" else result.value
        self.roster = decode_roster(content)
        listed_member = self.roster.member(self.member.host)
        if listed_member is not None and not listed_member.process_id:
            self._pending_call = self._create_marker()
        else:
            self._finish(first_start=False)

    def _handle_marker_result(self, result: StoreResult) -> None:
        if result.kind == "absent":
            self._pending_call = self._create_marker()
            return
        process_id = self.member.process_id.encode()
        self._finish(result.kind == "created" or result.value == process_id)

    def _create_marker(self) -> StoreCall:
        return StoreCall("create", self._marker_key, self.member.process_id.encode())

    def _finish(self, first_start: bool) -> None:
        self.first_start = first_start
        self._pending_call = None
