"""Reconstructs the course of one request from the decision logs of all processes."""

from __future__ import annotations

__all__ = ["LogLine", "explain_from_logs", "read_lines"]

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..errors import JacinthpathError

_FIELD = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')

STATE_CHANGE_WINDOW_S = 3.0
"""State changes from this long before the first line of a request are included: grants
of keys and deferred removals of servers last about as long."""

MAX_STATE_CHANGES = 40
"""Limit of included state changes; the latest before the request's end are kept."""


class RequestNotFound(JacinthpathError):
    """The logs contain no line about the request."""

    exit_code = 3


class UnreadableLogs(JacinthpathError):
    """The input contains no line of a decision log."""

    exit_code = 2


class LogLine(NamedTuple):
    """One line of the decision log.

    :param at_s: Unix time of the event by the clock of its host.
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, str]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of the decision log; other lines, and prefixes, are skipped."""
    for line in lines:
        start = line.find("at=")
        if start < 0:
            continue
        fields = {name: _unquote(value) for name, value in _FIELD.findall(line[start:])}
        try:
            at_s = float(fields.pop("at"))
            host, event = fields.pop("host"), fields.pop("event")
        except (KeyError, ValueError):
            continue
        yield LogLine(at_s, host, event, fields)


def explain_from_logs(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the events of a request and the related state changes, in order of time.

    :raises UnreadableLogs: no line is from a decision log.
    :raises RequestNotFound: no line is about the request.
    """
    log_lines = sorted(lines, key=_sort_key)
    if not log_lines:
        raise UnreadableLogs(
            "The input contains no line of a decision log.",
            "Pass the standard output of the gateways, with one event per line.",
        )
    request_lines = [line for line in log_lines if line.fields.get("id") == request_id]
    if not request_lines:
        raise RequestNotFound(
            f"The logs contain no line about request {request_id!r}.",
            "Check the id and the time range of the logs. Lines dropped by the rate "
            "limit are counted in lines_left_out events.",
        )
    state_changes = _related_state_changes(request_lines, log_lines)
    return [
        f"Request {request_id}",
        *(
            _format_line(line, request_lines[0].at_s, line in request_lines)
            for line in sorted([*state_changes, *request_lines], key=_sort_key)
        ),
        _summarize(request_lines),
    ]


def _related_state_changes(
    request_lines: list[LogLine], log_lines: list[LogLine]
) -> list[LogLine]:
    """Return the state changes that are relevant to a request."""
    first_s, last_s = (
        request_lines[0].at_s - STATE_CHANGE_WINDOW_S,
        request_lines[-1].at_s,
    )
    hosts = {line.host for line in request_lines}
    servers = {
        line.fields["server"] for line in request_lines if "server" in line.fields
    }
    key = next(
        (line.fields["key"] for line in request_lines if line.fields.get("key")), ""
    )
    service = request_lines[-1].fields.get("service", "")
    found = [
        line
        for line in log_lines
        if first_s <= line.at_s <= last_s
        and "id" not in line.fields
        and line.fields.get("service", service) == service
        and (
            _concerns_request(line, hosts, servers, key)
            or _is_dependency_event(line, hosts)
        )
    ]
    return found[-MAX_STATE_CHANGES:]


def _concerns_request(
    line: LogLine, hosts: set[str], servers: set[str], key: str
) -> bool:
    """Return whether a state change is about a server or the key of the request.

    Changes of a server's state count if they are from the request's own host. Changes
    of key ranges are logged by the leader and count from any host.
    """
    fields = line.fields
    if line.event.startswith("server_") and line.host not in hosts:
        return False
    if key.isdigit() and fields.get("first", "").isdigit():
        return int(fields["first"]) <= int(key) <= int(fields["last"])
    return fields.get("server") in servers


def _is_dependency_event(line: LogLine, hosts: set[str]) -> bool:
    """Return whether a line is about a dependency of the request's host."""
    return line.host in hosts and line.event.startswith(
        (
            "store_",
            "leader",
            "configuration",
            "draining",
            "reach_",
            "starting",
            "assignment_",
        )
    )


def _format_line(line: LogLine, start_s: float, is_request_line: bool) -> str:
    marker = ">" if is_request_line else " "
    fields = " ".join(f"{n}={v}" for n, v in line.fields.items() if n != "id" and v)
    offset_ms = round((line.at_s - start_s) * 1000)
    return f"{marker} {offset_ms:+7d} ms  {line.host}  {line.event}  {fields}"


def _summarize(request_lines: list[LogLine]) -> str:
    last = request_lines[-1]
    attempts = [line for line in request_lines if line.event == "attempt"]
    outcomes = ", ".join(
        f"{line.fields['server']} {line.fields['outcome']}" for line in attempts
    )
    if last.event == "request_answered_by_gateway":
        fields = last.fields
        return f"Answered {fields['status']} by {last.host}: {fields['reason']}" + (
            f" (attempts: {outcomes})" if outcomes else " (no attempt)"
        )
    if last.event == "caller_left":
        return f"The caller disconnected from {last.host} before a response."
    return f"Last event: {last.event} at {last.host} (attempts: {outcomes or 'none'})."


def _sort_key(line: LogLine) -> float:
    return line.at_s


def _unquote(value: str) -> str:
    if value.startswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value
