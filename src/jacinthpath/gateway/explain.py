"""The story of one request from the decision logs of all processes."""

from __future__ import annotations

__all__ = ["LogLine", "explain_from_logs", "read_lines"]

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..errors import JacinthpathError

_PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')

BELIEF_SPAN_S = 3.0
"""Changes of belief this long before the first line of a request are told with it:
holds of keys and doubts about servers last about as long."""

MAX_BELIEFS = 40
"""Changes of belief that are told, the latest before the end of the request."""


class RequestNotFound(JacinthpathError):
    """No line of the logs is about the request."""

    exit_code = 3


class UnreadableLogs(JacinthpathError):
    """The input holds no line of the decision log."""

    exit_code = 2


class LogLine(NamedTuple):
    """One line of the decision log.

    :param at_s: Unix time of the event, by the clock of its host.
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, str]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of the decision log; others, and prefixes, are skipped."""
    for line in lines:
        start = line.find("at=")
        if start < 0:
            continue
        fields = {name: _plain(value) for name, value in _PAIR.findall(line[start:])}
        try:
            at_s = float(fields.pop("at"))
            host, event = fields.pop("host"), fields.pop("event")
        except (KeyError, ValueError):
            continue
        yield LogLine(at_s, host, event, fields)


def explain_from_logs(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return what happened to a request, in order of time over all hosts.

    :raises UnreadableLogs: there is no line of the decision log at all.
    :raises RequestNotFound: no line is about the request.
    """
    known = sorted(lines, key=_order)
    if not known:
        raise UnreadableLogs(
            "No line of a decision log was found.",
            "Give the standard output of the gateways, one event a line.",
        )
    own = [line for line in known if line.fields.get("id") == request_id]
    if not own:
        raise RequestNotFound(
            f"No line is about request {request_id!r}.",
            "Check the id and that the logs cover its time; lines over the budget "
            "are counted by lines_left_out.",
        )
    beliefs = _beliefs_about(own, known)
    return [
        f"Request {request_id}",
        *(
            _told(line, own[0].at_s, line in own)
            for line in sorted([*beliefs, *own], key=_order)
        ),
        _conclusion(own),
    ]


def _beliefs_about(own: list[LogLine], known: list[LogLine]) -> list[LogLine]:
    """Return the changes of belief that bear on a request."""
    first_s, last_s = own[0].at_s - BELIEF_SPAN_S, own[-1].at_s
    hosts = {line.host for line in own}
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    key = next((line.fields["key"] for line in own if line.fields.get("key")), "")
    service = own[-1].fields.get("service", "")
    found = [
        line
        for line in known
        if first_s <= line.at_s <= last_s
        and "id" not in line.fields
        and line.fields.get("service", service) == service
        and (_names(line, hosts, servers, key) or _dependency(line, hosts))
    ]
    return found[-MAX_BELIEFS:]


def _names(line: LogLine, hosts: set[str], servers: set[str], key: str) -> bool:
    """Return whether a belief is about a server or the key of the request.

    What is believed of a server counts at the request's own host; orders for keys
    are the leader's, wherever that is.
    """
    fields = line.fields
    if line.event.startswith("server_") and line.host not in hosts:
        return False
    if key.isdigit() and fields.get("first", "").isdigit():
        return int(fields["first"]) <= int(key) <= int(fields["last"])
    return fields.get("server") in servers


def _dependency(line: LogLine, hosts: set[str]) -> bool:
    """Return whether a line tells of a dependency of the request's host."""
    return line.host in hosts and line.event.startswith(
        ("store_", "leader", "configuration", "draining", "starting", "assignment_")
    )


def _told(line: LogLine, start_s: float, about: bool) -> str:
    mark = ">" if about else " "
    fields = " ".join(f"{n}={v}" for n, v in line.fields.items() if n != "id" and v)
    offset_ms = round((line.at_s - start_s) * 1000)
    return f"{mark} {offset_ms:+7d} ms  {line.host}  {line.event}  {fields}"


def _conclusion(own: list[LogLine]) -> str:
    last = own[-1]
    attempts = [line for line in own if line.event == "attempt"]
    outcomes = ", ".join(
        f"{line.fields['server']} {line.fields['outcome']}" for line in attempts
    )
    if last.event == "request_answered_by_gateway":
        fields = last.fields
        return f"Answered {fields['status']} by {last.host}: {fields['reason']}" + (
            f" (attempts: {outcomes})" if outcomes else " (no attempt)"
        )
    if last.event == "caller_left":
        return f"The caller left {last.host} before an answer."
    return f"Last seen: {last.event} at {last.host} (attempts: {outcomes or 'none'})."


def _order(line: LogLine) -> float:
    return line.at_s


def _plain(value: str) -> str:
    if value.startswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value
