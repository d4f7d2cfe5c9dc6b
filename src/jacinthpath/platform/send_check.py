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


class _Holder:
    """Holds the check of a task while it applies.

    A connection that is opened meanwhile keeps the context of the task as long as it
    lives, and must not keep the request with it.
    """

    def __init__(self, check: Check) -> None:
        self.check: Check | None = check


_holder: ContextVar[_Holder | None] = ContextVar("holder", default=None)


@contextmanager
def checking_before_sending(check: Check) -> Iterator[None]:
    """Have the requests of this task checked just before their first byte is sent."""
    holder = _Holder(check)
    token = _holder.set(holder)
    try:
        yield
    finally:
        holder.check = None
        _holder.reset(token)


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
        holder = _holder.get()
        if holder is not None and holder.check is not None:
            holder.check(self.headers)
