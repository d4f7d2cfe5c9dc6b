"""Which servers have stopped responding to the leader's commands.

A response may be lost while its server is well, so one command tells little. Commands
that fail within :data:`ROUND_S` count once, and none counts that was sent before the
last response. Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["CommandEvidence"]

ROUND_S = 0.4
"""A server that refuses connections fails commands at once; it gets this long to answer
another one."""


class _Silence:
    """What is known of one server."""

    __slots__ = ("last_counted_s", "last_response_s", "rounds")

    def __init__(self) -> None:
        self.rounds = 0
        self.last_counted_s = float("-inf")
        self.last_response_s = float("-inf")


class CommandEvidence:
    """Counts the rounds of commands in a row to which a server has not responded."""

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}

    def record_response(self, server: str, now_s: float) -> None:
        """Record that a server has responded, whatever it said."""
        silence = self._silences.setdefault(server, _Silence())
        silence.rounds = 0
        silence.last_response_s = now_s

    def record_silence(self, server: str, sent_s: float, now_s: float) -> None:
        """Record that a command sent at ``sent_s`` had no response by ``now_s``."""
        silence = self._silences.setdefault(server, _Silence())
        if sent_s <= silence.last_response_s:
            return
        if now_s - silence.last_counted_s < ROUND_S:
            return
        silence.rounds += 1
        silence.last_counted_s = now_s

    def silent_rounds(self, server: str) -> int:
        """Return how many rounds in a row had no response."""
        silence = self._silences.get(server)
        return silence.rounds if silence is not None else 0

    def forget(self, server: str) -> None:
        """Forget a server whose process has been replaced."""
        self._silences.pop(server, None)
