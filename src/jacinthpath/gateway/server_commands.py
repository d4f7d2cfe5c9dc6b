"""Commands to the servers of a keyed service: grants and releases of keys."""

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

    :param fence: fencing token, higher than that of any earlier owner of these keys.
    :param handover: value that the last owner returned when it released the keys.
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
    """How a command ended."""

    DONE = "done"
    FENCED = "fenced"
    """Refused: the server has seen a higher fence."""
    NOT_RUN = "not-run"
    """Not executed: no connection was opened, or another server refused the command."""
    UNKNOWN = "unknown"
    """The command may have been executed, or may still be."""


class CommandResponse(NamedTuple):
    """Result of a command; ``detail`` is for the log.

    :param responded: whether a response arrived, whatever it says.
    """

    result: CommandResult
    handover: str
    detail: str
    responded: bool = False


class CommandSender(Protocol):
    """Sends commands to servers."""

    async def grant(
        self, server: str, address: str, command: GrantCommand, timeout_s: float
    ) -> CommandResponse:
        """Grant a range of keys, or renew the grant."""

    async def release(
        self, server: str, address: str, command: ReleaseCommand, timeout_s: float
    ) -> CommandResponse:
        """Release a range of keys; returns when the running requests have ended."""
