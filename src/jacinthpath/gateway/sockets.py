"""Sockets that detect a dead peer within seconds."""

from __future__ import annotations

__all__ = [
    "RESET_ON_CLOSE",
    "OpenSocket",
    "is_closed_by_peer",
    "open_keepalive_socket",
    "open_reset_on_close_socket",
]

import select
import socket
import struct
from collections.abc import Callable
from typing import Any

OpenSocket = Callable[[Any], socket.socket]
"""Opens a socket for an ``addrinfo`` tuple."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``."""

USER_TIMEOUT_MS = 1500
"""Time that sent data may stay unacknowledged before the connection is closed."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def open_keepalive_socket(address: Any) -> socket.socket:
    """Return a socket whose connection closes seconds after its peer or path fails.

    :param address: an ``addrinfo`` tuple.
    """
    family, socket_type, protocol, _, _ = address
    sock = socket.socket(family=family, type=socket_type, proto=protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


def open_reset_on_close_socket(address: Any) -> socket.socket:
    """Return a keep-alive socket that resets its connection when it is closed.

    Unsent and unacknowledged data is then discarded, so a command or request that was
    given up does not arrive later.
    """
    sock = open_keepalive_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def is_closed_by_peer(sock: Any) -> bool:
    """Return whether the other end has closed or reset a connection.

    The kernel is asked, which knows it also while the event loop is late, or reads
    nothing from the connection.
    """
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
