"""Measures the time that a span adds to the code it traces.

Compares spans without an exporter, spans that aren't sampled and spans that
are written to a file. Run with the sources on PYTHONPATH:
`python lab/traces.py`.
"""

import pathlib
import tempfile
import time

from sardineroute_core import settings
from sardineroute_core import traces

SPAN_COUNT = 20_000
TRACEPARENT_FORMAT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0{}"


def _us_per_span(traceparent: str) -> float:
    start_ns = time.perf_counter_ns()
    for number in range(SPAN_COUNT):
        traces.start_span("task", traceparent, {"task": number}).end()
    return (time.perf_counter_ns() - start_ns) / SPAN_COUNT / 1_000


def main() -> None:
    """Prints the time that a span takes in each case, in microseconds."""
    print(f"none: {_us_per_span(TRACEPARENT_FORMAT.format(1)):.2f} us")
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "spans.jsonl"
        options = settings.Traces(exporter="file", file=file, sample=1.0)
        traces.configure(options, "lab")
        print(
            f"not sampled: {_us_per_span(TRACEPARENT_FORMAT.format(0)):.2f} us"
        )
        print(
            "written to a file: "
            f"{_us_per_span(TRACEPARENT_FORMAT.format(1)):.2f} us"
        )
        traces.close()


if __name__ == "__main__":
    main()
