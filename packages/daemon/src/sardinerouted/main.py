"""The command `sardinerouted`, which starts the daemon in one of its roles.

The modules of a role are imported when it starts, so that a process loads only
the code and exposes only the metrics of its own role.
"""

import pathlib
import typing
from typing import Annotated

import typer

from sardineroute_core import errors
from sardineroute_core import settings

app = typer.Typer(no_args_is_help=True, add_completion=False)

_SettingsPath = Annotated[
    pathlib.Path, typer.Option("--settings", help="The settings file (YAML).")
]


@app.command()
def entry(path: _SettingsPath) -> None:
    """Runs an entry: accepts jobs from callers and dispatches their tasks."""
    loaded = _load(path)
    if isinstance(loaded, settings.HostedEntry):
        from sardinerouted.hosted import entry as hosted_entry

        raise typer.Exit(hosted_entry.run(loaded, path))
    if not isinstance(loaded, settings.Entry):
        _fail(f"{path}: role: found {loaded.role!r}; allowed: entry")
    from sardinerouted.entry import process

    raise typer.Exit(process.run(loaded))


@app.command()
def sidecar(path: _SettingsPath) -> None:
    """Runs a sidecar: checks tasks and runs them on its backend server."""
    loaded = _load(path)
    if isinstance(loaded, settings.HostedSidecar):
        from sardinerouted.hosted import sidecar as hosted_sidecar

        raise typer.Exit(hosted_sidecar.run(loaded, path))
    if not isinstance(loaded, settings.Sidecar):
        _fail(f"{path}: role: found {loaded.role!r}; allowed: sidecar")
    from sardinerouted.sidecar import process

    raise typer.Exit(process.run(loaded))


@app.command("check-settings")
def check_settings(path: pathlib.Path) -> None:
    """Checks a settings file and prints its errors."""
    loaded = _load(path)
    typer.echo(f"{path}: valid settings of role {loaded.role}")


def run() -> None:
    """Runs the command line."""
    app()


def _load(path: pathlib.Path) -> settings.Settings:
    try:
        return settings.load(path)
    except settings.SettingsError as error:
        _fail(str(error))


def _fail(message: str) -> typing.NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(errors.EXIT_USAGE)


if __name__ == "__main__":
    run()
