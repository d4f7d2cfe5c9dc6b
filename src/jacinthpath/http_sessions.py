"""HTTP client sessions that send each request once and its target unchanged."""

from __future__ import annotations

__all__ = ["disable_retries", "request_url"]

import aiohttp
from yarl import URL


def disable_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Disable automatic retries of a session and return it.

    aiohttp retries requests of some methods when the connection breaks. Whether a
    request, a command or a write may be retried must not be decided by the library.
    """
    session._retry_connection = False
    return session


def request_url(address: str, target: str) -> URL:
    """Return a URL that is requested by just this target.

    The whole target is given as the path: of a URL with a query, an empty query would
    be left out.

    :param target: path and query of the request, as its caller has sent them.
    :raises ValueError: the address is malformed.
    """
    return URL.build(scheme="http", authority=address, path=target, encoded=True)
