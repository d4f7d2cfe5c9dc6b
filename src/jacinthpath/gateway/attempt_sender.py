"""Sends one attempt to a server, on this host's path or that of another host."""

from __future__ import annotations

__all__ = ["AttemptSender"]

import asyncio
from collections.abc import Callable

from .attempt_recorder import Attempt, AttemptRecorder
from .clock import boottime_s
from .exchange import (
    AttemptResult,
    CallerLeft,
    CallerRequest,
    NotSent,
    Outcome,
    ServerNotice,
)
from .loop_delay import loop_delay_of
from .model import Backend, Service
from .request_dependencies import RequestDependencies

MAX_DIRECT_CONNECT_S = 0.2
"""After a longer wait for a connection, another server is more likely to respond in
time than the same one by way of another host."""

MIN_RELAYED_S = 0.02
"""No request is relayed with less time than this left."""


EVACUATED = "data centre evacuated"

ResponseStartHandler = Callable[[ServerNotice], None]


class AttemptSender:
    """Sends the attempts of one request, and records their results.

    :param may_relay: whether another host may send the request; one that was relayed
        is not relayed again.
    """

    def __init__(
        self,
        dependencies: RequestDependencies,
        request: CallerRequest,
        service: Service,
        may_relay: bool = True,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._service = service
        self._may_relay = may_relay
        self._loop = asyncio.get_running_loop()
        self._recorder = AttemptRecorder(dependencies, request, service)

    async def send(
        self,
        number: int,
        backend: Backend,
        remaining_s: float,
        handle_response_start: ResponseStartHandler | None = None,
    ) -> AttemptResult:
        """Send the request to a server and record the result.

        :param number: 1 for the first attempt of the request.
        :param remaining_s: time until the request's deadline.
        :param handle_response_start: called when the server begins to respond.
        """
        if handle_response_start is not None:
            self._request = self._request._replace(
                handle_response_start=handle_response_start
            )
        pool = self._dependencies.pool
        started_s = self._loop.time()
        now_s = boottime_s()
        pool.record_start(backend, now_s)
        if number == 1:
            self._dependencies.metrics.observe(
                "first_send_age_seconds", now_s - self._request.arrived_s
            )
        try:
            result = await self._send_by_a_path(backend, remaining_s)
        except BaseException as error:
            pool.record_inconclusive(backend, boottime_s())
            if not isinstance(error, asyncio.CancelledError | CallerLeft):
                raise
            was_sent = not isinstance(error, CallerLeft)
            self._log_cancelled(backend, started_s, was_sent)
            if isinstance(error, CallerLeft):
                raise asyncio.CancelledError(str(error)) from error
            raise
        result = self._recorder.track_stream(backend, result)
        elapsed_s = self._loop.time() - started_s
        self._recorder.record(Attempt(number, backend, elapsed_s, remaining_s), result)
        return result

    def _log_cancelled(self, backend: Backend, started_s: float, sent: bool) -> None:
        self._dependencies.events.log_failure(
            "attempt_cancelled",
            id=self._request.request_id,
            server=backend.server,
            after_ms=round(1000 * (self._loop.time() - started_s)),
            sent=sent,
        )

    async def _send_by_a_path(
        self, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send on this host's own path unless it is lost, else by way of another host.

        The boot clock counts here, since a caller's deadline goes on while the host is
        suspended.
        """
        if not self._is_path_lost():
            started_s = boottime_s()
            result = await self._send_directly(backend, remaining_s)
            elapsed_s = boottime_s() - started_s
            remaining_s -= elapsed_s
            if not self._should_relay(backend, result, elapsed_s, remaining_s):
                return result
        if self._is_closed(backend):
            return AttemptResult(Outcome.TIMED_OUT, EVACUATED, was_sent=False)
        return await self._dependencies.relay.send(self._request, backend, remaining_s)

    def _is_path_lost(self) -> bool:
        """Return whether only another host may reach the servers."""
        return (
            self._may_relay
            and self._dependencies.reach.is_cut_off()
            and self._dependencies.relay.has_peers()
        )

    async def _send_directly(
        self, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send on this host's own path, and record whether there is one."""
        reach = self._dependencies.reach
        token = reach.record_sent()
        sent_s = boottime_s()
        try:
            result = await self._dependencies.backend_client.send(
                self._guard(backend), backend, remaining_s
            )
        finally:
            reach.record_ended(token)
        was_late = loop_delay_of(self._loop).was_delayed_since(sent_s)
        self._recorder.record_reach(backend, result, was_late)
        return result

    def _guard(self, backend: Backend) -> CallerRequest:
        """Return the request with a check for an evacuation before it is sent.

        A connection may take longer to open than the evacuation leaves.
        """
        check_caller = self._request.check_wanted

        def check_wanted() -> None:
            check_caller()
            if self._is_closed(backend):
                raise NotSent(EVACUATED)

        return self._request._replace(check_wanted=check_wanted)

    def _is_closed(self, backend: Backend) -> bool:
        evacuated = self._dependencies.view.evacuated
        return evacuated.is_closed(backend.data_centre, boottime_s())

    def _should_relay(
        self,
        backend: Backend,
        result: AttemptResult,
        elapsed_s: float,
        remaining_s: float,
    ) -> bool:
        """Return whether to relay a request after an attempt on the own path."""
        if not self._may_relay or result.outcome is not Outcome.UNREACHABLE:
            return False
        if remaining_s < MIN_RELAYED_S:
            return False
        if not self._dependencies.relay.may_help(backend):
            return False
        return (
            self._service.keyed
            or elapsed_s < MAX_DIRECT_CONNECT_S
            or self._dependencies.reach.is_doubted()
        )
