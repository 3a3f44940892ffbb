"""Measures a fleet of today's size under load, floods and faults."""

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
IN_FORCE = "in force"
# The first is the project's own, the others are baselines.
POLICIES = ("fastest", "least_outstanding", "round_robin", "random")
FLOOD_FACTOR = 10.0
OTHER_LOAD = 1 / 3
FAULT_LOAD = 0.7
FLOOD_KIND = "receipt.void"
FLOOD_TEAM = "zidani"
SLOWDOWN = 10.0


@dataclasses.dataclass(frozen=True)
class Options:
    """What to measure.

    Attributes:
        seed: Seed of the arrivals.
        seconds: Length of each run.
        rounds: Times that each run is made, interleaved.
        loads: Shares of the fleet's capacity.
        policies: Dispatch policies; empty for the one in force.
        hidden: Whether long tasks are hidden among all kinds.
    """

    seed: int = 1
    seconds: float = 15.0
    rounds: int = 1
    loads: tuple[float, ...] = (0.7, 0.9)
    policies: tuple[str, ...] = ()
    hidden: bool = False


@dataclasses.dataclass(frozen=True)
class Comparison:
    """The same jobs without and with a flood or a fault."""

    name: str
    without: list[experiment.Measured]
    during: list[experiment.Measured]


def measure_loads(
    fleet: fleet_module.Fleet, options: Options
) -> dict[str, list[experiment.Measured]]:
    """Returns the rounds of each load and policy, by name."""
    runs_by_name: dict[str, list[experiment.Measured]] = {}
    policies = _settable(fleet, options.policies)
    for number in range(options.rounds):
        for policy in policies:
            _put_policy(fleet, policy)
            for share in options.loads:
                name = f"load {share:.2f}, {policy}"
                name += ", hidden long tasks" if options.hidden else ""
                jobs = _jobs(options, number, share, name)
                measured = experiment.run(fleet, name, policy, jobs)
                _say(fleet, [measured])
                runs_by_name.setdefault(name, []).append(measured)
    return runs_by_name


def measure_flood(
    fleet: fleet_module.Fleet, flood: str, options: Options
) -> Comparison:
    """Returns the other work without and with a flood."""
    _put_urgency(fleet, flood)
    kinds = _flood_kinds(flood)
    other = tuple(kind for kind in layout.ALL_KINDS if kind not in kinds)
    compared = Comparison(f"flood {flood}", [], [])
    for number in range(options.rounds):
        quiet_name = f"no flood {flood}"
        quiet = _jobs(options, number, OTHER_LOAD, quiet_name, other)
        compared.without.append(
            experiment.run(fleet, quiet_name, IN_FORCE, quiet)
        )
        _say(fleet, compared.without[-1:])
        jobs = _jobs(options, number, OTHER_LOAD, compared.name, other)
        jobs += _flood_jobs(options, number, flood, kinds)
        jobs.sort(key=lambda job: job.at_ms)
        compared.during.append(
            experiment.run(fleet, compared.name, IN_FORCE, jobs)
        )
        _say(fleet, compared.during[-1:])
        _say_flood(fleet, compared.during[-1:])
    return compared


def measure_fault(
    fleet: fleet_module.Fleet, fault: str, options: Options
) -> Comparison:
    """Returns the same jobs without and with a fault at half time."""
    compared = Comparison(f"fault {fault}", [], [])
    quiet_name = f"no fault {fault}"
    quiet = _jobs(options, 0, FAULT_LOAD, quiet_name)
    compared.without.append(experiment.run(fleet, quiet_name, IN_FORCE, quiet))
    _say(fleet, compared.without)
    jobs = _jobs(options, 0, FAULT_LOAD, compared.name)
    act = functools.partial(_FAULTS_BY_NAME[fault], fleet)
    event = load.Event(options.seconds / 2, act)
    compared.during.append(
        experiment.run(fleet, compared.name, IN_FORCE, jobs, [event])
    )
    _say(fleet, compared.during)
    return compared


def kill_worker(fleet: fleet_module.Fleet) -> None:
    """Kills a backend server of middle speed and its sidecar together."""
    server = _middle(fleet)
    fleet.kill(server.sidecar)
    fleet.kill(server.name)


def slow_worker(fleet: fleet_module.Fleet) -> None:
    """Makes a backend server 10 times slower."""
    fleet.set_faults(_middle(fleet).name, slow=SLOWDOWN)


def fail_worker(fleet: fleet_module.Fleet) -> None:
    """Makes a backend server fail all that it starts."""
    fleet.set_faults(_middle(fleet).name, fail=True)


_FAULTS_BY_NAME = {
    "kill_worker": kill_worker,
    "slow_worker": slow_worker,
    "fail_worker": fail_worker,
}
FAULTS = tuple(_FAULTS_BY_NAME)
FLOODS = ("least_urgent", "most_urgent", "long", "team")
_URGENCY_BY_FLOOD = {"least_urgent": -10, "most_urgent": 10}


def _jobs(
    options: Options,
    number: int,
    share: float,
    name: str,
    kinds: tuple[str, ...] = layout.ALL_KINDS,
) -> list[arrivals_module.Arrival]:
    return arrivals_module.generate(
        arrivals_module.Options(
            seed=f"{options.seed}/{number}/{share:.3f}",
            seconds=options.seconds,
            work_per_s=share * experiment.capacity(FLEET),
            kinds=kinds,
            entries=FLEET.entries,
            prefix=_prefix(name, number),
            hidden=options.hidden,
        )
    )


def _flood_jobs(
    options: Options, number: int, flood: str, kinds: tuple[str, ...]
) -> list[arrivals_module.Arrival]:
    return arrivals_module.generate(
        arrivals_module.Options(
            seed=f"{options.seed}/{number}",
            seconds=options.seconds,
            work_per_s=FLOOD_FACTOR * experiment.capacity(FLEET),
            kinds=kinds,
            entries=FLEET.entries,
            prefix=_prefix(f"of {flood}", number),
            long_only=flood == "long",
            flood=True,
        )
    )


def _prefix(name: str, number: int) -> str:
    # The part before the first hyphen names the round to the report.
    letters = "".join(one if one.isalnum() else "_" for one in name)
    return f"{letters}_{number}"


def _flood_kinds(flood: str) -> tuple[str, ...]:
    if flood == "team":
        return layout.KINDS_BY_TEAM[FLOOD_TEAM]
    return (FLOOD_KIND,)


def _settable(
    fleet: fleet_module.Fleet, policies: tuple[str, ...]
) -> tuple[str, ...]:
    settable: list[str] = []
    for policy in policies:
        try:
            _put_policy(fleet, policy)
            settable.append(policy)
        except configure.NotConfigurable as error:
            print(f"policy {policy} skipped: {error}", flush=True)
    return tuple(settable) or (IN_FORCE,)


def _put_policy(fleet: fleet_module.Fleet, policy: str) -> None:
    if policy != IN_FORCE:
        configure.publish(fleet, {"dispatch": policy})


def _put_urgency(fleet: fleet_module.Fleet, flood: str) -> None:
    urgency = _URGENCY_BY_FLOOD.get(flood)
    if urgency is None:
        return
    try:
        configure.publish(fleet, {"teams": _teams(urgency)})
    except configure.NotConfigurable as error:
        print(f"flood {flood}: urgency can't be set: {error}", flush=True)


def _teams(urgency: int) -> dict[str, Any]:
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


def _middle(fleet: fleet_module.Fleet) -> fleet_module.BackendServer:
    return fleet.backend_servers[len(fleet.backend_servers) // 2]


def _say(
    fleet: fleet_module.Fleet, runs: Sequence[experiment.Measured]
) -> None:
    seen = experiment.summary(runs, fleet.options)
    moved = experiment.traffic(runs)
    over = seen.over_ideal
    one = runs[-1]
    print(
        f"{one.name}: {seen.complete}/{seen.submitted} complete, "
        f"other {seen.failed_by_code or 'none'}, crossed {seen.crossed}, "
        f"double starts {one.double_starts}\n"
        f"  ms mean/p50/p99/max: run {_row(seen.run)}, "
        f"oracle {_row(seen.ideal)}\n"
        f"  over oracle: mean {over.mean:.2f}, p50 {over.p50:.2f}, "
        f"p99 {over.p99:.2f}; over run time on the fastest: "
        f"{seen.over_fastest:.2f}\n"
        f"  messages {sum(moved.by_type.values())}, wasted {moved.wasted} "
        f"({moved.wasted_share:.1%}): {moved.by_type}\n"
        f"  driver lag ms p50/p99/max {seen.lag.p50_ms:.1f}/"
        f"{seen.lag.p99_ms:.1f}/{seen.lag.max_ms:.1f}; cores: driver "
        f"{one.driver_cores:.2f}, fleet {one.fleet_cores:.2f}, others "
        f"{one.other_cores:.2f}, entry {one.entry_cores:.2f}, sidecar "
        f"{one.sidecar_cores:.3f}",
        flush=True,
    )


def _say_flood(
    fleet: fleet_module.Fleet, runs: Sequence[experiment.Measured]
) -> None:
    seen = experiment.flood_summary(runs, fleet.options)
    print(
        f"  flood: {seen.submitted} submitted, {runs[-1].skipped} not "
        f"submitted (no connection free), {seen.complete} complete, other "
        f"{seen.failed_by_code}; refusal ms {_row(seen.refusal)}; driver lag "
        f"ms p99 {seen.lag.p99_ms:.1f}",
        flush=True,
    )


def _row(seen: Any) -> str:
    return (
        f"{seen.mean_ms:.0f}/{seen.p50_ms:.0f}/{seen.p99_ms:.0f}/"
        f"{seen.max_ms:.0f}"
    )
