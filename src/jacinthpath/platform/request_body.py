"""Sends the bodies of requests in parts, with bounded memory."""

from __future__ import annotations

__all__ = ["RequestBody"]

from aiohttp import BytesPayload
from aiohttp.abc import AbstractStreamWriter

PART_BYTES = 64 * 1024
"""Bytes that are handed to a connection at a time."""


class RequestBody(BytesPayload):
    """A body that is held once, however slowly the server reads it.

    Written at once, all that the server has not read would also be in the buffer of the
    connection, and for a moment in two further copies.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, each part once the connection takes more."""
        body = memoryview(self._value)[:content_length]
        for start in range(0, len(body), PART_BYTES):
            await writer.write(body[start : start + PART_BYTES])
