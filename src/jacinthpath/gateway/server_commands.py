"""Orders to the servers of a keyed service."""

from __future__ import annotations

__all__ = [
    "CommandResponse",
    "CommandResult",
    "CommandSender",
    "GrantCommand",
    "ReleaseCommand",
]

import enum
from typing import NamedTuple, Protocol


class GrantCommand(NamedTuple):
    """Permission to serve the keys ``first`` to ``last`` for ``hold_s``.

    :param fence: higher than that of any earlier owner of these keys.
    :param handover: what the last owner gave when it released the keys.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str = ""


class ReleaseCommand(NamedTuple):
    """End of the permission to serve the keys ``first`` to ``last``."""

    first: int
    last: int
    fence: int


class CommandResult(enum.Enum):
    """What became of an order."""

    DONE = "done"
    FENCED = "fenced"
    """Refused: the server has seen a higher fence."""
    NOT_RUN = "not-run"
    """It did not reach the server."""
    UNKNOWN = "unknown"
    """It may have been carried out, or may be later."""


class CommandResponse(NamedTuple):
    """Result of an order; ``detail`` is for the log."""

    result: CommandResult
    handover: str
    detail: str


class CommandSender(Protocol):
    """Sends orders to servers."""

    async def grant(
        self, server: str, address: str, order: GrantCommand, timeout_s: float
    ) -> CommandResponse:
        """Grant a range of keys, or renew the grant."""

    async def release(
        self, server: str, address: str, order: ReleaseCommand, timeout_s: float
    ) -> CommandResponse:
        """Take a range of keys back; answered when the work on them has ended."""
