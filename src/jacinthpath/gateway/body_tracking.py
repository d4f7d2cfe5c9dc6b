"""Reports how a response's body ended that was forwarded while it arrived."""

from __future__ import annotations

__all__ = ["TrackedBody"]

from collections.abc import AsyncIterator, Callable

from .exchange import BodyBroken, BodyStream


class TrackedBody:
    """See :class:`~jacinthpath.gateway.exchange.BodyStream`.

    :param handle_end: called once at the end, with the reason if the body is broken and
        an empty string otherwise.
    """

    def __init__(self, stream: BodyStream, handle_end: Callable[[str], None]) -> None:
        self.length = stream.length
        self.handle_whole = stream.handle_whole
        self._stream = stream
        self._handle_end = handle_end
        self._ended = False
        stream.handle_whole = self._handle_whole

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """See :meth:`BodyStream.__aiter__`."""
        try:
            async for part in self._stream:
                yield part
        except BodyBroken as error:
            self._end(str(error))
            raise

    def close(self) -> None:
        """See :meth:`BodyStream.close`."""
        self._stream.close()
        self._end("")

    def _handle_whole(self) -> None:
        self._end("")
        self.handle_whole()

    def _end(self, reason: str) -> None:
        if not self._ended:
            self._ended = True
            self._handle_end(reason)
