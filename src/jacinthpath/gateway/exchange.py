"""A caller's request, the attempts at servers, and the response."""

from __future__ import annotations

__all__ = [
    "NO_NOTICE",
    "AttemptResult",
    "BackendClient",
    "BodyBroken",
    "BodyStream",
    "CallerLeft",
    "CallerRequest",
    "HealthReport",
    "NotSent",
    "Outcome",
    "Response",
    "ServerLoad",
    "ServerNotice",
    "local_response",
]

import enum
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple, Protocol

from multidict import CIMultiDict

from ..errors import JacinthpathError
from .model import Backend


class CallerLeft(JacinthpathError):
    """The caller of a request has left, so nothing more is to be done for it."""


class NotSent(JacinthpathError):
    """A request was not sent to the server, which has received nothing of it."""


def _find_caller_present() -> None:
    """Check the caller of a request that has no connection of its own."""


def _ignore_response_start(_notice: ServerNotice) -> None:
    """Handle the beginning of a response that nothing depends on."""


class CallerRequest(NamedTuple):
    """One request of a caller, with its complete body.

    :param request_id: identifier set by the caller; may be empty.
    :param target: path and query exactly as the caller sent them.
    :param path: path without the query.
    :param key: key that the server must own, or ``None``.
    :param received_s: loop time at which the request arrived.
    :param timeout_s: how long the caller waits, or ``None`` if it set no deadline.
    :param headers: header fields to forward.
    :param caller: IP address of the caller.
    :param arrived_s: time on the boot clock at which it arrived, as far as is known.
    :param check_wanted: raises :class:`CallerLeft`, or :class:`NotSent` if it cannot
        tell; to be called before each sending.
    :param handle_response_start: to be called when a server begins to respond that has
        run the request without an error.
    """

    request_id: str
    method: str
    host: str
    target: str
    path: str
    key: int | None
    received_s: float
    timeout_s: float | None
    headers: CIMultiDict[str]
    body: bytes
    caller: str = ""
    arrived_s: float = 0.0
    check_wanted: Callable[[], None] = _find_caller_present
    handle_response_start: Callable[[ServerNotice], None] = _ignore_response_start


class Outcome(enum.Enum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The server executed the request and responded with an error."""
    REFUSED = "refused"
    """The server states that it did not execute the request."""
    NOT_OWNER = "not-owner"
    """The server does not own the key, or is not the expected server; the request was
    not executed."""
    UNREACHABLE = "unreachable"
    """No connection could be opened; the request was not sent."""
    BROKEN = "broken"
    """The response was lost, incomplete, unsigned or meant for another request."""
    TIMED_OUT = "timed-out"
    """No response in time; the connection was closed."""


NOT_EXECUTED_OUTCOMES = frozenset(
    {Outcome.REFUSED, Outcome.NOT_OWNER, Outcome.UNREACHABLE}
)
"""Outcomes after which the request certainly was not executed."""


class BodyBroken(JacinthpathError):
    """A response's body ended early, or did not end before the deadline."""


class BodyStream(Protocol):
    """A response's body that is still arriving from the server.

    :ivar length: length of the whole body in bytes, ``None`` if it is not known.
    :ivar handle_whole: called once the whole body has arrived, which may be before the
        caller has taken it.
    """

    length: int | None
    handle_whole: Callable[[], None]

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts.

        :raises BodyBroken: the body is incomplete; the caller must not take what was
            forwarded for the whole.
        """

    def close(self) -> None:
        """Close the connection to the server unless the whole body was read."""


class Response(NamedTuple):
    """A response to a caller.

    :param body: the whole body; empty if there is a ``stream``.
    :param reason: why the gateway responds itself; empty for a server's response.
    :param stream: a body that is too large to hold in memory.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    reason: str = ""
    stream: BodyStream | None = None


class ServerLoad(NamedTuple):
    """How busy a server says that it is.

    :param running: requests that it runs.
    :param waiting: requests that wait there for a slot.
    :param slots: requests that it runs at a time.
    :param slowness: how long work takes there at this moment; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class ServerNotice(NamedTuple):
    """What a server says about itself in a response.

    :param leaving: whether it is about to end and wants no more requests.
    :param pause_s: time for which it wants no requests from this host.
    :param limit_per_s: requests a second that it takes from all hosts together, or
        ``None`` if it names no limit.
    :param malformed: fields of the notice that could not be read, for the log.
    :param received_s: time on the boot clock at which the response began.
    :param load: how busy it is, ``None`` if it does not say so.
    :param warmup_left_s: for how much longer it is cold, ``None`` if it does not say
        so.
    :param limit_unreadable: whether it names a limit that cannot be read.
    :param of_another_server: whether another server has responded at the address, so
        that the rest does not tell of the one that was meant.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    malformed: str = ""
    received_s: float = 0.0
    load: ServerLoad | None = None
    warmup_left_s: float | None = None
    limit_unreadable: bool = False
    of_another_server: bool = False


NO_NOTICE = ServerNotice()


class HealthReport(NamedTuple):
    """What a server says when its health path is requested.

    :param healthy: whether it says that it is well.
    :param notice: what it says besides.
    """

    healthy: bool
    notice: ServerNotice = NO_NOTICE


class AttemptResult(NamedTuple):
    """Result of sending a request to one server.

    :param detail: status or error, for the log.
    :param response: the server's response if it is for this request and complete, or
        is complete but for a large body that is still arriving.
    :param connection_reset: whether the connection was reset before any response, as
        servers do that have too many.
    :param connection_lost: whether the connection was closed or reset before any
        response.
    :param relayed_by: host that has sent the request to the server, empty for this one.
    :param relay_lost: whether the path to that host broke, so that the result says
        nothing about the server.
    :param was_sent: whether the request may have reached the server. It has not if its
        time ended before, or if a host that was to relay it knows that the server would
        refuse it.
    """

    outcome: Outcome
    detail: str
    response: Response | None = None
    notice: ServerNotice = NO_NOTICE
    connection_reset: bool = False
    connection_lost: bool = False
    relayed_by: str = ""
    relay_lost: bool = False
    was_sent: bool = True


class BackendClient(Protocol):
    """Sends requests to servers."""

    async def send(
        self, request: CallerRequest, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send a request; cancellation closes the connection."""

    async def refuses_connections(self, backend: Backend) -> bool:
        """Return whether nothing listens at the server's address."""

    async def responds(self, backend: Backend, health_path: str) -> bool:
        """Return whether the server responds at all, whatever it says."""

    async def check_health(
        self, backend: Backend, health_path: str
    ) -> HealthReport | None:
        """Return what the server says of itself, ``None`` without a response."""


def local_response(status: int, reason: str, retry_after_s: float = 0.0) -> Response:
    """Return a response made by the gateway itself.

    :param retry_after_s: when the caller should retry; 0 omits the header.
    """
    headers: CIMultiDict[str] = CIMultiDict({"Content-Type": "text/plain"})
    if retry_after_s:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return Response(status, headers, f"{reason}\n".encode(), reason)
