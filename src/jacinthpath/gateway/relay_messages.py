"""Encodes and decodes relayed requests and their responses in peer frames."""

from __future__ import annotations

__all__ = [
    "Refusal",
    "RelayReply",
    "RelayTarget",
    "read_relayed",
    "read_relay_wanted",
    "write_refusal",
    "write_relayed",
    "write_relay_wanted",
]

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from multidict import CIMultiDict

from ..errors import FrameError
from .exchange import (
    AttemptResult,
    CallerRequest,
    Outcome,
    Response,
    ServerLoad,
    ServerNotice,
)
from .model import Backend

MAX_PAUSE_MS = 0xFFFFFFFF

_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class RelayTarget(NamedTuple):
    """The server that a relayed request may be sent to, and no other.

    :param has_cold_permit: whether the other host has used its own turn at the server,
        which is cold.
    """

    server: str
    started_ms: int
    has_cold_permit: bool = False


class Refusal(NamedTuple):
    """Why a host does not send a request that it was asked to relay.

    :param host_is_unable: whether it would refuse those to other servers too.
    :param pause_s: time for which the server wants no requests from that host.
    """

    reason: str
    host_is_unable: bool = False
    pause_s: float = 0.0


class RelayReply(NamedTuple):
    """What the relaying host replies.

    :param refusal: why the request was not sent to the server; empty if it was.
    :param result: result of the attempt, without a stream; ``None`` with a refusal,
        unless the server has asked for a pause.
    :param host_is_unable: whether the refusal concerns all servers.
    :param reaches_servers: whether that host has had a server's response lately.
    :param continues: whether parts of the body follow on demand.
    :param length: length of the whole body in bytes, ``None`` if it is not known.
    """

    refusal: str
    result: AttemptResult | None
    reaches_servers: bool
    continues: bool = False
    length: int | None = None
    host_is_unable: bool = False


def write_relay_wanted(
    content: Any,
    relay_id: int,
    request: CallerRequest,
    backend: Backend,
    remaining_s: float,
    sent_ms: int,
    has_cold_permit: bool = False,
) -> None:
    """Write a request that another host shall send to ``backend``.

    :param remaining_s: time until the caller's deadline, from ``sent_ms`` on.
    :param sent_ms: stamp of the frame.
    :param has_cold_permit: see :class:`RelayTarget`.
    """
    content.relayId = relay_id
    content.server, content.bornMs = backend.server, backend.started_ms
    content.attemptId = request.request_id
    content.method, content.host = request.method, request.host
    content.target, content.caller = request.target, request.caller
    content.keyed, content.key = request.key is not None, request.key or 0
    content.remainingMs = max(1, int(1000 * remaining_s))
    content.sentMs = sent_ms
    content.coldPermitted = has_cold_permit
    _write_headers(content, request.headers)
    content.body = request.body


def read_relay_wanted(
    content: Any,
    received_s: float,
    arrived_s: float,
    check_wanted: Callable[[], None],
) -> tuple[RelayTarget, CallerRequest]:
    """Return the target and the request of a frame.

    :param received_s: loop time at which the frame was sent.
    :param arrived_s: the same on the boot clock.
    :param check_wanted: see :class:`CallerRequest`.
    """
    request = CallerRequest(
        request_id=content.attemptId,
        method=content.method,
        host=content.host,
        target=content.target,
        path=content.target.partition("?")[0],
        key=content.key if content.keyed else None,
        received_s=received_s,
        timeout_s=content.remainingMs / 1000,
        headers=_read_headers(content),
        body=bytes(content.body),
        caller=content.caller,
        arrived_s=arrived_s,
        check_wanted=check_wanted,
    )
    target = RelayTarget(content.server, content.bornMs, content.coldPermitted)
    return target, request


def write_refusal(content: Any, refusal: Refusal) -> None:
    """Write that a request was not sent."""
    content.refusal = refusal.reason
    content.unable = refusal.host_is_unable
    content.pauseMs = min(MAX_PAUSE_MS, int(1000 * refusal.pause_s))


def write_relayed(content: Any, result: AttemptResult, reaches_servers: bool) -> None:
    """Write the result of an attempt, without the stream of a large body."""
    content.outcome, content.detail = result.outcome.value, result.detail
    content.reachesServers = reaches_servers
    _write_notice(content, result.notice)
    response = result.response
    if response is None:
        return
    content.complete = True
    content.status = response.status
    _write_headers(content, response.headers)
    content.body = response.body
    length: int | None = len(response.body)
    if response.stream is not None:
        content.continues = True
        length = response.stream.length
    content.length = -1 if length is None else length


def read_relayed(content: Any, host: str, received_s: float) -> RelayReply:
    """Return the reply in a frame of a host.

    :param received_s: time on the boot clock.
    :raises FrameError: the outcome is unknown to this release.
    """
    notice = _read_notice(content, received_s)
    if content.refusal:
        return _read_refusal(content, host, notice)
    try:
        outcome = Outcome(content.outcome)
    except ValueError as error:
        raise FrameError(
            "The outcome of a relayed request is unknown.", "Upgrade the older host."
        ) from error
    response = None
    if content.complete:
        response = Response(content.status, _read_headers(content), bytes(content.body))
    detail = content.detail
    if response is not None and not _is_valid(response):
        # A host of an earlier release has relayed what its server has sent.
        outcome, response = Outcome.BROKEN, None
        detail = f"invalid response head: status {content.status}, relayed"
    result = AttemptResult(outcome, detail, response, notice, relayed_by=host)
    length = None if content.length < 0 else content.length
    return RelayReply("", result, content.reachesServers, content.continues, length)


def _is_valid(response: Response) -> bool:
    """Return whether HTTP/1.1 allows the head of a final response."""
    return 200 <= response.status < 600 and all(
        _FIELD_NAME.fullmatch(name) and not _CONTROL_CHARACTER.search(value)
        for name, value in response.headers.items()
    )


def _write_notice(content: Any, notice: ServerNotice) -> None:
    content.leaving = notice.leaving
    content.pauseMs = min(MAX_PAUSE_MS, int(1000 * notice.pause_s))
    content.limited = notice.limit_per_s is not None
    content.limitPerS = notice.limit_per_s or 0.0
    content.ofAnotherServer = notice.of_another_server
    if notice.load is not None:
        content.loadStated = True
        content.running, content.waiting = notice.load.running, notice.load.waiting
        content.slots, content.slowness = notice.load.slots, notice.load.slowness
    if notice.warmup_left_s is not None:
        content.warmupStated = True
        content.warmupLeftMs = round(1000 * notice.warmup_left_s)


def _read_notice(content: Any, received_s: float) -> ServerNotice:
    load = None
    if content.loadStated:
        load = ServerLoad(
            content.running, content.waiting, content.slots, content.slowness
        )
    return ServerNotice(
        leaving=content.leaving,
        pause_s=content.pauseMs / 1000,
        limit_per_s=content.limitPerS if content.limited else None,
        received_s=received_s,
        load=load,
        warmup_left_s=content.warmupLeftMs / 1000 if content.warmupStated else None,
        of_another_server=content.ofAnotherServer,
    )


def _read_refusal(content: Any, host: str, notice: ServerNotice) -> RelayReply:
    result = None
    if notice.pause_s:
        result = AttemptResult(
            Outcome.REFUSED,
            content.refusal,
            notice=notice,
            relayed_by=host,
            was_sent=False,
        )
    return RelayReply(
        content.refusal,
        result,
        content.reachesServers,
        host_is_unable=content.unable,
    )


def _write_headers(content: Any, headers: CIMultiDict[str]) -> None:
    entries = content.init("headers", len(headers))
    for entry, (name, value) in zip(entries, headers.items(), strict=True):
        entry.name, entry.value = name, value


def _read_headers(content: Any) -> CIMultiDict[str]:
    return CIMultiDict((entry.name, entry.value) for entry in content.headers)
