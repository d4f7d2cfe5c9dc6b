"""Follows this host's path to the servers, and logs when it is lost or back."""

from __future__ import annotations

__all__ = ["ReachMonitor"]

from collections.abc import Callable

from ..metrics import Metrics
from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog
from .server_reach import Reach, ServerReach


class ReachMonitor:
    """Records how attempts and commands of this host end.

    :param clock: boot clock.
    """

    def __init__(
        self,
        view: ClusterView,
        metrics: Metrics,
        events: EventLog,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._events = events
        self._clock = clock
        self._reach = ServerReach()
        self._was_cut_off = False

    def state(self) -> Reach:
        """Return what is known of the path to the servers."""
        return self._reach.state(self._clock())

    def is_cut_off(self) -> bool:
        """Return whether this host has lost its path to all servers."""
        return self._reach.is_cut_off(self._clock())

    def record_response(self) -> None:
        """Record that a server has responded to this host."""
        self._reach.record_response(self._clock())
        if self._was_cut_off:
            self._log_change()

    def record_failure(self, server: str) -> None:
        """Record that a server did not respond to this host."""
        self._reach.set_known_servers(len(self._view.directory.all()))
        self._reach.record_failure(server, self._clock())
        if self.is_cut_off() != self._was_cut_off:
            self._log_change()

    def _log_change(self) -> None:
        self._was_cut_off = self.is_cut_off()
        self._metrics.gauge("cut_off_from_servers", float(self._was_cut_off))
        self._events.log_state_change(
            "reach_changed",
            state=self.state().value,
            failing=" ".join(self._reach.failing),
        )
