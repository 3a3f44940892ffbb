"""Spans of OpenTelemetry, passed on as W3C `traceparent` texts.

Nothing is traced until `configure` is called; the functions then cost next to
nothing and pass a caller's `traceparent` on as it is.
"""

import contextlib
import json
import pathlib
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

_propagator = tracecontext.TraceContextTextMapPropagator()


class _State:
    provider: sdk.TracerProvider | None = None
    tracer: trace.Tracer | None = None


class Span:
    """Something that takes time, or nothing where nothing is traced.

    Attributes:
        traceparent: Makes spans elsewhere part of this one.
    """

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: trace.Span | None, traceparent: str) -> None:
        self._span = span
        self.traceparent = traceparent

    def end(self, error: str = "") -> None:
        """Ends the span, once; `error` says what went wrong, if it did."""
        ended, self._span = self._span, None
        if ended is None:
            return
        if error:
            ended.set_status(trace.Status(trace.StatusCode.ERROR, error))
        ended.end()


NONE = Span(None, "")


def configure(options: settings.Traces, process: str) -> None:
    """Begins to trace as the settings say; `process` names this process."""
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
    _State.provider = provider
    _State.tracer = provider.get_tracer("sardineroute")


def close() -> None:
    """Writes the last spans and traces nothing more."""
    if _State.provider is not None:
        _State.provider.shutdown()
    _State.provider = None
    _State.tracer = None


def enabled() -> bool:
    """Returns whether anything is traced."""
    return _State.tracer is not None


def now_ns() -> int:
    """Returns the time in which spans begin and end."""
    return time.time_ns()


def begin(
    name: str,
    parent: str,
    attributes: Attributes = _NO_ATTRIBUTES,
    start_ns: int | None = None,
) -> Span:
    """Returns a span that has begun.

    Args:
        name: What is done.
        parent: The `traceparent` of the span that this one is part of.
        attributes: More about it.
        start_ns: When it began, if not now.
    """
    if _State.tracer is None:
        return Span(None, parent)
    context = _propagator.extract({_HEADER: parent})
    span = _State.tracer.start_span(
        name, context, attributes=attributes, start_time=start_ns
    )
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return Span(span, carrier.get(_HEADER, parent))


@contextlib.contextmanager
def span(
    name: str, parent: str, attributes: Attributes = _NO_ATTRIBUTES
) -> Iterator[Span]:
    """Spans the block; an exception ends the span with its text."""
    begun = begin(name, parent, attributes)
    try:
        yield begun
    except Exception as error:
        begun.end(str(error) or type(error).__name__)
        raise
    else:
        begun.end()


def _exporter(options: settings.Traces) -> export.SpanExporter:
    if options.exporter == "console" or options.file is None:
        return export.ConsoleSpanExporter(formatter=_line)
    return _FileExporter(options.file)


class _FileExporter(export.SpanExporter):
    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        self._file.write("".join(_line(one) for one in spans))
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


def _line(one: sdk.ReadableSpan) -> str:
    context = one.get_span_context()
    if context is None:
        return ""
    failed = one.status.status_code is trace.StatusCode.ERROR
    document = {
        "trace_id": trace.format_trace_id(context.trace_id),
        "span_id": trace.format_span_id(context.span_id),
        "parent_id": (
            trace.format_span_id(one.parent.span_id) if one.parent else ""
        ),
        "name": one.name,
        "process": one.resource.attributes.get("service.name", ""),
        "start_unix_ns": one.start_time,
        "end_unix_ns": one.end_time,
        "attributes": dict(one.attributes or {}),
        "error": one.status.description or "failed" if failed else "",
    }
    return json.dumps(document) + "\n"
