"""Checks the heads of servers' responses, which the HTTP library repairs or lets pass.

The library's compiled parser and its other one accept different sets of invalid heads,
and repair them in different ways, so that the bytes are checked before they are parsed.
"""

from __future__ import annotations

__all__ = ["HeadCheck", "find_framing_fault"]

import re
from typing import Any

from aiohttp import HttpVersion11, hdrs

MAX_LENGTH_DIGITS = 18
"""A longer body is none that a server can send; its length fits into 64 bits."""

NO_CONTENT = 204

MAX_INTERIM_RESPONSES = 8
"""Interim (1xx) responses that are skipped before a final one."""

MAX_NAMED_BYTES = 60
"""Bytes of an invalid line which are named in the log."""

_STATUS_LINE = (
    rb"HTTP/1\.[01] (1(?!01)|[2-5])[0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*+)?\r\n"
)
"""A server that omits the reason may omit the space before it: RFC 9112, section 4,
lets recipients read it so. Nobody has asked for a change of protocol (101)."""

_FIELD_LINE = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n"

_HEAD = re.compile(_STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*+\r\n")
_LINES = [re.compile(_STATUS_LINE), re.compile(_FIELD_LINE)]
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_END = b"\r\n\r\n"


class HeadCheck:
    """Checks the heads of one exchange, the interim ones included.

    :ivar in_head: whether the final head is not complete yet.
    """

    def __init__(self) -> None:
        self.in_head = True
        self._head: bytes | bytearray = b""
        self._interim_responses = 0

    def find_fault(self, data: bytes) -> str:
        """Return what is wrong with a head, empty if nothing is up to here.

        :param data: the next bytes of the exchange, which may include some of the body.
        """
        if not self.in_head:
            return ""
        known_bytes = len(self._head)
        if known_bytes:
            self._head += data
        else:
            self._head = data
        start = 0
        end = self._head.find(_END, max(0, known_bytes - len(_END)))
        while end >= 0:
            end += len(_END)
            match = _HEAD.fullmatch(self._head, start, end)
            if match is None:
                return _describe_fault(bytes(self._head[start:end]))
            if match[1] != b"1":
                self.in_head = False
                self._head = b""
                return ""
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                return "interim responses without end"
            start = end
            end = self._head.find(_END, start)
        return self._keep_incomplete(start, known_bytes)

    def _keep_incomplete(self, start: int, known_bytes: int) -> str:
        """Keep the beginning of a head.

        A parser that takes a bare line feed for the end of a line may see the end of
        the head before it is complete.
        """
        if _BARE_LINE_FEED.search(self._head, max(start, known_bytes)):
            return "invalid response head: line feed alone"
        if start or not isinstance(self._head, bytearray):
            self._head = bytearray(self._head[start:])
        return ""


def find_framing_fault(head: Any) -> str:
    """Return why the end of a response is not certain, empty if it is.

    A body without a length ends with the connection, which is allowed.
    """
    lengths = head.headers.getall(hdrs.CONTENT_LENGTH, ())
    codings = head.headers.getall(hdrs.TRANSFER_ENCODING, ())
    if codings and not _is_chunked_alone(head, codings, lengths):
        return f"invalid transfer coding: {', '.join(codings)[:MAX_NAMED_BYTES]}"
    if lengths and not _is_length(lengths, _is_without_body(head)):
        return f"invalid length: {', '.join(lengths)[:MAX_NAMED_BYTES]}"
    return ""


def _is_chunked_alone(head: Any, codings: list[str], lengths: list[str]) -> bool:
    """Return whether a body is chunked and nothing else, as no other is asked for."""
    return (
        len(codings) == 1
        and codings[0].lower() == "chunked"
        and head.chunked
        and not lengths
        and head.version == HttpVersion11
        and not _is_without_body(head)
    )


def _is_length(lengths: list[str], is_without_body: bool) -> bool:
    (length, *others) = lengths
    return (
        not others
        and len(length) <= MAX_LENGTH_DIGITS
        and length.isascii()
        and length.isdigit()
        and not (is_without_body and int(length))
    )


def _is_without_body(head: Any) -> bool:
    return head.code < 200 or head.code == NO_CONTENT


def _describe_fault(head: bytes) -> str:
    """Name the first line of a head that is invalid."""
    status_line, field_line = _LINES
    pattern = status_line
    for line in head.split(b"\n"):
        if not pattern.fullmatch(line + b"\n"):
            break
        pattern = field_line
    return f"invalid response head: {line[:MAX_NAMED_BYTES]!r}"
