"""Clock for leases, hold times and the leader's authority."""

from __future__ import annotations

__all__ = ["boottime_s"]

import time


def boottime_s() -> float:
    """Return seconds since boot, including the time that the host was suspended.

    The monotonic clock stops while a host is suspended, but leases in the store and
    hold times at servers keep running.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
