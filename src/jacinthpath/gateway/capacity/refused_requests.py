"""Remembers refused requests, so that callers who wait as told get precedence."""

from __future__ import annotations

__all__ = ["RefusedRequests"]

from ..attempts import MAX_RETRY_AFTER_S

MAX_REMEMBERED = 4_096
MAX_AGE_S = 10.0

EARLIEST_RETURN = 0.9
"""Share of the stated time after which a caller has returned as it was told. The rest
allows for differences of clocks, and for the time that the response takes."""

CALLER_WAIT_SHARE = 1 / 3
"""Callers wait for at most this share of the time that they have left (according to the
platform's documentation)."""


class RefusedRequests:
    """Remembers when the callers of refused requests may return."""

    def __init__(self) -> None:
        self._return_s: dict[int, tuple[float, float]] = {}

    def record(
        self, fingerprint: int, retry_s: float, deadline_left_s: float, now_s: float
    ) -> None:
        """Record a refusal.

        :param fingerprint: what the request has in common with its repetitions.
        :param retry_s: time after which the caller was asked to return.
        :param deadline_left_s: time that the caller had left.
        """
        wait_s = min(
            retry_s, MAX_RETRY_AFTER_S, CALLER_WAIT_SHARE * max(0.0, deadline_left_s)
        )
        self._return_s.pop(fingerprint, None)
        self._return_s[fingerprint] = now_s + EARLIEST_RETURN * wait_s, now_s
        oldest, (_, recorded_s) = next(iter(self._return_s.items()))
        if len(self._return_s) > MAX_REMEMBERED or now_s - recorded_s > MAX_AGE_S:
            del self._return_s[oldest]

    def forget(self, fingerprint: int) -> None:
        """Forget a request that was served: the next one like it is a new one."""
        self._return_s.pop(fingerprint, None)

    def is_returning(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request was refused and comes when it was told to.

        One that comes earlier has no precedence over new requests.
        """
        known = self._return_s.get(fingerprint)
        if known is None:
            return False
        return_s, recorded_s = known
        return return_s <= now_s <= recorded_s + MAX_AGE_S
