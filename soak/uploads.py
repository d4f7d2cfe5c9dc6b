"""Uploads whose last byte arrives late, for servers that work for long."""

from __future__ import annotations

__all__ = ["SLOW_PATH", "UploadOutcome", "send_uploads"]

import asyncio
from random import Random
from typing import NamedTuple

from standins.platform_documents import HOST

SLOW_PATH = "/slow/"
UPLOADS = 16
MAX_OPENED_S = 2.4
MAX_COMPLETE_S = 5.6
DEADLINE_MS = 6_000
RESPONSE_TIMEOUT_S = 10.0


class UploadOutcome(NamedTuple):
    """What the caller of an upload got.

    :param status: 0 if the connection was closed without a response, or not opened.
    """

    request_id: str
    status: int


async def send_uploads(
    address: str, prefix: str, random: Random
) -> list[UploadOutcome]:
    """Send uploads that begin and end at random times from now on."""
    plans = []
    for number in range(UPLOADS):
        opened_s = random.uniform(0.1, MAX_OPENED_S)
        complete_s = random.uniform(opened_s, MAX_COMPLETE_S)
        plans.append((f"{prefix}-{number}", opened_s, complete_s))
    return await asyncio.gather(*(_try_upload(address, *plan) for plan in plans))


async def _try_upload(
    address: str, request_id: str, opened_s: float, complete_s: float
) -> UploadOutcome:
    await asyncio.sleep(opened_s)
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            status = await _upload(address, request_id, complete_s - opened_s)
    except (OSError, EOFError, TimeoutError):
        status = 0
    return UploadOutcome(request_id, status)


async def _upload(address: str, request_id: str, pause_s: float) -> int:
    """Send all but the last byte, and that one after a pause; return the status."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = [
            f"POST {SLOW_PATH}x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request_id}",
            f"X-Request-Deadline-Ms: {DEADLINE_MS}",
            "Content-Length: 4",
        ]
        writer.write("\r\n".join([*fields, "", "abc"]).encode())
        response = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        done, _ = await asyncio.wait({response}, timeout=pause_s)
        if not done:
            writer.write(b"d")
        return int((await response).split(b" ")[1])
    finally:
        writer.close()
