"""Compares benchmark results with the bounds of the design."""

import dataclasses
import json
import pathlib
from collections.abc import Mapping
from collections.abc import Sequence

import matplotlib as mpl

from sardineroute_standins import bench
from sardineroute_standins import experiment
from sardineroute_standins import layout
from sardineroute_standins import report

RATIO_BOUNDS_BY_LOAD = {0.7: 1.10, 0.9: 1.25}
WASTED_BOUND = 0.03
FLOOD_THROUGHPUT_BOUND = 0.95
FLOOD_P99_BOUND = 1.5
REFUSAL_BOUND_MS = 50.0
FAULT_P99_BOUND = 2.0


@dataclasses.dataclass(frozen=True)
class Row:
    """A measured figure and its bound.

    Attributes:
        name: Name of the figure.
        run: Name of the run.
        bound: The bound; None for a figure without one.
        reached: The measured value; None where there was nothing to measure.
        is_least: Whether the bound is a minimum; otherwise it is a maximum.
        is_baseline: Whether the figure serves for comparison only.
    """

    name: str
    run: str
    bound: float | None
    reached: float | None
    is_least: bool = False
    is_baseline: bool = False

    @property
    def verdict(self) -> str:
        """Returns "met", "baseline", "" or a text that starts with "MISSED"."""
        if self.bound is None or self.is_baseline:
            return "baseline" if self.is_baseline else ""
        if self.reached is None:
            return "MISSED: nothing measured"
        if self.is_least:
            return "met" if self.reached >= self.bound else "MISSED"
        return "met" if self.reached <= self.bound else "MISSED"


def load_rows(
    runs_by_name: Mapping[str, Sequence[experiment.Measurement]],
    options: layout.Options,
) -> list[Row]:
    """Returns the rows of the runs at shares of the fleet's capacity.

    Policies other than that of the first run are baselines.
    """
    rows: list[Row] = []
    first = next(iter(runs_by_name.values()), [])
    for name, runs in runs_by_name.items():
        share = float(name.split()[1].rstrip(","))
        bound = RATIO_BOUNDS_BY_LOAD.get(round(share, 2))
        baseline = runs[0].policy != first[0].policy
        summary = experiment.summarize_jobs(runs, options)
        traffic = experiment.summarize_traffic(runs)
        ratios = summary.over_ideal
        rows += [
            Row("mean / oracle's", name, bound, ratios.mean, False, baseline),
            Row("p50 / oracle's", name, None, ratios.p50, False, baseline),
            Row("p99 / oracle's", name, bound, ratios.p99, False, baseline),
            Row(
                "mean / run time on the fastest",
                name,
                None,
                summary.over_fastest,
                False,
                baseline,
            ),
            Row(
                "wasted messages / all",
                name,
                WASTED_BOUND,
                traffic.wasted_share,
                False,
                baseline,
            ),
            *_correctness_rows(name, runs, summary),
        ]
    return rows


def flood_rows(
    comparison: bench.Comparison, options: layout.Options
) -> list[Row]:
    """Returns the rows of a comparison without and with a flood."""
    name = comparison.name
    undisturbed_summary = experiment.summarize_jobs(
        comparison.undisturbed, options
    )
    summary = experiment.summarize_jobs(comparison.disturbed, options)
    flood = experiment.summarize_flood(comparison.disturbed, options)
    throughput_ratio = _ratio(
        sum(map(experiment.count_tasks_in_time, comparison.disturbed)),
        sum(map(experiment.count_tasks_in_time, comparison.undisturbed)),
    )
    p99 = report.ratios(summary.run, undisturbed_summary.run).p99
    refused = flood.refusal.count > 0
    refusal_p99_ms = flood.refusal.p99_ms if refused else None
    refusal_max_ms = flood.refusal.max_ms if refused else None
    return [
        Row(
            "other work: throughput kept",
            name,
            FLOOD_THROUGHPUT_BOUND,
            throughput_ratio,
            is_least=True,
        ),
        Row("other work: p99 / without", name, FLOOD_P99_BOUND, p99),
        Row("refusal p99, ms", name, REFUSAL_BOUND_MS, refusal_p99_ms),
        Row("refusal max, ms", name, REFUSAL_BOUND_MS, refusal_max_ms),
        Row("refusals", name, None, flood.refusal.count),
        *_correctness_rows(name, comparison.disturbed, summary),
    ]


def fault_rows(
    comparison: bench.Comparison, options: layout.Options
) -> list[Row]:
    """Returns the rows of a comparison without and with a fault."""
    name = comparison.name
    undisturbed_summary = experiment.summarize_jobs(
        comparison.undisturbed, options
    )
    summary = experiment.summarize_jobs(comparison.disturbed, options)
    p99 = report.ratios(summary.run, undisturbed_summary.run).p99
    return [
        Row("other jobs: p99 / without", name, FAULT_P99_BOUND, p99),
        Row(
            "jobs not complete",
            name,
            None,
            summary.submitted - summary.complete,
        ),
        *_correctness_rows(name, comparison.disturbed, summary),
    ]


def idle_row(sent_by_type: Mapping[str, int]) -> Row:
    """Returns the row of the messages on an idle fleet."""
    counts = ", ".join(
        f"{message_type} {sent}" for message_type, sent in sent_by_type.items()
    )
    run = f"idle ({counts})" if counts else "idle"
    return Row("messages on an idle fleet", run, 0, sum(sent_by_type.values()))


def render(rows: Sequence[Row]) -> str:
    """Returns the rows as a text table."""
    lines = [f"{'measure':32} {'run':34} {'bound':>8} {'reached':>9}  verdict"]
    for row in rows:
        sign = ">=" if row.is_least else "<="
        bound = "" if row.bound is None else f"{sign}{row.bound:g}"
        reached = "" if row.reached is None else f"{row.reached:.3f}"
        lines.append(
            f"{row.name:32} {row.run:34} {bound:>8} {reached:>9}  "
            f"{row.verdict}".rstrip()
        )
    return "\n".join(lines)


def write(
    folder: pathlib.Path,
    rows: Sequence[Row],
    summaries_by_name: Mapping[str, report.Summary],
) -> None:
    """Writes rows and summaries to bench.json, and a plot to bench.png.

    The plot shows the ratios of the response times to the oracle's.
    """
    folder.mkdir(parents=True, exist_ok=True)
    document = {
        "rows": [
            {**dataclasses.asdict(row), "verdict": row.verdict} for row in rows
        ],
        "summaries": {
            name: dataclasses.asdict(summary)
            for name, summary in summaries_by_name.items()
        },
    }
    text = json.dumps(document, indent=1)
    (folder / "bench.json").write_text(text)
    _plot(folder / "bench.png", rows)


def _correctness_rows(
    name: str, runs: Sequence[experiment.Measurement], summary: report.Summary
) -> list[Row]:
    double_starts = sum(measurement.double_starts for measurement in runs)
    return [
        Row("tasks started twice", name, 0, double_starts),
        Row("crossed answers", name, 0, summary.crossed),
    ]


def _ratio(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else 0.0


def _plot(file: pathlib.Path, rows: Sequence[Row]) -> None:
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415 - after the backend is set

    names = ("mean / oracle's", "p99 / oracle's")
    runs = list(dict.fromkeys(row.run for row in rows if row.name in names))
    if not runs:
        return
    figure, axes = pyplot.subplots(figsize=(9, 1 + 0.5 * len(runs)))
    for index, name in enumerate(names):
        positions = [position + 0.4 * index for position in range(len(runs))]
        reached = [_reached(rows, name, run) for run in runs]
        axes.barh(positions, reached, height=0.35, label=name)
    for position, run in enumerate(runs):
        bound = _bound(rows, run)
        if bound is not None:
            axes.plot([bound, bound], [position - 0.2, position + 0.6], "k--")
    axes.set_yticks([position + 0.2 for position in range(len(runs))], runs)
    axes.set_xlabel("response time over the oracle's; dashes: the bound")
    axes.axvline(1.0, color="grey", linewidth=0.5)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)


def _reached(rows: Sequence[Row], name: str, run: str) -> float:
    found = [row for row in rows if row.name == name and row.run == run]
    return (found[0].reached or 0.0) if found else 0.0


def _bound(rows: Sequence[Row], run: str) -> float | None:
    found = [
        row for row in rows if row.run == run and row.name.startswith("mean /")
    ]
    return found[0].bound if found else None
