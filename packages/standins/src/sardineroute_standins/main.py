"""The command line of the stand-ins."""

import typer

from sardineroute_standins import backend as backend_module
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


if __name__ == "__main__":
    app()
