"""The command line of the stand-ins."""

import signal

import typer

from sardineroute_standins import backend as backend_module
from sardineroute_standins import control
from sardineroute_standins import demo as demo_module
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import platform

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
    """Serves the stand-in of the platform log."""
    options = platform.Options(
        append_delay_ms, retention_ms, retention_records, appends_per_s
    )
    platform.serve(host, port, options)


@app.command()
def backend(
    name: str = "backend",
    host: str = "127.0.0.1",
    port: int = 0,
    speed: float = 1.0,
    slots: int = 8,
    kinds: str = "",
) -> None:
    """Serves the stand-in of a backend server; KINDS are comma-separated."""
    offered = tuple(kind for kind in kinds.split(",") if kind)
    options = backend_module.Options(name, speed, slots, offered)
    backend_module.serve(host, port, options)


@app.command()
def proxy(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serves fault-injecting TCP links, made over HTTP."""
    control.serve(host, port)


@app.command()
def up(
    entries: int = 3,
    backend_servers: int = 3,
    failure_domains: int = 3,
    proxied: bool = False,
) -> None:
    """Keeps a fleet on loopback until interrupted; prints one JSON line."""
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
    """Runs one job of many tasks through a small fleet."""
    _exit_on_signals()
    if not demo_module.run():
        raise typer.Exit(1)


def _exit_on_signals() -> None:
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGTERM, _exit)


def _exit(*_: object) -> None:
    # The fleet is stopped on the way out; a second signal can't cut that.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise SystemExit(0)


if __name__ == "__main__":
    app()
