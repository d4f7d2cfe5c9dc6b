"""HTTP sessions of which each request is sent once."""

from __future__ import annotations

__all__ = ["disable_retries"]

import aiohttp


def disable_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Return the session, which from now on repeats nothing by itself.

    The library would repeat some methods on a connection that breaks. Whether a
    request, an order or a write may be repeated is not its decision.
    """
    session._retry_connection = False
    return session
