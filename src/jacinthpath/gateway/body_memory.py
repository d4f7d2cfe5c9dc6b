"""Decides how much of requests' and responses' bodies a host holds.

A response that is held whole can still be requested from another server when it breaks
off. A larger one is forwarded while it arrives, and read ahead of a slow caller as far
as the memory of the host allows, so that neither many large downloads at once nor a
body without end can exhaust it.
"""

from __future__ import annotations

__all__ = ["BodyMemory"]

from math import inf

MAX_HELD_BYTES = 256 * 1024
"""Longest response that is held whole."""

MAX_HOST_BYTES = 4 * 1024 * 1024
"""Sum of the bodies that a host holds at a time if its memory is not known or small;
the smallest hosts have 200 MB."""

MEMORY_SHARE = 1 / 3
"""Share of the memory of a host for bodies. A body may be there twice, as parts and as
what a connection sends; the last third is for the process itself."""

READ_AHEAD_SHARE = 3 / 4
"""Share of the bound that is used to read ahead of slow callers; the rest is kept for
requests and for responses that are held whole."""

SHORT_SHARE = 0.6
"""Share of the bound from which on memory is short. Four slow callers of endless bodies
use less."""

PART_BYTES = 128 * 1024
"""Longest part of a body that is read at a time."""


class BodyMemory:
    """Counts the bytes of bodies that this host holds.

    :param memory_bytes: memory of the host; 0 if it is not known, and then the bodies
        of requests do not count.
    """

    def __init__(self, memory_bytes: int = 0) -> None:
        self.held_bytes = 0
        self._known_bytes = int(MEMORY_SHARE * memory_bytes)

    @property
    def bound_bytes(self) -> int:
        """Sum of the bodies that the host may hold."""
        return max(MAX_HOST_BYTES, self._known_bytes)

    @property
    def is_short(self) -> bool:
        """Whether callers that read slowly must make room."""
        return self.held_bytes > SHORT_SHARE * self.bound_bytes

    @property
    def max_request_bytes(self) -> float:
        """Longest body of a request that can be held."""
        return self.bound_bytes if self._known_bytes else inf

    @property
    def refuses_requests(self) -> bool:
        """Whether the host holds more than it may."""
        return self._known_bytes > 0 and self.held_bytes > self.bound_bytes

    def may_hold(self, body_bytes: int, added_bytes: int) -> bool:
        """Return whether a response that is to be held whole may grow in memory.

        :param body_bytes: bytes of the body that are held already.
        :param added_bytes: bytes to add to them.
        """
        return (
            body_bytes + added_bytes <= MAX_HELD_BYTES
            and self.held_bytes + added_bytes <= self.bound_bytes
        )

    def may_read_ahead(self, body_bytes: int) -> bool:
        """Return whether more of a response may be read than its caller has taken.

        Each body may be as large as what is left free, so that the largest ones wait
        first and there is always room for a new one.

        :param body_bytes: bytes of the body that are held already.
        """
        free_bytes = READ_AHEAD_SHARE * self.bound_bytes - self.held_bytes
        return body_bytes + PART_BYTES <= free_bytes

    def add_request(self, added_bytes: int) -> int:
        """Record bytes of a request; return how many are to be released later."""
        if not self._known_bytes:
            return 0
        self.add(added_bytes)
        return added_bytes

    def add(self, added_bytes: int) -> None:
        """Record bytes that are held from now on."""
        self.held_bytes += added_bytes

    def release(self, released_bytes: int) -> None:
        """Record bytes that are no longer held."""
        self.held_bytes -= released_bytes
