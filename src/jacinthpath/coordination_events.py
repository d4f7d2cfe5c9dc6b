"""Events that a coordinator takes and effects that it returns."""

from __future__ import annotations

__all__ = [
    "AuthorityExtended",
    "AuthorityGained",
    "AuthorityLost",
    "Effect",
    "EpochSeen",
    "Event",
    "GrantAnswered",
    "LeaseRouter",
    "LoadsChanged",
    "PublishTable",
    "ReleaseRequested",
    "ReleaseRole",
    "RouterAsked",
    "RouterLease",
    "SendGrant",
    "ServersChanged",
    "TableCopied",
    "TableWritten",
    "Tick",
    "WriteTable",
]

from collections.abc import Mapping
from typing import Any, NamedTuple

from .configuration import Endpoint
from .grants import Grant, GrantAnswer
from .slices import SliceTable


class AuthorityGained(NamedTuple):
    """The process became coordinator.

    :param inherited_until: until when terms of a released predecessor may run.
    :param table: newest table of the store and of all hosts that were inquired,
        by epoch and then version, read after the authority of the predecessor
        had ended; ``None`` when there is none.
    :param table_is_newest: whether no acknowledged table can be missing: the
        store was read, or the table was made during this outage.
    """

    epoch: int
    end: float
    inherited_until: float
    table: SliceTable | None
    table_is_newest: bool


class AuthorityExtended(NamedTuple):
    """The authority continues without a gap, possibly under a new epoch.

    It is passed on as soon as the tracker reports it.
    """

    epoch: int
    end: float


class AuthorityLost(NamedTuple):
    """The authority has ended."""


class ServersChanged(NamedTuple):
    """The servers of the service, with their state (active, draining, gone)."""

    servers: Mapping[str, Endpoint]


class GrantAnswered(NamedTuple):
    """A server answered a grant."""

    server: str
    answer: GrantAnswer


class LoadsChanged(NamedTuple):
    """New loads for the planner."""

    loads: Any


class TableWritten(NamedTuple):
    """The store holds a table, as answered or as read back."""

    epoch: int
    version: int


class TableCopied(NamedTuple):
    """A host keeps a copy of a table; only while no one else may claim it.

    The host checked :meth:`~jacinthpath.vouches.VouchLedger.may_keep`.
    """

    epoch: int
    version: int
    data_centre: str


class RouterAsked(NamedTuple):
    """A router asked for a sending lease.

    :param router: process identity of the router.
    :param stamp_ms: the router's clock when it asked.
    :param table_version: version by which it sends; it sends by no other.
    """

    router: str
    stamp_ms: int
    table_version: int


class ReleaseRequested(NamedTuple):
    """The process is about to stop and gives up its role."""


class Tick(NamedTuple):
    """Time has passed; due every 20 ms or so."""


Event = (
    AuthorityGained
    | AuthorityExtended
    | AuthorityLost
    | ServersChanged
    | GrantAnswered
    | LoadsChanged
    | TableWritten
    | TableCopied
    | RouterAsked
    | ReleaseRequested
    | Tick
)


class SendGrant(NamedTuple):
    """Send a grant to a server."""

    server: str
    address: str
    grant: Grant


class WriteTable(NamedTuple):
    """Write a table to the store, and copy it to hosts of other data centres.

    The write replaces any table of a lower epoch by compare-and-swap, and none
    of a higher epoch. It is returned again until one of the two is confirmed.
    """

    table: SliceTable


class PublishTable(NamedTuple):
    """Acknowledge a durable table: disseminate it to hosts and routers."""

    table: SliceTable


class EpochSeen(NamedTuple):
    """A server was granted to under a higher epoch; tell the authority tracker."""

    epoch: int


class RouterLease(NamedTuple):
    """Sending lease of a router.

    :param table_version: version that it is for; a router with another version
        fetches this one and asks again.
    :param stamp_ms: echoed stamp, from which the term runs.
    """

    granted: bool
    epoch: int
    table_version: int
    stamp_ms: int
    term_ms: int


class LeaseRouter(NamedTuple):
    """Answer a router that asked for a sending lease."""

    router: str
    lease: RouterLease


class ReleaseRole(NamedTuple):
    """Give up the role.

    :param terms_until: when all granted terms have ended.
    """

    terms_until: float


Effect = SendGrant | WriteTable | PublishTable | EpochSeen | LeaseRouter | ReleaseRole
