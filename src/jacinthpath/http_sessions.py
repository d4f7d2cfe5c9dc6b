"""HTTP client sessions that send each request only once."""

from __future__ import annotations

__all__ = ["disable_retries"]

import aiohttp


def disable_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Disable automatic retries of a session and return it.

    aiohttp retries requests of some methods when the connection breaks. Whether a
    request, a command or a write may be retried must not be decided by the library.
    """
    session._retry_connection = False
    return session
