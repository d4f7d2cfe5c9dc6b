"""How long a frame took from its sender, whose clock counts from another moment.

Both ends use boot clocks, which run at nearly the same speed. The frame that took
least, of those since the connection was opened, shows how far the clocks are apart.
What others took beyond it, they have waited: at either end, or on a congested path.
"""

from __future__ import annotations

__all__ = ["FrameAge"]

import math

MAX_DRIFT = 0.001
"""Share by which the clocks of two hosts may differ in speed."""


class FrameAge:
    """Estimates the age of the frames that arrive on one connection."""

    def __init__(self) -> None:
        self._least_s = math.inf
        self._recorded_s = 0.0

    def record(self, sent_ms: int, now_s: float) -> float | None:
        """Record a frame that is being read; return its age in seconds.

        :param sent_ms: time on the sender's boot clock, 0 if it is not known.
        :param now_s: time on the own boot clock.
        :return: ``None`` if it is not known.
        """
        if not sent_ms:
            return None
        apart_s = now_s - sent_ms / 1000
        drift_s = MAX_DRIFT * (now_s - self._recorded_s)
        self._least_s = min(apart_s, self._least_s + drift_s)
        self._recorded_s = now_s
        return apart_s - self._least_s
