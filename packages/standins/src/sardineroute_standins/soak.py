"""Runs a fleet under random faults and counts what must never happen."""

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

SHOWN_FINDINGS = 20
# Longer than any task runs: later starts nothing that callers still await.
SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Length and size of a run; the folder keeps what is needed to trace."""

    seed: int
    minutes: float
    folder: pathlib.Path
    entries: int = 3
    backend_servers: int = 5


class _Journal:
    """Prints lines with the machine's monotonic time, and keeps them."""

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file.open("w")

    def say(self, text: str) -> None:
        """Prints one line."""
        line = f"{time.monotonic_ns() // 1_000} us {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def run(options: Options) -> bool:
    """Prints what was found; returns whether all invariants held."""
    shutil.rmtree(options.folder, ignore_errors=True)
    options.folder.mkdir(parents=True)
    journal = _Journal(options.folder / "soak.log")
    with fleet_module.Fleet(_layout(options), options.folder) as fleet:
        faults, histories = _play(fleet, options, journal)
        time.sleep(SETTLE_S)
        starts = [
            start
            for server in fleet.backend_servers
            for start in backend.read_starts(fleet.starts_file(server))
        ]
        verdict = soakverdict.judge(histories, starts, fleet.executions())
    _write_calls(options.folder / "calls.jsonl", histories)
    _print(journal, options, faults, verdict)
    return verdict.passed


def _layout(options: Options) -> layout.Options:
    return layout.Options(
        entries=options.entries,
        backend_servers=options.backend_servers,
        proxied=True,
        silence_ms=500,
        ownership=settings.Ownership(lease_ms=soakplan.LEASE_MS),
    )


def _play(
    fleet: fleet_module.Fleet, options: Options, journal: _Journal
) -> tuple[Sequence[soakplan.Fault], list[soakcaller.History]]:
    seconds = options.minutes * 60
    faults = soakplan.plan_faults(
        options.seed, seconds, options.entries, options.backend_servers
    )
    scripts = soakplan.plan_jobs(options.seed, seconds, options.entries)
    start_s = time.monotonic() + 0.5
    injector = soakfaults.Injector(fleet, journal.say)
    injecting = threading.Thread(
        target=injector.run, args=(faults, start_s, start_s + seconds)
    )
    injecting.start()
    histories = soakcaller.Callers(fleet, options.seed).run(scripts, start_s)
    injecting.join()
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


def _print(
    journal: _Journal,
    options: Options,
    faults: Sequence[soakplan.Fault],
    verdict: soakverdict.Verdict,
) -> None:
    by_name = collections.Counter(fault.name for fault in faults)
    for finding in verdict.findings[:SHOWN_FINDINGS]:
        journal.say(finding)
    if len(verdict.findings) > SHOWN_FINDINGS:
        journal.say(f"{len(verdict.findings)} findings in all")
    for line in (
        f"seed {options.seed}, {options.minutes:g} minutes",
        f"jobs {verdict.jobs}, calls {verdict.calls}",
        f"faults injected {len(faults)}: {dict(by_name)}",
        f"double starts {len(verdict.double_starts)}",
        f"partial answers {len(verdict.partial_answers)}",
        f"false refusals {len(verdict.false_refusals)}",
        f"crossed answers {len(verdict.crossed_answers)}",
        f"jobs complete {verdict.complete} of {verdict.expected} "
        f"({verdict.share:.1%}); not complete: {verdict.incomplete_by_code}",
        f"soak {'passed' if verdict.passed else 'FAILED'}; "
        f"traces in {options.folder}",
    ):
        journal.say(line)
