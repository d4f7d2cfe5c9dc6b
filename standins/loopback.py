"""Loopback addresses for processes that share a machine."""

from __future__ import annotations

__all__ = ["address_block"]

import os


def address_block() -> str:
    """Return the first three numbers of loopback addresses for this process.

    Each gateway needs an address of its own, since the metrics port is fixed, and two
    test runs on a machine must not meet.
    """
    process = os.getpid()
    return f"127.{64 + process // 250 % 128}.{process % 250}"
