"""Runs the parts of the measurement that its arguments name."""

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

IDLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Request:
    """Which parts to run.

    Attributes:
        options: Lengths, loads, policies and seeds.
        floods: Floods to measure.
        faults: Faults to measure.
        with_loads: Whether to run the loads.
        with_hidden: Whether to run them also with hidden long tasks.
        with_idle: Whether to count messages of the idle fleet.
        out: Folder of the results.
        keep: Folder that keeps the processes' output; None for none.
    """

    options: bench.Options
    floods: tuple[str, ...]
    faults: tuple[str, ...]
    with_loads: bool
    with_hidden: bool
    with_idle: bool
    out: pathlib.Path
    keep: pathlib.Path | None = None


class _Session:
    def __init__(self, request: Request) -> None:
        self._request = request
        self._rows: list[table.Row] = []
        self._summaries_by_name: dict[str, report.Summary] = {}

    def run(self) -> list[table.Row]:
        """Runs all parts, each on a fresh fleet."""
        request = self._request
        if request.with_loads or request.with_idle:
            self._on_fleet(self._loads)
        if request.with_hidden:
            self._on_fleet(self._hidden)
        for flood in request.floods:
            self._on_fleet(functools.partial(self._flood, flood))
        for fault in request.faults:
            self._on_fleet(functools.partial(self._fault, fault))
        table.write(request.out, self._rows, self._summaries_by_name)
        return self._rows

    def _on_fleet(self, part: Callable[[fleet_module.Fleet], None]) -> None:
        folder = pathlib.Path(tempfile.mkdtemp())
        try:
            with fleet_module.Fleet(bench.FLEET, folder) as fleet:
                experiment.warm_up(fleet, self._request.options.seed)
                part(fleet)
        finally:
            if self._request.keep:
                shutil.copytree(folder, self._request.keep, dirs_exist_ok=True)
            shutil.rmtree(folder, ignore_errors=True)

    def _loads(self, fleet: fleet_module.Fleet) -> None:
        request = self._request
        if request.with_loads:
            self._run_loads(fleet, request.options)
        if request.with_idle:
            self._rows.append(table.idle_row(experiment.idle(fleet, IDLE_S)))

    def _hidden(self, fleet: fleet_module.Fleet) -> None:
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
            self._keep(name, runs)

    def _flood(self, flood: str, fleet: fleet_module.Fleet) -> None:
        compared = bench.measure_flood(fleet, flood, self._request.options)
        self._rows += table.flood_rows(compared, fleet.options)
        self._keep(f"{compared.name}, without", compared.without)
        self._keep(compared.name, compared.during)

    def _fault(self, fault: str, fleet: fleet_module.Fleet) -> None:
        compared = bench.measure_fault(fleet, fault, self._request.options)
        self._rows += table.fault_rows(compared, fleet.options)
        self._keep(f"{compared.name}, without", compared.without)
        self._keep(compared.name, compared.during)

    def _keep(self, name: str, runs: Sequence[experiment.Measured]) -> None:
        summary = experiment.summary(runs, bench.FLEET)
        self._summaries_by_name[name] = summary


def run(request: Request) -> bool:
    """Prints the table; returns whether no bound was missed."""
    rows = _Session(request).run()
    print(table.render(rows))
    print(f"results: {request.out}/bench.json, {request.out}/bench.png")
    return all(not row.verdict.startswith("MISSED") for row in rows)
