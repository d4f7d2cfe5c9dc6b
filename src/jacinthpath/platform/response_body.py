"""Reads the bodies of servers' responses, with bounded memory."""

from __future__ import annotations

__all__ = ["ServerBodyStream", "read_body"]

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import NamedTuple

import aiohttp

from ..gateway.body_memory import PART_BYTES, BodyMemory
from ..gateway.exchange import BodyBroken

ROOM_CHECK_S = 0.05
"""Other bodies may have made room by then."""

GIVEN_UP = "The body was given up."


class HeldBody(NamedTuple):
    """The beginning of a body.

    :param is_whole: whether nothing follows it.
    """

    parts: list[bytes]
    is_whole: bool


async def read_body(response: aiohttp.ClientResponse, memory: BodyMemory) -> HeldBody:
    """Read a body up to its end, or as far as it may be held in memory.

    The bytes count as held while they are read; whoever keeps the parts counts them
    from then on.
    """
    parts: list[bytes] = []
    held_bytes = 0
    try:
        while not response.content.at_eof():
            part = await response.content.readany()
            parts.append(part)
            may_hold = memory.may_hold(held_bytes, len(part))
            memory.add(len(part))
            held_bytes += len(part)
            if not may_hold:
                return HeldBody(parts, response.content.at_eof())
        return HeldBody(parts, True)
    finally:
        memory.release(held_bytes)


class ServerBodyStream:
    """See :class:`jacinthpath.gateway.exchange.BodyStream`.

    A server cuts off a response that stays unread for some seconds. So the body is read
    on while its caller is slow, as far as it may be held in memory.

    :param read_parts: parts that have been read already.
    :param deadline_s: loop time at which a body that has not arrived is given up.
    :param memory: counts the parts from the first iteration on.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        read_parts: list[bytes],
        deadline_s: float,
        memory: BodyMemory,
    ) -> None:
        self.length = response.content_length
        self.handle_whole: Callable[[], None] = _ignore_whole
        self._response = response
        self._parts = deque(read_parts)
        self._deadline_s = deadline_s
        self._memory = memory
        self._held_bytes = 0
        self._reader: asyncio.Task[None] | None = None
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()
        self._ended = False
        self._failure = GIVEN_UP

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """See :meth:`BodyStream.__aiter__`."""
        self._hold(sum(map(len, self._parts)))
        self._reader = asyncio.create_task(self._read_ahead())
        while True:
            while not self._parts and not self._ended:
                self._arrived.clear()
                await self._arrived.wait()
            if self._ended and self._failure:
                raise BodyBroken(self._failure, "Send the request again.")
            if not self._parts:
                return
            part = self._parts.popleft()
            self._hold(-len(part))
            self._taken.set()
            yield part

    def close(self) -> None:
        """See :meth:`BodyStream.close`.

        No reference cycle may be left: the response keeps what its connection has
        received, which would count no longer and yet be in memory until the garbage
        collector runs.
        """
        if self._reader is not None:
            self._reader.cancel()
            self._reader = None
        self.handle_whole = _ignore_whole
        if self._parts or not self._ended:
            self._failure = GIVEN_UP
        self._ended = True
        self._arrived.set()
        self._parts.clear()
        self._hold(-self._held_bytes)
        self._response.close()

    async def _read_ahead(self) -> None:
        """Read the body up to its end."""
        content = self._response.content
        try:
            async with asyncio.timeout_at(self._deadline_s):
                while not content.at_eof():
                    await self._wait_for_room()
                    part = await content.readany()
                    if part and not self._ended:
                        self._parts.append(part)
                        self._hold(len(part))
                        self._arrived.set()
            if not self._ended:
                self._failure = ""
                self.handle_whole()
        except Exception as error:
            # Nothing that ends the reading may make the body look whole.
            self._failure = (
                f"The body broke off after {content.total_bytes} bytes of "
                f"{self.length or 'unknown length'}: {type(error).__name__}."
            )
        finally:
            self._ended = True
            self._arrived.set()

    async def _wait_for_room(self) -> None:
        """Leave the server waiting while the caller has parts to take and no room.

        What has arrived meanwhile is in the buffer of the connection.
        """
        if not self._must_wait():
            return
        self._memory.add(PART_BYTES)
        try:
            while self._must_wait():
                self._taken.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(ROOM_CHECK_S):
                        await self._taken.wait()
        finally:
            self._memory.release(PART_BYTES)

    def _must_wait(self) -> bool:
        return bool(self._parts) and not self._memory.may_read_ahead(self._held_bytes)

    def _hold(self, added_bytes: int) -> None:
        self._held_bytes += added_bytes
        self._memory.add(added_bytes)


def _ignore_whole() -> None:
    """Do nothing when the whole body has arrived."""
