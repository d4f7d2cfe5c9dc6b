"""Types of the requests for slots of servers, and of the decisions on them."""

from __future__ import annotations

__all__ = [
    "ServerCapacity",
    "SlotDecision",
    "SlotId",
    "SlotOutcome",
    "SlotRequest",
    "SlotResult",
    "SlotState",
]

import enum
from typing import NamedTuple

from ..exchange import ServerLoad


class SlotId(NamedTuple):
    """Identifies one request for a slot, and the lease that it gets.

    :param process_id: process that asks.
    :param number: unique for that process.
    """

    process_id: str
    number: int


class SlotRequest(NamedTuple):
    """A request that wants a slot.

    :param server: the only server that may be used; empty for any of the group.
    :param flow: requests of one flow, such as a key, share a fair part of the slots.
    :param priority: 0 is the most urgent.
    :param returning: whether the caller was refused and came back when it was told to.
    :param objective_left_s: time until the latency objective is missed.
    :param deadline_left_s: time until the caller gives up.
    :param excluded: servers that have been tried.
    :param may_wait: whether the request may wait for a slot.
    """

    slot: SlotId
    server: str
    flow: int
    priority: int
    returning: bool
    objective_left_s: float
    deadline_left_s: float
    excluded: frozenset[str] = frozenset()
    may_wait: bool = True


class SlotState(enum.Enum):
    """What was decided on a request for a slot."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class SlotDecision(NamedTuple):
    """Decision on a request for a slot.

    :param server: server that a granted request is sent to.
    :param retry_s: time after which the caller of a refused one should return.
    :param reason: why it was refused.
    :param expected_wait_s: expected wait of one that was refused for want of room.
    :param allowed_wait_s: how long it could have waited.
    """

    state: SlotState
    server: str = ""
    retry_s: float = 0.0
    reason: str = ""
    expected_wait_s: float = 0.0
    allowed_wait_s: float = 0.0


class ServerCapacity(NamedTuple):
    """What a server of a group takes.

    :param started_ms: start of its incarnation.
    :param slots: requests that it runs at a time.
    :param rate_limit_per_s: requests a second that it takes, ``None`` for no limit.
    """

    server: str
    started_ms: int
    slots: int
    rate_limit_per_s: float | None = None


class SlotOutcome(enum.Enum):
    """How the use of a slot ended."""

    COMPLETED = "completed"
    """The server responded."""
    REJECTED = "rejected"
    """The server had no room and did not run the request."""
    NO_RESPONSE = "no-response"
    """The server did not respond in time."""
    FAILED = "failed"
    """The connection failed, or the response was not usable."""
    UNUSED = "unused"
    """The request was not sent, or no longer waits."""


class SlotResult(NamedTuple):
    """What the use of a slot showed.

    :param duration_s: time from sending the request to its response.
    :param load: what the server stated with its response.
    """

    outcome: SlotOutcome
    duration_s: float = 0.0
    load: ServerLoad | None = None
