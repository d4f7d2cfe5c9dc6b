"""HTTP sessions to the platform's store and servers."""

from __future__ import annotations

__all__ = ["CONNECTION_FIELDS", "open_session"]

from typing import Any

import aiohttp

from ..http_sessions import disable_retries

AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

CONNECTION_FIELDS = frozenset(
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
"""Fields that concern one connection only and are not passed on."""


def open_session(
    connector: aiohttp.BaseConnector, connect_timeout_s: float, **options: Any
) -> aiohttp.ClientSession:
    """Return a session that adds no fields and repeats nothing by itself.

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
