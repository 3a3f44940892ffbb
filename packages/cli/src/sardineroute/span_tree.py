"""Reads spans from files and arranges the spans of a trace as a tree."""

import dataclasses
import json
from collections.abc import Iterator
from typing import Any

_NS_PER_MS = 1_000_000
_INDENT = "  "


@dataclasses.dataclass(frozen=True)
class Span:
    """One finished span, as the daemon's file exporter writes it.

    Attributes:
        trace_id: Id of the trace, 32 hexadecimal digits.
        span_id: Id of the span, 16 hexadecimal digits.
        parent_id: Id of the parent span; empty at the root.
        name: Name of the operation.
        process: Id of the process that recorded the span.
        start_unix_ns: Start time, in ns since the Unix epoch.
        end_unix_ns: End time, in ns since the Unix epoch.
        attributes: Attributes of the span, by name.
        error: Description of the error; empty if there was none.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    process: str
    start_unix_ns: int
    end_unix_ns: int
    attributes: dict[str, Any]
    error: str


@dataclasses.dataclass(frozen=True)
class Trace:
    """The spans of one trace as a tree.

    Attributes:
        id: Id of the trace.
        roots: Spans without a known parent, ordered by start time.
        children_by_id: Child spans by parent span id, ordered by start time.
    """

    id: str
    roots: tuple[Span, ...]
    children_by_id: dict[str, list[Span]]


def parse(text: str) -> Iterator[Span]:
    """Yields the spans in a text with one JSON object per line.

    Raises:
        ValueError: A line is not a span.
    """
    for number, line in enumerate(text.splitlines(), 1):
        try:
            yield Span(**json.loads(line))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} is not a span: {error}") from error


def find_traces(key: str, spans: list[Span]) -> list[Trace]:
    """Returns the traces with a job key, job id or trace id, oldest first."""
    ids = {
        span.trace_id
        for span in spans
        if key in (span.trace_id, *_job_identifiers(span))
    }
    traces = [_build_trace(trace_id, spans) for trace_id in ids]
    return sorted(traces, key=lambda trace: trace.roots[0].start_unix_ns)


def format_trace(trace: Trace) -> Iterator[str]:
    """Yields a heading, then a line per span.

    A line has the start time and the duration in ms, the name, the process
    and the attributes, and is indented by the depth in the tree.
    """
    trace_start_ns = trace.roots[0].start_unix_ns
    yield f"trace {trace.id}"
    yield "   start ms   took ms  span"
    for root in trace.roots:
        yield from _format_span(trace, root, trace_start_ns, 0)


def to_document(trace: Trace) -> Any:
    """Returns the JSON form of a trace."""
    return {
        "trace_id": trace.id,
        "spans": [_to_tree(trace, root) for root in trace.roots],
    }


def _job_identifiers(span: Span) -> tuple[Any, Any]:
    return span.attributes.get("job.key"), span.attributes.get("job.id")


def _build_trace(trace_id: str, spans: list[Span]) -> Trace:
    trace_spans = [span for span in spans if span.trace_id == trace_id]
    trace_spans.sort(key=lambda span: (span.start_unix_ns, span.end_unix_ns))
    span_ids = {span.span_id for span in trace_spans}
    children_by_id: dict[str, list[Span]] = {}
    roots = []
    for span in trace_spans:
        # A span whose parent is not in the files, such as a span of the
        # caller, becomes a root.
        if span.parent_id in span_ids:
            children_by_id.setdefault(span.parent_id, []).append(span)
        else:
            roots.append(span)
    return Trace(trace_id, tuple(roots), children_by_id)


def _format_span(
    trace: Trace, span: Span, trace_start_ns: int, depth: int
) -> Iterator[str]:
    start_ms = (span.start_unix_ns - trace_start_ns) / _NS_PER_MS
    duration_ms = (span.end_unix_ns - span.start_unix_ns) / _NS_PER_MS
    attributes = " ".join(
        f"{name}={value}" for name, value in sorted(span.attributes.items())
    )
    failure = f" ! {span.error}" if span.error else ""
    yield (
        f"{start_ms:11.1f} {duration_ms:9.1f}  {_INDENT * depth}{span.name} "
        f"[{span.process}] {attributes}{failure}".rstrip()
    )
    for child in trace.children_by_id.get(span.span_id, []):
        yield from _format_span(trace, child, trace_start_ns, depth + 1)


def _to_tree(trace: Trace, span: Span) -> Any:
    children = trace.children_by_id.get(span.span_id, [])
    return {
        **dataclasses.asdict(span),
        "children": [_to_tree(trace, child) for child in children],
    }
