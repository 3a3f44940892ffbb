"""OpenTelemetry spans, propagated as W3C `traceparent` headers.

Tracing is off until `configure` is called. While it is off, the functions do
almost nothing and pass a caller's `traceparent` on unchanged.
"""

import contextlib
import json
import pathlib
import re
import time
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext

from sardineroute_core import settings

Attributes = Mapping[str, str | int]

_HEADER = "traceparent"
_EXPORT_DELAY_MS = 500
_NO_ATTRIBUTES: Attributes = {}
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

_propagator = tracecontext.TraceContextTextMapPropagator()


class _Tracing:
    provider: sdk.TracerProvider | None = None
    tracer: trace.Tracer | None = None


class Span:
    """An open span; does nothing if tracing is off.

    Attributes:
        traceparent: The `traceparent` that child spans get as their parent.
    """

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: trace.Span | None, traceparent: str) -> None:
        self._span = span
        self.traceparent = traceparent

    def end(self, error: str = "") -> None:
        """Ends the span unless it has ended; `error` marks it as failed."""
        open_span, self._span = self._span, None
        if open_span is None:
            return
        if error:
            open_span.set_status(trace.Status(trace.StatusCode.ERROR, error))
        open_span.end()


NO_SPAN = Span(None, "")


def configure(options: settings.Traces, process: str) -> None:
    """Turns tracing on as the settings say; `process` names this process."""
    if options.exporter == "none":
        return
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(options.sample))
    provider = sdk.TracerProvider(
        sampler=sampler,
        resource=resources.Resource({"service.name": process}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(
        export.BatchSpanProcessor(
            _exporter(options), schedule_delay_millis=_EXPORT_DELAY_MS
        )
    )
    _Tracing.provider = provider
    _Tracing.tracer = provider.get_tracer("sardineroute")


def close() -> None:
    """Exports the spans that are left and turns tracing off."""
    if _Tracing.provider is not None:
        _Tracing.provider.shutdown()
    _Tracing.provider = None
    _Tracing.tracer = None


def valid_parent(text: str) -> str:
    """Returns a caller's `traceparent`, or an empty string if it is malformed.

    W3C Trace Context specifies that a malformed one is ignored.
    """
    return text if _TRACEPARENT.fullmatch(text) else ""


def enabled() -> bool:
    """Returns whether tracing is on."""
    return _Tracing.tracer is not None


def now_ns() -> int:
    """Returns the Unix time in nanoseconds, for `start_ns`."""
    return time.time_ns()


def start_span(
    name: str,
    parent: str,
    attributes: Attributes = _NO_ATTRIBUTES,
    start_ns: int | None = None,
) -> Span:
    """Starts a span.

    Args:
        name: Name of the operation.
        parent: The `traceparent` of the parent span; may be empty.
        attributes: Attributes of the span.
        start_ns: Start as Unix time in nanoseconds; now if None.
    """
    if _Tracing.tracer is None:
        return Span(None, parent)
    context = _propagator.extract({_HEADER: parent})
    span = _Tracing.tracer.start_span(
        name, context, attributes=attributes, start_time=start_ns
    )
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return Span(span, carrier.get(_HEADER, parent))


@contextlib.contextmanager
def span(
    name: str, parent: str, attributes: Attributes = _NO_ATTRIBUTES
) -> Iterator[Span]:
    """Traces a block; an exception marks the span as failed."""
    started = start_span(name, parent, attributes)
    try:
        yield started
    except Exception as error:
        started.end(str(error) or type(error).__name__)
        raise
    else:
        started.end()


def _exporter(options: settings.Traces) -> export.SpanExporter:
    if options.exporter == "console" or options.file is None:
        return export.ConsoleSpanExporter(formatter=_to_json_line)
    return _FileExporter(options.file)


class _FileExporter(export.SpanExporter):
    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        self._file.write("".join(_to_json_line(item) for item in spans))
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


def _to_json_line(readable: sdk.ReadableSpan) -> str:
    context = readable.get_span_context()
    if context is None:
        return ""
    failed = readable.status.status_code is trace.StatusCode.ERROR
    document = {
        "trace_id": trace.format_trace_id(context.trace_id),
        "span_id": trace.format_span_id(context.span_id),
        "parent_id": (
            trace.format_span_id(readable.parent.span_id)
            if readable.parent
            else ""
        ),
        "name": readable.name,
        "process": readable.resource.attributes.get("service.name", ""),
        "start_unix_ns": readable.start_time,
        "end_unix_ns": readable.end_time,
        "attributes": dict(readable.attributes or {}),
        "error": readable.status.description or "failed" if failed else "",
    }
    return json.dumps(document) + "\n"
