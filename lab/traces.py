"""Measures what a span costs: nothing traced, not sampled, written to a file.

Run with the sources on PYTHONPATH: python lab/traces.py
"""

import pathlib
import tempfile
import time

from sardineroute_core import settings
from sardineroute_core import traces

SPANS = 20_000
PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0{}"


def _us_a_span(parent: str) -> float:
    began_ns = time.perf_counter_ns()
    for number in range(SPANS):
        traces.begin("task", parent, {"task": number}).end()
    return (time.perf_counter_ns() - began_ns) / SPANS / 1_000


def main() -> None:
    """Prints microseconds for each span."""
    print(f"none: {_us_a_span(PARENT.format(1)):.2f} us")
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "spans.jsonl"
        options = settings.Traces(exporter="file", file=file, sample=1.0)
        traces.configure(options, "lab")
        print(f"not sampled: {_us_a_span(PARENT.format(0)):.2f} us")
        print(f"written to a file: {_us_a_span(PARENT.format(1)):.2f} us")
        traces.close()


if __name__ == "__main__":
    main()
