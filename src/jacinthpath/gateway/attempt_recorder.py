"""Records what an attempt tells about a server: for this host, the leader, the log."""

from __future__ import annotations

__all__ = ["Attempt", "AttemptRecorder"]

from typing import NamedTuple

from .body_tracking import TrackedBody
from .clock import boottime_s
from .exchange import AttemptResult, CallerRequest, Outcome, ServerNotice
from .fingerprints import fingerprint_of
from .model import Backend, Service
from .request_dependencies import RequestDependencies
from .server_limits import LimitObservation

TIMEOUT_FAILURE_FACTOR = 4.0
"""A timeout is evidence against the server only beyond this multiple of the expected
latency. Long requests take up to seven times the mean; they are three in a hundred."""

_OWN_RESPONSES = frozenset({Outcome.ANSWERED, Outcome.FAILED, Outcome.REFUSED})
"""Outcomes that are certainly a response of the server: another one at its address
refuses as the wrong owner."""

_NO_RESPONSE = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})

_RESPONSES = _OWN_RESPONSES | {Outcome.NOT_OWNER}
"""Outcomes that show a path to the server's address."""


class Attempt(NamedTuple):
    """One attempt of a request at a server.

    :param number: 1 for the first attempt of the request.
    :param remaining_s: time that the server was given.
    """

    number: int
    backend: Backend
    elapsed_s: float
    remaining_s: float


class AttemptRecorder:
    """Records the attempts of one request."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        request: CallerRequest,
        service: Service,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._service = service

    def record(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt.

        The load and the crashes that a relayed attempt shows are reported by the host
        that has relayed it, which knows nothing of earlier crashes here.
        """
        backend, elapsed_s = attempt.backend, attempt.elapsed_s
        self._count(backend, result)
        if self._service.keyed and not result.relayed_by:
            self._record_load(backend, result.outcome, elapsed_s)
        self._record_server_result(backend, result, elapsed_s)
        self._log(attempt, result)
        self._record_notice(backend, result.notice)
        self._record_limit(backend, result)
        self._record_crash_evidence(backend, result, boottime_s() - elapsed_s)

    def _record_crash_evidence(
        self, backend: Backend, result: AttemptResult, sent_s: float
    ) -> None:
        """Record whether the server may have crashed under the request."""
        detector = self._dependencies.crash_detector
        if result.connection_lost and not result.relayed_by:
            detector.suspect(self._request, backend, sent_s)
        if result.outcome in _RESPONSES:
            detector.record_response(backend, sent_s)
        if result.outcome is Outcome.ANSWERED:
            detector.record_answered(self._request)

    def _count(self, backend: Backend, result: AttemptResult) -> None:
        """Count the attempt by what this host knew of the server before it ended."""
        dependencies = self._dependencies
        limit = dependencies.view.limits.find(
            backend.server, backend.started_ms, boottime_s()
        )
        dependencies.metrics.count(
            "attempts_total",
            outcome=result.outcome.value,
            limited="yes" if limit else "no",
            path="relayed" if result.relayed_by else "own",
        )

    def record_reach(
        self, backend: Backend, result: AttemptResult, was_late: bool
    ) -> None:
        """Record whether this host has a path to the server, by an attempt on it.

        :param was_late: whether this process was late, so that a response may have come
            that it has not read.
        """
        reach = self._dependencies.reach
        if result.outcome in _RESPONSES:
            reach.record_response()
        elif was_late or not result.was_sent:
            return
        elif result.outcome in _NO_RESPONSE or result.connection_lost:
            reach.record_failure(backend.server, backend.service)

    def _record_notice(self, backend: Backend, notice: ServerNotice) -> None:
        """Stop sending to a server that leaves or has asked for a pause."""
        dependencies = self._dependencies
        if notice.leaving:
            dependencies.view.record_leaving(backend.server, backend.started_ms)
        if notice.pause_s:
            dependencies.pool.record_pause(backend, notice.pause_s, boottime_s())
        if notice.warmup_left_s is not None:
            dependencies.view.cold.record_warmup(
                backend.server, backend.started_ms, notice.warmup_left_s, "response"
            )
        if notice.malformed:
            dependencies.metrics.count("malformed_notices_total")
            if dependencies.pool.is_first_malformed(backend, boottime_s()):
                dependencies.events.log_state_change(
                    "server_notice_refused",
                    server=backend.server,
                    detail=notice.malformed,
                )

    def _record_limit(self, backend: Backend, result: AttemptResult) -> None:
        """Record the limit that a response names, or that it names none."""
        notice = result.notice
        named = notice.limit_per_s is not None
        if named or (result.outcome in _OWN_RESPONSES and not notice.limit_unreadable):
            self._dependencies.view.record_own_limit(
                LimitObservation(
                    backend.server,
                    backend.started_ms,
                    notice.limit_per_s,
                    notice.received_s,
                )
            )

    def track_stream(self, backend: Backend, result: AttemptResult) -> AttemptResult:
        """Count the connection as in use until the body has ended."""
        response = result.response
        if response is None or response.stream is None:
            return result
        dependencies = self._dependencies
        dependencies.pool.record_start(backend, boottime_s())

        def handle_end(reason: str) -> None:
            now_s = boottime_s()
            if not reason:
                dependencies.pool.record_inconclusive(backend, now_s)
                return
            dependencies.pool.record_failure(backend, now_s, no_response=False)
            dependencies.metrics.count("bodies_broken_total")
            dependencies.events.log_failure(
                "body_broken",
                id=self._request.request_id,
                server=backend.server,
                detail=reason,
            )

        tracked = TrackedBody(response.stream, handle_end)
        return result._replace(response=response._replace(stream=tracked))

    def _record_load(
        self, backend: Backend, outcome: Outcome, elapsed_s: float
    ) -> None:
        """Record the owner's latency for the load report to the leader."""
        load_recorder = self._dependencies.load_recorder
        if outcome is Outcome.ANSWERED:
            load_recorder.record_response(self._service.name, backend.server, elapsed_s)
        elif outcome is Outcome.TIMED_OUT and not self._dependencies.reach.is_cut_off():
            load_recorder.record_timeout(self._service.name, backend.server, elapsed_s)

    def _record_server_result(
        self, backend: Backend, result: AttemptResult, elapsed_s: float
    ) -> None:
        """Record the result in this host's statistics of the server."""
        pool = self._dependencies.pool
        now_s = boottime_s()
        outcome = result.outcome
        if result.connection_reset:
            pool.record_reset(backend, now_s)
        if outcome is Outcome.ANSWERED:
            pool.record_response(backend, elapsed_s, now_s)
            self._dependencies.metrics.observe("attempt_duration_seconds", elapsed_s)
        elif outcome is Outcome.REFUSED:
            pool.record_rejection(backend, now_s)
        elif (
            outcome is Outcome.NOT_OWNER
            or not result.was_sent
            or result.relay_lost
            or self._says_only_that_path_is_lost(result)
            or self._may_still_be_working(backend, result, elapsed_s)
        ):
            pool.record_inconclusive(backend, now_s)
        elif pool.record_failure(backend, now_s, outcome in _NO_RESPONSE):
            self._dependencies.events.log_state_change(
                "server_ejected",
                server=backend.server,
                service=backend.service,
                outcome=outcome.value,
                detail=result.detail,
            )

    def _says_only_that_path_is_lost(self, result: AttemptResult) -> bool:
        """Return whether an attempt failed on the path of a host that is cut off."""
        no_response = result.outcome in _NO_RESPONSE or result.connection_lost
        return (
            no_response
            and not result.relayed_by
            and self._dependencies.reach.is_cut_off()
        )

    def _may_still_be_working(
        self, backend: Backend, result: AttemptResult, elapsed_s: float
    ) -> bool:
        """Return whether an attempt timed out while the server may still be working."""
        if result.outcome is not Outcome.TIMED_OUT:
            return False
        expected_s = self._dependencies.pool.latency_s(backend, boottime_s())
        return elapsed_s <= TIMEOUT_FAILURE_FACTOR * expected_s

    def _log(self, attempt: Attempt, result: AttemptResult) -> None:
        dependencies = self._dependencies
        backend = attempt.backend
        answered = result.outcome is Outcome.ANSWERED
        write = (
            dependencies.events.log_success
            if answered
            else dependencies.events.log_failure
        )
        now_s = boottime_s()
        limit = dependencies.view.limits.find(backend.server, backend.started_ms, now_s)
        write(
            "attempt",
            id=self._request.request_id,
            n=attempt.number,
            service=self._service.name,
            server=backend.server,
            key=self._request.key,
            fingerprint=None if answered else f"{fingerprint_of(self._request):016x}",
            outcome=result.outcome.value,
            detail=result.detail,
            relayed_by=result.relayed_by or None,
            took_ms=_ms(attempt.elapsed_s),
            left_ms=_ms(attempt.remaining_s),
            expected_ms=_ms(dependencies.pool.latency_s(backend, now_s)),
            in_flight=dependencies.pool.in_flight(backend),
            limit_per_s=limit.limit_per_s if limit else None,
            server_revision=backend.revision,
            assignment=(
                dependencies.view.assignment_revision if self._service.keyed else None
            ),
            belief_age_s=round(dependencies.view.store_age_s(), 2),
        )


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
