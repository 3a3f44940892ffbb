"""Command line of the simulated services, load generator and soak test."""

import pathlib
import signal

import typer

from sardineroute_standins import backend as backend_module
from sardineroute_standins import bench as bench_module
from sardineroute_standins import benchmain
from sardineroute_standins import control
from sardineroute_standins import demo as demo_module
from sardineroute_standins import driver
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import logservice
from sardineroute_standins import soak as soak_module

_DEFAULT_OUT = pathlib.Path("out")

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.command()
def log(
    host: str = "127.0.0.1",
    port: int = 0,
    append_delay_ms: float = 4.0,
    retention_ms: int = 3_600_000,
    retention_records: int = 0,
    appends_per_s: int = 500,
) -> None:
    """Serves a simulated platform log."""
    options = logservice.Options(
        append_delay_ms, retention_ms, retention_records, appends_per_s
    )
    logservice.serve(host, port, options)


@app.command()
def backend(
    name: str = "backend",
    host: str = "127.0.0.1",
    port: int = 0,
    speed: float = 1.0,
    slots: int = 8,
    kinds: str = "",
    starts: pathlib.Path | None = None,
) -> None:
    """Serves a simulated backend server; KINDS is a comma-separated list."""
    kind_names = tuple(kind for kind in kinds.split(",") if kind)
    options = backend_module.Options(name, speed, slots, kind_names, starts)
    backend_module.serve(host, port, options)


@app.command()
def proxy(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serves the fault proxy; its TCP links are opened over HTTP."""
    control.serve(host, port)


@app.command()
def up(
    entries: int = 3,
    backend_servers: int = 3,
    failure_domains: int = 3,
    proxied: bool = False,
) -> None:
    """Runs a fleet on loopback until interrupted; prints one JSON line."""
    _exit_on_signals()
    options = layout.Options(
        entries=entries,
        backend_servers=backend_servers,
        failure_domains=failure_domains,
        proxied=proxied,
    )
    with fleet_module.Fleet(options) as fleet:
        fleet_module.print_description(fleet)
        signal.pause()


@app.command()
def demo() -> None:
    """Runs one job of many tasks on a small fleet."""
    _exit_on_signals()
    if not demo_module.run():
        raise typer.Exit(1)


@app.command()
def drive(plan: pathlib.Path, results: pathlib.Path) -> None:
    """Runs one driver process of a benchmark."""
    driver.run(plan, results)


@app.command()
def bench(
    seed: int = 1,
    seconds: float = 15.0,
    rounds: int = 1,
    load: str = "0.7,0.9",
    policies: str = "",
    hidden: bool = False,
    flood: str = "none",
    fault: str = "none",
    table: bool = False,
    out: pathlib.Path = _DEFAULT_OUT,
    keep: pathlib.Path | None = None,
) -> None:
    """Benchmarks a fleet of 3 entries and 11 backend servers.

    LOAD is a comma-separated list of shares of the fleet's capacity, POLICIES
    one of dispatch policies. HIDDEN spreads the long tasks over all kinds
    instead of giving them a kind of their own. FLOOD and FAULT are
    comma-separated lists of what to measure instead of plain loads, or "all".
    With --table all parts run and every bound is printed. The results are
    written to the folder OUT, and the processes' output is copied to the folder
    KEEP.
    """
    _exit_on_signals()
    floods = _parse_choices(flood, bench_module.FLOODS)
    faults = _parse_choices(fault, bench_module.FAULTS)
    is_plain = not floods and not faults
    all_met = benchmain.run(
        benchmain.Request(
            options=bench_module.Options(
                seed=seed,
                seconds=seconds,
                rounds=rounds,
                loads=tuple(float(share) for share in load.split(",")),
                policies=(
                    bench_module.POLICIES
                    if table and not policies
                    else tuple(name for name in policies.split(",") if name)
                ),
                hidden=hidden,
            ),
            floods=bench_module.FLOODS if table else floods,
            faults=bench_module.FAULTS if table else faults,
            with_loads=table or is_plain,
            with_hidden=table,
            with_idle=table or is_plain,
            out=out,
            output_folder=keep,
        )
    )
    if not all_met:
        raise typer.Exit(1)


@app.command()
def soak(
    seed: int = 1,
    minutes: float = 10.0,
    out: pathlib.Path = _DEFAULT_OUT,
) -> None:
    """Injects random faults into a fleet and counts violated guarantees."""
    _exit_on_signals()
    folder = out / f"soak-{seed}"
    if not soak_module.run(soak_module.Options(seed, minutes, folder)):
        raise typer.Exit(1)


def _parse_choices(text: str, allowed: tuple[str, ...]) -> tuple[str, ...]:
    if text == "none":
        return ()
    names = allowed if text == "all" else tuple(text.split(","))
    for name in names:
        if name not in allowed:
            raise typer.BadParameter(
                f"unknown name {name}; allowed: {', '.join(allowed)}"
            )
    return names


def _exit_on_signals() -> None:
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGTERM, _exit)


def _exit(*_: object) -> None:
    # Exiting stops the fleet; a second signal must not interrupt that.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise SystemExit(0)


if __name__ == "__main__":
    app()
