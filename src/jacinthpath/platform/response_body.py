"""Reads the bodies of servers' responses, with bounded memory."""

from __future__ import annotations

__all__ = ["ServerBodyStream", "read_body"]

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp

from ..gateway.body_memory import BodyMemory
from ..gateway.exchange import BodyBroken


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

    :param read_parts: parts that have been read already.
    :param deadline_s: loop time at which a body that has not ended is given up.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        read_parts: list[bytes],
        deadline_s: float,
    ) -> None:
        self.length = response.content_length
        self._response = response
        self._read_parts = deque(read_parts)
        self._deadline_s = deadline_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """See :meth:`BodyStream.__aiter__`."""
        while self._read_parts:
            yield self._read_parts.popleft()
        content = self._response.content
        loop = asyncio.get_running_loop()
        try:
            while not content.at_eof():
                if loop.time() >= self._deadline_s:
                    raise TimeoutError
                async with asyncio.timeout_at(self._deadline_s):
                    part = await content.readany()
                if part:
                    yield part
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise BodyBroken(
                f"The body broke off after {content.total_bytes} bytes of "
                f"{self.length or 'unknown length'}: {type(error).__name__}.",
                "Send the request again.",
            ) from error

    def close(self) -> None:
        """See :meth:`BodyStream.close`."""
        self._response.close()
