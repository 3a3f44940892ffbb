"""Spans of one trace as a tree."""

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
        trace_id: The trace, 32 hexadecimal digits.
        span_id: The span, 16 hexadecimal digits.
        parent_id: The span that it is part of; empty at the root.
        name: What was done.
        process: Where.
        start_unix_ns: When it began.
        end_unix_ns: When it ended.
        attributes: More about it.
        error: What went wrong; empty where nothing did.
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
    """The spans of one trace by their parents, in order of time."""

    id: str
    roots: tuple[Span, ...]
    children_by_id: dict[str, list[Span]]


def parse(text: str) -> Iterator[Span]:
    """Yields the spans of a file, one JSON object a line.

    Raises:
        ValueError: A line is no span.
    """
    for number, line in enumerate(text.splitlines(), 1):
        try:
            yield Span(**json.loads(line))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} is no span: {error}") from error


def find(key: str, spans: list[Span]) -> list[Trace]:
    """Returns the traces of a job's key or id, or the one of a trace id."""
    ids = {
        span.trace_id for span in spans if key in (span.trace_id, *_names(span))
    }
    found = [_build(trace_id, spans) for trace_id in ids]
    return sorted(found, key=lambda trace: trace.roots[0].start_unix_ns)


def lines(trace: Trace) -> Iterator[str]:
    """Yields a line for each span: start, duration, name and place."""
    began_ns = trace.roots[0].start_unix_ns
    yield f"trace {trace.id}"
    yield "   start ms   took ms  span"
    for root in trace.roots:
        yield from _lines(trace, root, began_ns, 0)


def to_document(trace: Trace) -> Any:
    """Returns the JSON form of a trace."""
    return {
        "trace_id": trace.id,
        "spans": [_to_tree(trace, root) for root in trace.roots],
    }


def _names(span: Span) -> tuple[Any, Any]:
    return span.attributes.get("job.key"), span.attributes.get("job.id")


def _build(trace_id: str, spans: list[Span]) -> Trace:
    ours = [span for span in spans if span.trace_id == trace_id]
    ours.sort(key=lambda span: (span.start_unix_ns, span.end_unix_ns))
    known = {span.span_id for span in ours}
    children_by_id: dict[str, list[Span]] = {}
    roots = []
    for span in ours:
        # A parent outside these files, such as the caller's, makes a root.
        if span.parent_id in known:
            children_by_id.setdefault(span.parent_id, []).append(span)
        else:
            roots.append(span)
    return Trace(trace_id, tuple(roots), children_by_id)


def _lines(
    trace: Trace, span: Span, began_ns: int, depth: int
) -> Iterator[str]:
    start_ms = (span.start_unix_ns - began_ns) / _NS_PER_MS
    took_ms = (span.end_unix_ns - span.start_unix_ns) / _NS_PER_MS
    told = " ".join(
        f"{name}={value}" for name, value in sorted(span.attributes.items())
    )
    failure = f" ! {span.error}" if span.error else ""
    yield (
        f"{start_ms:11.1f} {took_ms:9.1f}  {_INDENT * depth}{span.name} "
        f"[{span.process}] {told}{failure}".rstrip()
    )
    for child in trace.children_by_id.get(span.span_id, []):
        yield from _lines(trace, child, began_ns, depth + 1)


def _to_tree(trace: Trace, span: Span) -> Any:
    children = trace.children_by_id.get(span.span_id, [])
    return {
        **dataclasses.asdict(span),
        "children": [_to_tree(trace, child) for child in children],
    }
