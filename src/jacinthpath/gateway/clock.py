"""Clock for everything that bounds an authority."""

from __future__ import annotations

__all__ = ["boottime_s"]

import time


def boottime_s() -> float:
    """Return seconds since boot, counting the time that the host was suspended.

    The steady clock stops while a host is suspended; leases and holds of others
    do not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
