"""Adapter to the platform: its names, formats and calls.

Each message is decoded once into a type of :mod:`jacinthpath.gateway`. This package
makes no decisions, and no code outside of it uses the platform's names.
"""

from __future__ import annotations

from .documents import RouteTableDecoder, decode_backend, decode_route_table
from .ignored_values import IgnoredValues
from .server_commands import CommandClient
from .settings import load_settings
from .store import WATCHED_KEYS, PlatformStore

__all__ = [
    "WATCHED_KEYS",
    "CommandClient",
    "IgnoredValues",
    "PlatformStore",
    "RouteTableDecoder",
    "decode_backend",
    "decode_route_table",
    "load_settings",
]
