"""Responses to callers, complete or visibly aborted."""

from __future__ import annotations

__all__ = ["CallerDisconnected", "CallerResponse"]

import contextlib
import json

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from .errors import RequestError
from .exchange import Attempt
from .headers import ERROR, OUTCOME


class CallerDisconnected(Exception):
    """The caller closed its connection before it received the complete response."""


class CallerResponse:
    """Response to one caller, complete or visibly aborted."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether sending of status and headers has begun."""
        return self._response is not None

    async def stream(
        self, upstream: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> None:
        """Forward a long response in chunks, at the speed at which the caller reads."""
        self._response = web.StreamResponse(status=upstream.status, headers=headers)
        try:
            await self._response.prepare(self._request)
        except ConnectionError as error:
            raise CallerDisconnected from error
        async for chunk in upstream.content.iter_any():
            try:
                await self._response.write(chunk)
            except ConnectionError as error:
                # A failed write to the caller must not count as an endpoint failure.
                raise CallerDisconnected from error
        with contextlib.suppress(ConnectionError):
            await self._response.write_eof()

    def finish(self, attempt: Attempt) -> web.StreamResponse:
        """Return the HTTP response for an answered attempt."""
        if self._response is not None:
            return self._response
        return web.Response(
            status=attempt.status, headers=attempt.headers, body=attempt.body
        )

    def fail(self, error: RequestError) -> web.StreamResponse:
        """Return the typed error as a response, or abort a response that has begun."""
        if self._response is not None:
            if self._request.transport is not None:
                self._request.transport.abort()
            return self._response
        headers = {OUTCOME: error.outcome, ERROR: error.kind}
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
        body = {"error": error.kind, "message": error.message, "remedy": error.remedy}
        return web.Response(
            status=error.status,
            headers=headers,
            body=json.dumps(body).encode(),
            content_type="application/json",
        )
