"""Records which servers are cold, and logs the changes."""

from __future__ import annotations

__all__ = ["ColdServerState"]

from collections.abc import Callable, Iterable

from .clock import boottime_s
from .cold_servers import ColdPeriod, ColdServers
from .events import EventLog
from .model import Backend


class ColdServerState:
    """Fills the registry of cold servers from entries, responses and peers.

    :param notify: called after each change.
    """

    def __init__(
        self, registry: ColdServers, events: EventLog, notify: Callable[[], None]
    ) -> None:
        self._registry = registry
        self._events = events
        self._notify = notify

    def record_warmup(
        self, server: str, started_ms: int, left_s: float, source: str
    ) -> None:
        """Record for how much longer a server says that it is cold."""
        if self._registry.observe(server, started_ms, left_s, boottime_s()):
            self._note(server, started_ms, left_s, source)

    def record_entry(self, backend: Backend, source: str) -> None:
        """Record for how much longer a server is cold according to its entry."""
        left_s = backend.warmup_left_s
        self.record_warmup(backend.server, backend.started_ms, left_s, source)

    def record_cold(self, backend: Backend, left_s: float, source: str) -> None:
        """Record that a server may be cold, unless it is known to be so for longer."""
        now_s = boottime_s()
        server, started_ms = backend.server, backend.started_ms
        if self._registry.record(server, started_ms, now_s + left_s, now_s):
            self._note(server, started_ms, left_s, source)

    def merge(self, period: ColdPeriod, source: str) -> None:
        """Record a cold server that another host has reported."""
        now_s = boottime_s()
        if self._registry.merge(period, now_s):
            self._note(*period[:2], period.until_s - now_s, source)

    def merge_all(self, periods: Iterable[ColdPeriod], source: str) -> None:
        """Apply the whole set of a peer."""
        now_s = boottime_s()
        for period in self._registry.merge_all(periods, now_s):
            self._note(*period[:2], period.until_s - now_s, source)

    def _note(self, server: str, started_ms: int, left_s: float, source: str) -> None:
        self._events.log_state_change(
            "server_cold" if left_s > 0 else "server_warm",
            server=server,
            born_ms=started_ms,
            left_ms=max(0, round(1000 * left_s)),
            source=source,
        )
        self._notify()
