"""HTTP sessions to the platform's store and servers."""

from __future__ import annotations

__all__ = ["open_session", "passed_fields"]

from collections.abc import Collection
from typing import Any

import aiohttp
from multidict import CIMultiDict

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

    The library would repeat some methods on a connection that breaks. Whether a
    request, an order or a write may be repeated is not its decision.

    :param connect_timeout_s: longest wait for a new connection.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=AUTOMATIC_FIELDS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        **options,
    )
    session._retry_connection = False
    return session


def passed_fields(headers: Any, dropped: Collection[str] = ()) -> CIMultiDict[str]:
    """Return the header fields that are passed on to the next hop.

    :param dropped: further names to leave out, in lower case.
    """
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    left_out = {*CONNECTION_FIELDS, *named, *dropped}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in left_out
    )
