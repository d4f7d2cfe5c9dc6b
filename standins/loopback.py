"""Loopback addresses for processes that share a machine."""

from __future__ import annotations

__all__ = ["address_block"]

import os


def address_block() -> str:
    """Return the first three octets of the loopback addresses of this process.

    Each gateway needs an address of its own, since the metrics port is fixed, and
    concurrent test runs on a machine must not use the same addresses.
    """
    process_id = os.getpid()
    return f"127.{64 + process_id // 250 % 128}.{process_id % 250}"
