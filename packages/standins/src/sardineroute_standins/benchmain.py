"""Runs the requested parts of the benchmark and prints the results."""

import dataclasses
import functools
import pathlib
import shutil
import tempfile
from collections.abc import Callable
from collections.abc import Sequence

from sardineroute_standins import bench
from sardineroute_standins import experiment
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import report
from sardineroute_standins import table

IDLE_DURATION_S = 5.0


@dataclasses.dataclass(frozen=True)
class Request:
    """The parts of the benchmark to run.

    Attributes:
        options: Durations, loads, policies and seed.
        floods: Floods to measure.
        faults: Faults to measure.
        with_loads: Whether to measure plain loads.
        with_hidden: Whether to measure plain loads with long tasks spread over
            all kinds, too.
        with_idle: Whether to count the messages of an idle fleet.
        out: Folder for the results.
        output_folder: Folder to which the processes' output is copied; None
            to discard it.
    """

    options: bench.Options
    floods: tuple[str, ...]
    faults: tuple[str, ...]
    with_loads: bool
    with_hidden: bool
    with_idle: bool
    out: pathlib.Path
    output_folder: pathlib.Path | None = None


class _BenchRun:
    def __init__(self, request: Request) -> None:
        self._request = request
        self._rows: list[table.Row] = []
        self._summaries_by_name: dict[str, report.Summary] = {}

    def run(self) -> list[table.Row]:
        """Runs all requested parts and returns the rows of their results.

        The plain loads and the idle measurement share one fleet; each other
        part runs on a new one.
        """
        request = self._request
        if request.with_loads or request.with_idle:
            self._run_on_fleet(self._measure_loads)
        if request.with_hidden:
            self._run_on_fleet(self._measure_hidden)
        for flood in request.floods:
            self._run_on_fleet(functools.partial(self._measure_flood, flood))
        for fault in request.faults:
            self._run_on_fleet(functools.partial(self._measure_fault, fault))
        table.write(request.out, self._rows, self._summaries_by_name)
        return self._rows

    def _run_on_fleet(
        self, measure: Callable[[fleet_module.Fleet], None]
    ) -> None:
        folder = pathlib.Path(tempfile.mkdtemp())
        try:
            with fleet_module.Fleet(bench.FLEET, folder) as fleet:
                experiment.warm_up(fleet, self._request.options.seed)
                measure(fleet)
        finally:
            if self._request.output_folder:
                shutil.copytree(
                    folder, self._request.output_folder, dirs_exist_ok=True
                )
            shutil.rmtree(folder, ignore_errors=True)

    def _measure_loads(self, fleet: fleet_module.Fleet) -> None:
        request = self._request
        if request.with_loads:
            self._run_loads(fleet, request.options)
        if request.with_idle:
            self._rows.append(
                table.idle_row(
                    experiment.measure_idle_traffic(fleet, IDLE_DURATION_S)
                )
            )

    def _measure_hidden(self, fleet: fleet_module.Fleet) -> None:
        options = dataclasses.replace(
            self._request.options, policies=(), hidden=True
        )
        self._run_loads(fleet, options)

    def _run_loads(
        self, fleet: fleet_module.Fleet, options: bench.Options
    ) -> None:
        runs_by_name = bench.measure_loads(fleet, options)
        self._rows += table.load_rows(runs_by_name, fleet.options)
        for name, runs in runs_by_name.items():
            self._add_summary(name, runs)

    def _measure_flood(self, flood: str, fleet: fleet_module.Fleet) -> None:
        comparison = bench.measure_flood(fleet, flood, self._request.options)
        self._rows += table.flood_rows(comparison, fleet.options)
        self._add_summary(f"{comparison.name}, without", comparison.undisturbed)
        self._add_summary(comparison.name, comparison.disturbed)

    def _measure_fault(self, fault: str, fleet: fleet_module.Fleet) -> None:
        comparison = bench.measure_fault(fleet, fault, self._request.options)
        self._rows += table.fault_rows(comparison, fleet.options)
        self._add_summary(f"{comparison.name}, without", comparison.undisturbed)
        self._add_summary(comparison.name, comparison.disturbed)

    def _add_summary(
        self, name: str, runs: Sequence[experiment.Measurement]
    ) -> None:
        summary = experiment.summarize_jobs(runs, bench.FLEET)
        self._summaries_by_name[name] = summary


def run(request: Request) -> bool:
    """Runs the benchmark, prints its table and returns whether it passed.

    It passes when no bound was missed.
    """
    rows = _BenchRun(request).run()
    print(table.render(rows))
    print(f"results: {request.out}/bench.json, {request.out}/bench.png")
    return all(not row.verdict.startswith("MISSED") for row in rows)
