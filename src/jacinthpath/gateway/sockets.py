"""Socket options that show a silent peer."""

from __future__ import annotations

__all__ = ["abrupt_socket", "prompt_socket"]

import socket
import struct
from typing import Any

USER_TIMEOUT_MS = 1500
"""Longest time that sent bytes stay unacknowledged before the connection ends."""

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


def prompt_socket(address: Any) -> socket.socket:
    """Return a socket whose connection ends within seconds of its path.

    :param address: an ``addrinfo`` tuple.
    """
    family, kind, protocol, _, _ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    return opened


def abrupt_socket(address: Any) -> socket.socket:
    """Return a prompt socket that resets its connection when it is closed.

    Bytes still on their way are then dropped, so an order or request that was given
    up does not arrive later.
    """
    opened = prompt_socket(address)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return opened
