"""Decision log: one logfmt line per decision, rate-limited and non-blocking."""

from __future__ import annotations

__all__ = ["EventKind", "EventLog"]

import enum
import logging
import os
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import structlog

from ..json_documents import describe

MAX_PENDING_BYTES = 256 * 1024
"""Output that may wait in memory for a stalled reader; beyond it lines are dropped."""

SUMMARY_INTERVAL_S = 5.0


MAX_FIELD_CHARS = 2_000


class EventKind(enum.Enum):
    """Kinds of events, with their limits of lines per second."""

    PROCESS = ("process", 50)
    STATE_CHANGE = ("belief", 60)
    FAILURE = ("failure", 60)
    SUCCESS = ("success", 10)

    def __init__(self, label: str, max_lines_per_s: int) -> None:
        self.label = label
        self.max_lines_per_s = max_lines_per_s


class EventLog:
    """Writes events to a file descriptor, which is set to non-blocking mode.

    :param host: host name for every line.
    :param descriptor: standard output by default.
    :param count: called with a metric name and labels for each dropped line.
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
        self._current_second = 0
        self._lines_this_second: dict[EventKind, int] = defaultdict(int)
        self._dropped: dict[EventKind, int] = defaultdict(int)
        self._last_summary_s = 0.0
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def log_process_event(self, event: str, **fields: Any) -> None:
        """Record a start, stop or reload, or a dependency that failed or recovered."""
        self._write(EventKind.PROCESS, event, fields)

    def log_state_change(self, event: str, **fields: Any) -> None:
        """Record a change of the process's view of the cluster."""
        self._write(EventKind.STATE_CHANGE, event, fields)

    def log_failure(self, event: str, **fields: Any) -> None:
        """Record a decision on a request other than a plain success."""
        self._write(EventKind.FAILURE, event, fields)

    def log_success(self, event: str, **fields: Any) -> None:
        """Record a request that was served."""
        self._write(EventKind.SUCCESS, event, fields)

    def flush(self) -> None:
        """Write as much of the pending output as the reader takes."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; the pending lines are dropped.
            written = len(self._pending)
        del self._pending[:written]

    def capture_library_logs(self) -> None:
        """Write the events of the other modules and of libraries to this log."""

        def write(_logger: object, method: str, event: dict[str, Any]) -> str:
            name = event.pop("event")
            self._write(EventKind.PROCESS, name, {"level": method, **event})
            raise structlog.DropEvent

        structlog.configure(processors=[write], cache_logger_on_first_use=True)
        root = logging.getLogger()
        for handler in [*root.handlers]:
            if isinstance(handler, _LibraryHandler):
                root.removeHandler(handler)
        root.addHandler(_LibraryHandler(self))

    def _write(self, kind: EventKind, event: str, fields: dict[str, Any]) -> None:
        now_s = self._clock()
        self._write_dropped_counts(now_s)
        if not self._is_admitted(kind, now_s):
            self._dropped[kind] += 1
            self._count("log_lines_left_out_total", kind=kind.label)
            return
        self._append(event, fields)

    def _is_admitted(self, kind: EventKind, now_s: float) -> bool:
        second = int(now_s)
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
        if self._lines_this_second[kind] >= kind.max_lines_per_s:
            return False
        if len(self._pending) > MAX_PENDING_BYTES:
            return False
        self._lines_this_second[kind] += 1
        return True

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        entry = {"at": f"{time.time():.3f}", "host": self._host, "event": event}
        entry.update(fields)
        bounded = {name: _bound(value) for name, value in entry.items()}
        line = self._render(None, "", bounded) + "\n"
        # Callers and servers choose some of the values, and not all can be encoded.
        self._pending += line.encode(errors="backslashreplace")
        self.flush()

    def _write_dropped_counts(self, now_s: float) -> None:
        """Write how many lines were dropped, at most once per
        :data:`SUMMARY_INTERVAL_S`.
        """
        if not self._dropped or now_s - self._last_summary_s < SUMMARY_INTERVAL_S:
            return
        self._last_summary_s = now_s
        counts = {kind.label: count for kind, count in self._dropped.items()}
        self._dropped.clear()
        if len(self._pending) <= MAX_PENDING_BYTES:
            self._append("lines_left_out", counts)


class _LibraryHandler(logging.Handler):
    """Writes the records of libraries to the event log, one line each."""

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record with the name of the exception that it reports."""
        error = record.exc_info[1] if record.exc_info else None
        self._events.log_process_event(
            "library_log",
            logger=record.name,
            level=record.levelname.lower(),
            message=record.getMessage(),
            error=describe(error) if error is not None else "",
        )


def _bound(value: Any) -> Any:
    """Return a value of a field, a long string cut to :data:`MAX_FIELD_CHARS`."""
    return value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
