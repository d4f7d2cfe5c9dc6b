"""Parses JSON documents of other programs, and checks the fields that are used.

A document may nest deeper than the parser's stack allows, have an unexpected encoding,
or contain text that cannot be encoded and numbers out of range. Each raises the same
declared error, so that a malformed document affects no other.
"""

from __future__ import annotations

__all__ = [
    "MAX_DEPTH",
    "MAX_TEXT_CHARS",
    "UNREADABLE",
    "MalformedDocument",
    "check_address",
    "check_depth",
    "check_integer",
    "check_text",
    "describe",
    "parse_json",
]

import ipaddress
import json
import re
from typing import Any, NoReturn

MAX_DEPTH = 32
"""Levels of arrays and objects; no document of the system has more than eight."""

MAX_TEXT_CHARS = 200
"""Longest name, id or path; keys of the platform's store have at most 200 bytes."""

MAX_DESCRIBED_CHARS = 60

UNREADABLE = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
"""Errors raised while fields are read from a document of an unexpected structure."""

_STRING = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)
"""A string, or the rest of the document if the string does not end in it."""

_BRACKET = re.compile(r"[\[\]{}]")
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_ADDRESS = re.compile(
    rf"((?:{_OCTET}\.){{3}}{_OCTET}|\[[0-9A-Fa-f:.]{{2,45}}\]):([0-9]{{1,5}})"
)


class MalformedDocument(ValueError):
    """A document is no JSON, or exceeds a bound."""


def parse_json(content: bytes | str, *, check_depth: bool = True) -> Any:
    """Parse a document in UTF-8.

    :param check_depth: whether to refuse all documents deeper than :data:`MAX_DEPTH`;
        otherwise only those that the parser's stack does not allow.
    :raises MalformedDocument: it is not valid, or nests too deep.
    """
    try:
        text = content if isinstance(content, str) else content.decode()
        if check_depth and text.count("[") + text.count("{") > MAX_DEPTH:
            _check_depth(text)
        return json.loads(text, parse_constant=_refuse_constant)
    except MalformedDocument:
        raise
    except RecursionError:
        raise MalformedDocument("nested too deep for the parser") from None
    except ValueError as error:
        raise MalformedDocument(f"not JSON: {describe(str(error))}") from error


def check_depth(value: object, max_depth: int = MAX_DEPTH) -> None:
    """Check the depth of a value that :func:`parse_json` returned unchecked.

    :raises MalformedDocument: it nests deeper than ``max_depth`` levels.
    """
    level = [value]
    for _ in range(max_depth + 1):
        containers = [one for one in level if isinstance(one, (dict, list))]
        if not containers:
            return
        level = [
            inner
            for one in containers
            for inner in (one.values() if isinstance(one, dict) else one)
        ]
    raise MalformedDocument(f"nested deeper than {max_depth} levels")


def check_text(value: object, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Return a value that is a non-empty string of printable characters.

    Such a string can be encoded, logged and sent in a header field.

    :raises MalformedDocument: it is not.
    """
    if not isinstance(value, str) or not value:
        raise MalformedDocument(f"{describe(value)} is not a non-empty string")
    if len(value) > max_chars:
        raise MalformedDocument(f"{describe(value)} has over {max_chars} characters")
    if not value.isprintable():
        raise MalformedDocument(f"{describe(value)} has characters that do not print")
    return value


def check_address(value: object) -> str:
    """Return a value that is an ``IP:port`` address.

    :raises MalformedDocument: it is not.
    """
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) < 65_536:
        raise MalformedDocument(f"{describe(value)} is not an IP:port address")
    if value.startswith("["):
        try:
            ipaddress.IPv6Address(match[1][1:-1])
        except ValueError as error:
            raise MalformedDocument(describe(error)) from error
    return value


def check_integer(value: object, minimum: int, maximum: int) -> int:
    """Return a value that is an integer in a range.

    :raises MalformedDocument: it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedDocument(f"{describe(value)} is not an integer")
    if not minimum <= value <= maximum:
        raise MalformedDocument(f"{describe(value)} is out of range")
    return value


def describe(value: object) -> str:
    """Return a short form of a value of any size and depth, for errors and logs."""
    if isinstance(value, str):
        return ascii(value[:MAX_DESCRIBED_CHARS])
    if isinstance(value, int) and abs(value) < 2**64 or isinstance(value, float):
        return repr(value)
    if isinstance(value, BaseException):
        name, message = type(value).__name__, str(value)
        return f"{name}: {message[: 3 * MAX_DESCRIBED_CHARS]}"
    return f"a value of type {type(value).__name__}"


def _check_depth(text: str) -> None:
    """Check the depth before parsing; the parser recurses on the stack of its caller.

    :raises MalformedDocument: the document nests too deep.
    """
    depth = 0
    for bracket in _BRACKET.findall(_STRING.sub("", text)):
        depth += 1 if bracket in "[{" else -1
        if depth > MAX_DEPTH:
            raise MalformedDocument(f"nested deeper than {MAX_DEPTH} levels")


def _refuse_constant(name: str) -> NoReturn:
    raise MalformedDocument(f"{name} is not a number in JSON")
