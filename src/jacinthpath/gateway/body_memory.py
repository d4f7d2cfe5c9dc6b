"""Decides how much of a response's body a host holds before it forwards it.

A body that is held whole can still be requested from another server when it breaks
off. A larger one is forwarded while it arrives, so that neither many large downloads
at once nor a body without end can exhaust the memory of the host.
"""

from __future__ import annotations

__all__ = ["BodyMemory"]

MAX_HELD_BYTES = 256 * 1024
"""Longest body that is held whole."""

MAX_HOST_BYTES = 4 * 1024 * 1024
"""Sum of the bodies that a host holds at a time; the smallest hosts have 200 MB."""


class BodyMemory:
    """Counts the bytes of bodies that this host holds."""

    def __init__(self) -> None:
        self.held_bytes = 0

    def may_hold(self, body_bytes: int, added_bytes: int) -> bool:
        """Return whether a body may grow in memory.

        :param body_bytes: bytes of the body that are held already.
        :param added_bytes: bytes to add to them.
        """
        return (
            body_bytes + added_bytes <= MAX_HELD_BYTES
            and self.held_bytes + added_bytes <= MAX_HOST_BYTES
        )

    def add(self, added_bytes: int) -> None:
        """Record bytes that are held from now on."""
        self.held_bytes += added_bytes

    def release(self, released_bytes: int) -> None:
        """Record bytes that are no longer held."""
        self.held_bytes -= released_bytes
