"""HTTP sessions to the platform's store and servers."""

from __future__ import annotations

__all__ = ["HOP_BY_HOP_FIELDS", "open_session"]

from typing import Any

import aiohttp

from ..http_sessions import disable_retries

AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that apply to one connection only and are not forwarded."""


def open_session(
    connector: aiohttp.BaseConnector, connect_timeout_s: float, **options: Any
) -> aiohttp.ClientSession:
    """Return a session that adds no header fields and does not retry on its own.

    :param connect_timeout_s: longest wait for a new connection.
    """
    return disable_retries(
        aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=AUTOMATIC_FIELDS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            **options,
        )
    )
