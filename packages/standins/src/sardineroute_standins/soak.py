"""Soak test: runs a fleet under random faults and checks its guarantees."""

import collections
import dataclasses
import json
import pathlib
import shutil
import threading
import time
from collections.abc import Sequence

from sardineroute_core import settings
from sardineroute_standins import backend
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import soakcaller
from sardineroute_standins import soakfaults
from sardineroute_standins import soakplan
from sardineroute_standins import soakverdict

MAX_SHOWN_VIOLATIONS = 20
# Longer than any task runs, so that no task for which a caller still waits
# starts after the counts are read.
SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Parameters of a soak test.

    Attributes:
        seed: Seed of the jobs and the faults.
        minutes: Duration of the run.
        folder: Folder for logs and records of calls; its content is deleted
            first.
        entries: Number of entries.
        backend_servers: Number of backend servers.
    """

    seed: int
    minutes: float
    folder: pathlib.Path
    entries: int = 3
    backend_servers: int = 5


class _RunLog:
    """Prints lines with their monotonic time, and writes them to a file."""

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file.open("w")

    def write(self, text: str) -> None:
        """Prints and writes one line."""
        line = f"{time.monotonic_ns() // 1_000} us {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def run(options: Options) -> bool:
    """Runs a soak test, prints its results and returns whether it passed."""
    shutil.rmtree(options.folder, ignore_errors=True)
    options.folder.mkdir(parents=True)
    run_log = _RunLog(options.folder / "soak.log")
    with fleet_module.Fleet(_fleet_options(options), options.folder) as fleet:
        faults, histories = _run_faults_and_callers(fleet, options, run_log)
        time.sleep(SETTLE_S)
        starts = [
            start
            for server in fleet.backend_servers
            for start in backend.read_starts(fleet.starts_file(server))
        ]
        verdict = soakverdict.evaluate(histories, starts, fleet.executions())
    _write_calls(options.folder / "calls.jsonl", histories)
    _print_verdict(run_log, options, faults, verdict)
    return verdict.passed


def _fleet_options(options: Options) -> layout.Options:
    return layout.Options(
        entries=options.entries,
        backend_servers=options.backend_servers,
        proxied=True,
        silence_ms=500,
        ownership=settings.Ownership(lease_ms=soakplan.LEASE_MS),
    )


def _run_faults_and_callers(
    fleet: fleet_module.Fleet, options: Options, run_log: _RunLog
) -> tuple[Sequence[soakplan.Fault], list[soakcaller.History]]:
    seconds = options.minutes * 60
    faults = soakplan.plan_faults(
        options.seed, seconds, options.entries, options.backend_servers
    )
    scripts = soakplan.plan_jobs(options.seed, seconds, options.entries)
    start_s = time.monotonic() + 0.5
    injector = soakfaults.Injector(fleet, run_log.write)
    injector_thread = threading.Thread(
        target=injector.run, args=(faults, start_s, start_s + seconds)
    )
    injector_thread.start()
    histories = soakcaller.Callers(fleet, options.seed).run(scripts, start_s)
    injector_thread.join()
    return faults, histories


def _write_calls(
    file: pathlib.Path, histories: Sequence[soakcaller.History]
) -> None:
    with file.open("w") as out:
        for history in histories:
            line = {
                "key": history.script.job.key,
                "tasks": len(history.script.job.run_ms),
                "calls": [
                    {**dataclasses.asdict(call), "answers": len(call.answers)}
                    for call in history.calls
                ],
            }
            out.write(json.dumps(line) + "\n")


def _print_verdict(
    run_log: _RunLog,
    options: Options,
    faults: Sequence[soakplan.Fault],
    verdict: soakverdict.Verdict,
) -> None:
    counts_by_name = collections.Counter(fault.name for fault in faults)
    for violation in verdict.violations[:MAX_SHOWN_VIOLATIONS]:
        run_log.write(violation)
    if len(verdict.violations) > MAX_SHOWN_VIOLATIONS:
        run_log.write(f"{len(verdict.violations)} violations in total")
    for line in (
        f"seed {options.seed}, {options.minutes:g} minutes",
        f"jobs {verdict.jobs}, calls {verdict.calls}",
        f"faults injected {len(faults)}: {dict(counts_by_name)}",
        f"double starts {len(verdict.double_starts)}",
        f"partial answers {len(verdict.partial_answers)}",
        f"false refusals {len(verdict.false_refusals)}",
        f"crossed answers {len(verdict.crossed_answers)}",
        f"jobs complete {verdict.complete} of {verdict.expected} "
        f"({verdict.complete_share:.1%}); "
        f"not complete: {verdict.incomplete_by_code}",
        f"soak {'passed' if verdict.passed else 'FAILED'}; "
        f"logs and calls in {options.folder}",
    ):
        run_log.write(line)
