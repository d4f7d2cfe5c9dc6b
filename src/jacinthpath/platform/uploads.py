"""Reads the bodies of callers' requests, with bounded memory."""

from __future__ import annotations

__all__ = ["Upload", "UploadReader"]

from random import uniform

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from ..gateway.body_memory import BodyMemory
from ..gateway.exchange import Response, local_response
from ..gateway.shutdown_window import ShutdownWindow
from ..gateway.waiting import ShutdownTimeout
from ..metrics import Metrics

LEAVING_RETRY_S = 0.1
"""When a caller should send a request again that another host can take at once."""

MIN_MEMORY_RETRY_S = 0.5
MAX_MEMORY_RETRY_S = 2.0
"""Bounds of the random time after which a caller whose body did not fit returns."""

MIN_REFUSED_BYTES = 16 * 1024
"""A body that takes less memory than its connection is not refused for want of it."""


class Upload:
    """One request of a caller, whose body is held until it has been answered.

    :ivar held_bytes: bytes of the body in memory.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.was_refused = False
        self.timeout: ShutdownTimeout | None = None


class UploadReader:
    """Reads bodies, and refuses the largest when they exceed the memory of the host.

    :param memory: counts the bodies that this host holds.
    :param shutdown_window: whether the process is to stop, and when.
    """

    def __init__(
        self, memory: BodyMemory, shutdown_window: ShutdownWindow, metrics: Metrics
    ) -> None:
        self._memory = memory
        self._shutdown_window = shutdown_window
        self._metrics = metrics
        self._uploads: set[Upload] = set()

    async def read(
        self, upload: Upload, request: web.BaseRequest, max_bytes: int, end_s: float
    ) -> bytes | Response:
        """Return the body, or the response to a request without a readable one.

        :param end_s: loop time until which the body must have arrived.
        """
        max_bytes = min(max_bytes, self._memory.max_request_bytes)
        if request.content_length is not None and request.content_length > max_bytes:
            return local_response(413, "body-too-large")
        upload.timeout = ShutdownTimeout(self._shutdown_window, end_s)
        self._uploads.add(upload)
        try:
            async with upload.timeout:
                body = await self._read_parts(upload, request, max_bytes)
        except TimeoutError:
            return self._explain_end(upload)
        finally:
            self._uploads.discard(upload)
        if upload.was_refused:
            return self._explain_end(upload)
        return local_response(413, "body-too-large") if body is None else body

    def end(self, upload: Upload) -> None:
        """Count the body of a request no longer."""
        self._memory.release(upload.held_bytes)
        upload.held_bytes = 0

    async def _read_parts(
        self, upload: Upload, request: web.BaseRequest, max_bytes: float
    ) -> bytes | None:
        """Return the body, or ``None`` when it exceeds the limit or is malformed."""
        parts = []
        size = 0
        try:
            async for part in request.content.iter_any():
                size += len(part)
                if size > max_bytes or upload.was_refused:
                    return None
                parts.append(part)
                upload.held_bytes += self._memory.add_request(len(part))
                if self._memory.refuses_requests:
                    self._refuse_largest()
            return b"".join(parts)
        except HttpProcessingError:
            return None
        finally:
            # A refused body is not to be kept by the exception that ends its reading.
            parts.clear()

    def _refuse_largest(self) -> None:
        """Make room; the request has not run and may be sent again."""
        largest = max(self._uploads, key=lambda upload: upload.held_bytes)
        if largest.held_bytes < MIN_REFUSED_BYTES:
            return
        largest.was_refused = True
        largest.timeout.end_now()
        self.end(largest)
        self._metrics.count("uploads_refused_total")

    def _explain_end(self, upload: Upload) -> Response:
        """Return the response to a request whose body was not read to its end."""
        if upload.was_refused:
            retry_s = uniform(MIN_MEMORY_RETRY_S, MAX_MEMORY_RETRY_S)
            return local_response(503, "memory-short", retry_s)
        if self._shutdown_window.is_open:
            return local_response(503, "leaving", LEAVING_RETRY_S)
        return local_response(408, "body-timeout")
