"""Drops the long strings of a JSON document while it arrives.

Another program may write many large values beside those that are expected. Together
they would not fit into memory, and parsing them would hold up the event loop.
"""

from __future__ import annotations

__all__ = ["DROPPED", "LongStringDropper"]

import re

DROPPED = b"!"
"""Content of a string in place of the dropped one; no valid base64."""

_QUOTE_OR_ESCAPE = re.compile(rb'["\\]')


class LongStringDropper:
    """Replaces the strings of a document that are longer than a bound.

    :param max_string_bytes: longest string to keep, as encoded.
    """

    def __init__(self, max_string_bytes: int) -> None:
        self._max_string_bytes = max_string_bytes
        self._string: bytearray | None = None
        self._is_too_long = False
        self._is_escaped = False

    def feed(self, data: bytes) -> bytes:
        """Return what to keep of the next part of the document."""
        kept = bytearray()
        position = 0
        while position < len(data):
            if self._string is None:
                position = self._skip_to_string(data, position, kept)
            else:
                position = self._read_string(data, position, kept)
        return bytes(kept)

    def _skip_to_string(self, data: bytes, position: int, kept: bytearray) -> int:
        end = data.find(b'"', position) + 1
        if not end:
            kept += data[position:]
            return len(data)
        kept += data[position:end]
        self._string, self._is_too_long = bytearray(), False
        return end

    def _read_string(self, data: bytes, position: int, kept: bytearray) -> int:
        if self._is_escaped:
            self._is_escaped = False
            self._add(data[position : position + 1])
            return position + 1
        found = _QUOTE_OR_ESCAPE.search(data, position)
        if found is None:
            self._add(data[position:])
            return len(data)
        if found[0] == b"\\":
            self._is_escaped = True
            self._add(data[position : found.end()])
            return found.end()
        self._add(data[position : found.start()])
        kept += DROPPED if self._is_too_long else self._string
        kept += b'"'
        self._string = None
        return found.end()

    def _add(self, part: bytes) -> None:
        if self._is_too_long:
            return
        if len(self._string) + len(part) > self._max_string_bytes:
            self._is_too_long = True
            self._string.clear()
            return
        self._string += part
