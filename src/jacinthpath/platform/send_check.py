"""A last check before a request or command is sent to a server.

Opening a connection takes several passes of the event loop. Meanwhile the caller may
leave and the time of the request may end, which a loop that is late learns only after
it has sent the request.
"""

from __future__ import annotations

__all__ = ["CheckedRequest", "checking_before_sending"]

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import aiohttp
from multidict import CIMultiDict

from ..errors import JacinthpathError

Check = Callable[[CIMultiDict[str]], None]
"""Called with the header fields, which it may change; raises to prevent the sending."""

_check: ContextVar[Check | None] = ContextVar("check", default=None)


@contextmanager
def checking_before_sending(check: Check) -> Iterator[None]:
    """Have the requests of this task checked just before their first byte is sent."""
    token = _check.set(check)
    try:
        yield
    finally:
        _check.reset(token)


class CheckedRequest(aiohttp.ClientRequest):
    """Runs the check of its task; if that raises, nothing is sent."""

    async def send(self, connection: Any) -> Any:
        """Send the request; one with a body is sent in the next pass of the loop."""
        self._run_check()
        return await super().send(connection)

    async def write_bytes(self, writer: Any, connection: Any, *args: Any) -> None:
        """Send the header fields with the body."""
        try:
            self._run_check()
        except JacinthpathError as error:
            connection.protocol.set_exception(error)
            return
        await super().write_bytes(writer, connection, *args)

    def _run_check(self) -> None:
        check = _check.get()
        if check is not None:
            check(self.headers)
