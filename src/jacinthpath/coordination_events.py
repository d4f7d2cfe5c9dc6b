"""Input events of a coordinator and the effects that it returns."""

from __future__ import annotations

__all__ = [
    "AuthorityExtended",
    "AuthorityGained",
    "AuthorityLost",
    "Effect",
    "EpochSeen",
    "Event",
    "GrantAnswered",
    "LoadsChanged",
    "PublishTable",
    "ReleaseRequested",
    "ReleaseRole",
    "RouterLease",
    "RouterLeaseRequested",
    "SendGrant",
    "SendRouterLease",
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

    :param inherited_terms_end: until when terms of a released predecessor may run.
    :param table: newest table of the store and of all hosts that were inquired,
        by epoch and then version, read after the authority of the predecessor
        had ended; ``None`` when there is none.
    :param table_is_newest: whether no acknowledged table can have been missed: the
        store was read, or the table was created during this outage.
    """

    epoch: int
    end: float
    inherited_terms_end: float
    table: SliceTable | None
    table_is_newest: bool


class AuthorityExtended(NamedTuple):
    """The authority continues without a gap, possibly under a new epoch.

    It is delivered as soon as the tracker reports it.
    """

    epoch: int
    end: float


class AuthorityLost(NamedTuple):
    """The authority has ended."""


class ServersChanged(NamedTuple):
    """New list of the service's servers with their states (active, draining, gone)."""

    servers: Mapping[str, Endpoint]


class GrantAnswered(NamedTuple):
    """A server answered a grant."""

    server: str
    answer: GrantAnswer


class LoadsChanged(NamedTuple):
    """New load figures for the planner."""

    loads: Any


class TableWritten(NamedTuple):
    """The store holds a table: the write was confirmed, or the table was read back."""

    epoch: int
    version: int


class TableCopied(NamedTuple):
    """A host stored a copy of a table, while it was committed to no other holder.

    The host checked :meth:`~jacinthpath.vouches.VouchLedger.may_keep`.
    """

    epoch: int
    version: int
    data_centre: str


class RouterLeaseRequested(NamedTuple):
    """A router requested a sending lease.

    :param router: process identity of the router.
    :param stamp_ms: the router's clock when it sent the request.
    :param table_version: table version that it routes by; it uses no other.
    """

    router: str
    stamp_ms: int
    table_version: int


class ReleaseRequested(NamedTuple):
    """The process is about to stop and releases its role."""


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
    | RouterLeaseRequested
    | ReleaseRequested
    | Tick
)


class SendGrant(NamedTuple):
    """Send a grant to a server."""

    server: str
    address: str
    grant: Grant


class WriteTable(NamedTuple):
    """Write a table to the store, and replicate it to hosts of other data centres.

    The write replaces any table of a lower epoch by compare-and-swap, and none
    of a higher epoch. The effect is repeated until the write or enough replicas
    are confirmed.
    """

    table: SliceTable


class PublishTable(NamedTuple):
    """Acknowledge a durable table by disseminating it to hosts and routers."""

    table: SliceTable


class EpochSeen(NamedTuple):
    """A server has accepted a higher epoch; report it to the authority tracker."""

    epoch: int


class RouterLease(NamedTuple):
    """Sending lease of a router.

    :param table_version: version that it is valid for; a router with another
        version fetches this one and requests a lease again.
    :param stamp_ms: echoed stamp, from which the term runs.
    """

    granted: bool
    epoch: int
    table_version: int
    stamp_ms: int
    term_ms: int


class SendRouterLease(NamedTuple):
    """Answer a router's request for a sending lease."""

    router: str
    lease: RouterLease


class ReleaseRole(NamedTuple):
    """Release the role.

    :param terms_end: when all granted terms have ended.
    """

    terms_end: float


Effect = (
    SendGrant | WriteTable | PublishTable | EpochSeen | SendRouterLease | ReleaseRole
)
