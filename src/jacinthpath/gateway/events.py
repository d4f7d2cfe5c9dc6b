"""Decision log: one key=value line for each decision, bounded and never blocking."""

from __future__ import annotations

__all__ = ["EventKind", "EventLog"]

import enum
import os
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import structlog

MAX_PENDING_BYTES = 256 * 1024
"""Lines that a stalled reader of standard output may leave in memory."""

SUMMARY_PERIOD_S = 5.0


class EventKind(enum.Enum):
    """Kinds of events with their budget of lines a second."""

    PROCESS = ("process", 50)
    STATE_CHANGE = ("belief", 60)
    FAILURE = ("failure", 60)
    SUCCESS = ("success", 10)

    def __init__(self, label: str, lines_per_s: int) -> None:
        self.label = label
        self.lines_per_s = lines_per_s


class EventLog:
    """Writes events to a descriptor that is switched to non-blocking.

    :param host: name that every line carries.
    :param descriptor: standard output.
    :param count: called with a metric name and labels for each line left out.
    """

    def __init__(
        self,
        host: str,
        descriptor: int = 1,
        count: Callable[..., None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._descriptor = descriptor
        self._count = count or (lambda *_args, **_labels: None)
        self._clock = clock
        self._render = structlog.processors.LogfmtRenderer(
            key_order=["at", "host", "event"], bool_as_flag=False
        )
        self._second = 0
        self._written: dict[EventKind, int] = defaultdict(int)
        self._left_out: dict[EventKind, int] = defaultdict(int)
        self._summary_s = 0.0
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def process(self, event: str, **fields: Any) -> None:
        """Record a start, stop, reload, or a dependency lost or regained."""
        self._write(EventKind.PROCESS, event, fields)

    def state_change(self, event: str, **fields: Any) -> None:
        """Record a change of what the process believes."""
        self._write(EventKind.STATE_CHANGE, event, fields)

    def failure(self, event: str, **fields: Any) -> None:
        """Record a decision on a request that was not simply served."""
        self._write(EventKind.FAILURE, event, fields)

    def success(self, event: str, **fields: Any) -> None:
        """Record a request that was served."""
        self._write(EventKind.SUCCESS, event, fields)

    def flush(self) -> None:
        """Write what a slow reader has left pending, as far as it goes."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; the lines are dropped.
            written = len(self._pending)
        del self._pending[:written]

    def capture_library_logs(self) -> None:
        """Let the package's other modules write their events here as well."""

        def write(_logger: object, method: str, event: dict[str, Any]) -> str:
            name = event.pop("event")
            self._write(EventKind.PROCESS, name, {"level": method, **event})
            raise structlog.DropEvent

        structlog.configure(processors=[write], cache_logger_on_first_use=True)

    def _write(self, kind: EventKind, event: str, fields: dict[str, Any]) -> None:
        now_s = self._clock()
        self._summarise(now_s)
        if not self._admit(kind, now_s):
            self._left_out[kind] += 1
            self._count("log_lines_left_out_total", kind=kind.label)
            return
        self._append(event, fields)

    def _admit(self, kind: EventKind, now_s: float) -> bool:
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._written.clear()
        if self._written[kind] >= kind.lines_per_s:
            return False
        if len(self._pending) > MAX_PENDING_BYTES:
            return False
        self._written[kind] += 1
        return True

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        entry = {"at": f"{time.time():.3f}", "host": self._host, "event": event}
        entry.update(fields)
        self._pending += (self._render(None, "", entry) + "\n").encode()
        self.flush()

    def _summarise(self, now_s: float) -> None:
        """Write how many lines were left out, at most once in a period."""
        if not self._left_out or now_s - self._summary_s < SUMMARY_PERIOD_S:
            return
        self._summary_s = now_s
        counts = {kind.label: count for kind, count in self._left_out.items()}
        self._left_out.clear()
        if len(self._pending) <= MAX_PENDING_BYTES:
            self._append("lines_left_out", counts)
