"""Benchmarks a fleet of production size under load, floods and faults."""

import dataclasses
import functools
from collections.abc import Sequence
from typing import Any

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import configure
from sardineroute_standins import experiment
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import load

FLEET = layout.Options(entries=3, backend_servers=11, log_level="warning")
# Leaves the fleet's configured dispatch policy unchanged.
CURRENT_POLICY = "in force"
# The first is the project's own policy; the others are baselines.
POLICIES = ("fastest", "least_outstanding", "round_robin", "random")
# Loads as shares of the fleet's capacity.
FLOOD_LOAD = 10.0
OTHER_WORK_LOAD = 1 / 3
FAULT_LOAD = 0.7
FLOOD_KIND = "receipt.void"
FLOOD_TEAM = "zidani"
SLOWDOWN_FACTOR = 10.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Parameters of a benchmark.

    Attributes:
        seed: Seed of the arrivals.
        seconds: Duration of each run.
        rounds: Number of repetitions of each load and flood. The runs of one
            round follow each other, so that repetitions interleave. Faults
            are measured once.
        loads: Offered loads as shares of the fleet's capacity.
        policies: Dispatch policies to compare; empty for the current one.
        hidden: Whether long tasks are spread over all kinds.
    """

    seed: int = 1
    seconds: float = 15.0
    rounds: int = 1
    loads: tuple[float, ...] = (0.7, 0.9)
    policies: tuple[str, ...] = ()
    hidden: bool = False


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Runs of the same jobs without and with a flood or a fault."""

    name: str
    undisturbed: list[experiment.Measurement]
    disturbed: list[experiment.Measurement]


def measure_loads(
    fleet: fleet_module.Fleet, options: Options
) -> dict[str, list[experiment.Measurement]]:
    """Returns the measurements of each load and policy, by run name."""
    runs_by_name: dict[str, list[experiment.Measurement]] = {}
    policies = _supported_policies(fleet, options.policies)
    for round_index in range(options.rounds):
        for policy in policies:
            _set_policy(fleet, policy)
            for share in options.loads:
                name = f"load {share:.2f}, {policy}"
                name += ", hidden long tasks" if options.hidden else ""
                jobs = _make_jobs(options, round_index, share, name)
                measured = experiment.run(fleet, name, policy, jobs)
                _print_runs(fleet, [measured])
                runs_by_name.setdefault(name, []).append(measured)
    return runs_by_name


def measure_flood(
    fleet: fleet_module.Fleet, flood: str, options: Options
) -> Comparison:
    """Measures jobs that belong to no flood, without and with a flood."""
    _set_urgency(fleet, flood)
    kinds = _flood_kinds(flood)
    other = tuple(kind for kind in layout.ALL_KINDS if kind not in kinds)
    comparison = Comparison(f"flood {flood}", [], [])
    for round_index in range(options.rounds):
        undisturbed_name = f"no flood {flood}"
        undisturbed_jobs = _make_jobs(
            options, round_index, OTHER_WORK_LOAD, undisturbed_name, other
        )
        comparison.undisturbed.append(
            experiment.run(
                fleet, undisturbed_name, CURRENT_POLICY, undisturbed_jobs
            )
        )
        _print_runs(fleet, comparison.undisturbed[-1:])
        jobs = _make_jobs(
            options, round_index, OTHER_WORK_LOAD, comparison.name, other
        )
        jobs += _make_flood_jobs(options, round_index, flood, kinds)
        jobs.sort(key=lambda job: job.at_ms)
        comparison.disturbed.append(
            experiment.run(fleet, comparison.name, CURRENT_POLICY, jobs)
        )
        _print_runs(fleet, comparison.disturbed[-1:])
        _print_flood(fleet, comparison.disturbed[-1:])
    return comparison


def measure_fault(
    fleet: fleet_module.Fleet, fault: str, options: Options
) -> Comparison:
    """Measures the same jobs without and with a fault halfway through."""
    comparison = Comparison(f"fault {fault}", [], [])
    undisturbed_name = f"no fault {fault}"
    undisturbed_jobs = _make_jobs(options, 0, FAULT_LOAD, undisturbed_name)
    comparison.undisturbed.append(
        experiment.run(
            fleet, undisturbed_name, CURRENT_POLICY, undisturbed_jobs
        )
    )
    _print_runs(fleet, comparison.undisturbed)
    jobs = _make_jobs(options, 0, FAULT_LOAD, comparison.name)
    apply_fault = functools.partial(_FAULTS_BY_NAME[fault], fleet)
    event = load.Event(options.seconds / 2, apply_fault)
    comparison.disturbed.append(
        experiment.run(fleet, comparison.name, CURRENT_POLICY, jobs, [event])
    )
    _print_runs(fleet, comparison.disturbed)
    return comparison


def kill_worker(fleet: fleet_module.Fleet) -> None:
    """Kills a backend server of medium speed and its sidecar together."""
    server = _medium_speed_server(fleet)
    fleet.kill(server.sidecar)
    fleet.kill(server.name)


def slow_worker(fleet: fleet_module.Fleet) -> None:
    """Slows a backend server of medium speed to a tenth of its speed."""
    fleet.set_faults(_medium_speed_server(fleet).name, slow=SLOWDOWN_FACTOR)


def fail_worker(fleet: fleet_module.Fleet) -> None:
    """Makes a backend server of medium speed fail every task it starts."""
    fleet.set_faults(_medium_speed_server(fleet).name, fail=True)


_FAULTS_BY_NAME = {
    "kill_worker": kill_worker,
    "slow_worker": slow_worker,
    "fail_worker": fail_worker,
}
FAULTS = tuple(_FAULTS_BY_NAME)
FLOODS = ("least_urgent", "most_urgent", "long", "team")
_URGENCY_BY_FLOOD = {"least_urgent": -10, "most_urgent": 10}


def _make_jobs(
    options: Options,
    round_index: int,
    share: float,
    name: str,
    kinds: tuple[str, ...] = layout.ALL_KINDS,
) -> list[arrivals_module.Arrival]:
    return arrivals_module.generate(
        arrivals_module.Options(
            seed=f"{options.seed}/{round_index}/{share:.3f}",
            seconds=options.seconds,
            work_per_s=share * experiment.capacity(FLEET),
            kinds=kinds,
            entries=FLEET.entries,
            prefix=_key_prefix(name, round_index),
            hidden=options.hidden,
        )
    )


def _make_flood_jobs(
    options: Options, round_index: int, flood: str, kinds: tuple[str, ...]
) -> list[arrivals_module.Arrival]:
    return arrivals_module.generate(
        arrivals_module.Options(
            seed=f"{options.seed}/{round_index}",
            seconds=options.seconds,
            work_per_s=FLOOD_LOAD * experiment.capacity(FLEET),
            kinds=kinds,
            entries=FLEET.entries,
            prefix=_key_prefix(f"of {flood}", round_index),
            long_only=flood == "long",
            flood=True,
        )
    )


def _key_prefix(name: str, round_index: int) -> str:
    # report.py groups jobs by the part of the key before the first hyphen,
    # so the prefix must contain no hyphen and be unique to the run.
    letters = "".join(
        character if character.isalnum() else "_" for character in name
    )
    return f"{letters}_{round_index}"


def _flood_kinds(flood: str) -> tuple[str, ...]:
    if flood == "team":
        return layout.KINDS_BY_TEAM[FLOOD_TEAM]
    return (FLOOD_KIND,)


def _supported_policies(
    fleet: fleet_module.Fleet, policies: tuple[str, ...]
) -> tuple[str, ...]:
    supported: list[str] = []
    for policy in policies:
        try:
            _set_policy(fleet, policy)
            supported.append(policy)
        except configure.ConfigurationError as error:
            print(f"policy {policy} skipped: {error}", flush=True)
    return tuple(supported) or (CURRENT_POLICY,)


def _set_policy(fleet: fleet_module.Fleet, policy: str) -> None:
    if policy != CURRENT_POLICY:
        configure.publish(fleet, {"dispatch": policy})


def _set_urgency(fleet: fleet_module.Fleet, flood: str) -> None:
    urgency = _URGENCY_BY_FLOOD.get(flood)
    if urgency is None:
        return
    try:
        configure.publish(fleet, {"teams": _team_settings(urgency)})
    except configure.ConfigurationError as error:
        print(f"flood {flood}: cannot set the urgency: {error}", flush=True)


def _team_settings(urgency: int) -> dict[str, Any]:
    return {
        team: {
            "schema_version": 2,
            "kinds": {
                kind: {"urgency": urgency if kind == FLOOD_KIND else 0}
                for kind in kinds
            },
        }
        for team, kinds in layout.KINDS_BY_TEAM.items()
    }


def _medium_speed_server(
    fleet: fleet_module.Fleet,
) -> fleet_module.BackendServer:
    return fleet.backend_servers[len(fleet.backend_servers) // 2]


def _print_runs(
    fleet: fleet_module.Fleet, runs: Sequence[experiment.Measurement]
) -> None:
    summary = experiment.summarize_jobs(runs, fleet.options)
    traffic = experiment.summarize_traffic(runs)
    ratios = summary.over_ideal
    last_run = runs[-1]
    print(
        f"{last_run.name}: {summary.complete}/{summary.submitted} complete, "
        f"other {summary.failed_by_code or 'none'}, crossed {summary.crossed}, "
        f"double starts {last_run.double_starts}\n"
        f"  ms mean/p50/p99/max: run {_format_distribution(summary.run)}, "
        f"oracle {_format_distribution(summary.ideal)}\n"
        f"  over oracle: mean {ratios.mean:.2f}, p50 {ratios.p50:.2f}, "
        f"p99 {ratios.p99:.2f}; over run time on the fastest: "
        f"{summary.over_fastest:.2f}\n"
        f"  messages {sum(traffic.by_type.values())}, wasted {traffic.wasted} "
        f"({traffic.wasted_share:.1%}): {traffic.by_type}\n"
        f"  driver lag ms p50/p99/max {summary.lag.p50_ms:.1f}/"
        f"{summary.lag.p99_ms:.1f}/{summary.lag.max_ms:.1f}; "
        f"cores: driver {last_run.driver_cores:.2f}, "
        f"fleet {last_run.fleet_cores:.2f}, "
        f"others {last_run.other_cores:.2f}, "
        f"entry {last_run.entry_cores:.2f}, "
        f"sidecar {last_run.sidecar_cores:.3f}",
        flush=True,
    )


def _print_flood(
    fleet: fleet_module.Fleet, runs: Sequence[experiment.Measurement]
) -> None:
    summary = experiment.summarize_flood(runs, fleet.options)
    print(
        f"  flood: {summary.submitted} submitted, {runs[-1].skipped} not "
        f"submitted (no connection free), {summary.complete} complete, other "
        f"{summary.failed_by_code}; "
        f"refusal ms {_format_distribution(summary.refusal)}; "
        f"driver lag ms p99 {summary.lag.p99_ms:.1f}",
        flush=True,
    )


def _format_distribution(times: Any) -> str:
    return (
        f"{times.mean_ms:.0f}/{times.p50_ms:.0f}/{times.p99_ms:.0f}/"
        f"{times.max_ms:.0f}"
    )
