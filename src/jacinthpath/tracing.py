"""Tracing: a span for each hop, propagated as W3C trace context.

Only sampled requests create span objects; an unsampled request forwards its
``traceparent`` unchanged and costs one string check. The OpenTelemetry SDK
and its OTLP exporter are imported only when an export address is set.
"""

from __future__ import annotations

__all__ = ["Span", "TraceContext", "Tracer", "parse_traceparent"]

import random
import time
from typing import NamedTuple

TRACEPARENT = "traceparent"
SAMPLED = 1


class TraceContext(NamedTuple):
    """W3C trace context: ids in hexadecimal and the sampled flag."""

    trace_id: str
    span_id: str
    sampled: bool

    def header(self) -> str:
        """Return the value of the ``traceparent`` header."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"


def parse_traceparent(value: str | None) -> TraceContext | None:
    """Parse a ``traceparent`` header; return ``None`` if it is missing or malformed."""
    if not value or len(value) < 55:
        return None
    parts = value.split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    try:
        int(parts[1], 16)
        int(parts[2], 16)
        flags = int(parts[3], 16)
    except ValueError:
        return None
    return TraceContext(parts[1], parts[2], bool(flags & SAMPLED))


class Span:
    """One hop of a sampled request.

    :param name: hop: ``entry``, ``owner`` or ``attempt``.
    :param context: trace id and id of this span.
    :param parent_id: id of the parent span, or an empty string.
    """

    __slots__ = ("attributes", "context", "end_ns", "name", "parent_id", "start_ns")

    def __init__(self, name: str, context: TraceContext, parent_id: str) -> None:
        self.name = name
        self.context = context
        self.parent_id = parent_id
        self.attributes: dict[str, str] = {}
        self.start_ns = time.time_ns()
        self.end_ns = 0


class Tracer:
    """Starts, ends and exports the spans of a process.

    :param service: service name of the process in the traces.
    :param otlp_url: OTLP/HTTP address to export spans to, or an empty string to keep
        only the latest spans in memory.
    :param sample_rate: share of requests without a ``traceparent`` that are
        sampled, 0 to 1.
    :param randomness: random source for ids and sampling.
    """

    MAX_RETAINED_SPANS = 256

    def __init__(
        self,
        service: str,
        otlp_url: str = "",
        sample_rate: float = 0.0,
        randomness: random.Random | None = None,
    ) -> None:
        self.service = service
        self.sample_rate = sample_rate
        self.finished_spans: list[Span] = []
        self._random = randomness or random.Random()
        self._exporter = _OtlpExporter(service, otlp_url) if otlp_url else None

    def extract(self, traceparent: str | None) -> TraceContext:
        """Return the context of an incoming request, or a new one if it has none."""
        context = parse_traceparent(traceparent)
        if context is not None:
            return context
        return TraceContext(
            f"{self._random.getrandbits(128) | 1:032x}",
            "0" * 16,
            self.sample_rate > 0 and self._random.random() < self.sample_rate,
        )

    def start(self, name: str, parent: TraceContext) -> Span | None:
        """Start a child span of ``parent``; return ``None`` when not sampled."""
        if not parent.sampled:
            return None
        span_id = f"{self._random.getrandbits(64) | 1:016x}"
        parent_id = "" if parent.span_id == "0" * 16 else parent.span_id
        return Span(name, TraceContext(parent.trace_id, span_id, True), parent_id)

    def end(self, span: Span | None, **attributes: str) -> None:
        """End a span and pass it to the exporter."""
        if span is None:
            return
        span.attributes.update(attributes)
        span.end_ns = time.time_ns()
        self.finished_spans.append(span)
        if len(self.finished_spans) > self.MAX_RETAINED_SPANS:
            del self.finished_spans[: self.MAX_RETAINED_SPANS // 2]
        if self._exporter is not None:
            self._exporter.export(span)

    def close(self) -> None:
        """Send the spans that the exporter has queued."""
        if self._exporter is not None:
            self._exporter.close()


class _OtlpExporter:
    """Passes finished spans to the OpenTelemetry batch processor.

    The processor sends from a background thread of the SDK, so that the event
    loop never waits for the trace collector.
    """

    def __init__(self, service: str, otlp_url: str) -> None:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace.export import BatchSpanProcessor

        self._resource = Resource.create({"service.name": service})
        self._processor = BatchSpanProcessor(OTLPSpanExporter(endpoint=otlp_url))

    def export(self, span: Span) -> None:
        """Convert a span to the type of the SDK and queue it."""
        from opentelemetry.sdk.trace import ReadableSpan
        from opentelemetry.trace import SpanContext, TraceFlags

        def context_of(span_id: str) -> SpanContext:
            return SpanContext(
                int(span.context.trace_id, 16),
                int(span_id, 16),
                is_remote=False,
                trace_flags=TraceFlags(SAMPLED),
            )

        self._processor.on_end(
            ReadableSpan(
                name=span.name,
                context=context_of(span.context.span_id),
                parent=context_of(span.parent_id) if span.parent_id else None,
                resource=self._resource,
                attributes=dict(span.attributes),
                start_time=span.start_ns,
                end_time=span.end_ns,
            )
        )

    def close(self) -> None:
        """Flush and stop the processor."""
        self._processor.shutdown()
