"""Logging: one line of key=value pairs for each event."""

from __future__ import annotations

__all__ = ["configure_logging", "get_logger"]

import logging
import sys

import structlog

SECRET_FIELDS = frozenset({"key_bytes", "proof", "secret", "token"})


def configure_logging(level: str = "info", **context: str) -> None:
    """Write events to standard error as key=value lines.

    :param level: name of the lowest level that is written.
    :param context: fields of every line, such as the host.
    """
    threshold = getattr(logging, level.upper())
    logging.basicConfig(
        level=max(threshold, logging.WARNING), stream=sys.stderr, format="%(message)s"
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact_secrets,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)


def get_logger(**context: str) -> structlog.stdlib.BoundLogger:
    """Return a logger that adds ``context`` to each line."""
    return structlog.get_logger(**context)


def _redact_secrets(
    _logger: object, _method: str, event: dict[str, object]
) -> dict[str, object]:
    for field in SECRET_FIELDS & event.keys():
        event[field] = "[redacted]"
    return event
