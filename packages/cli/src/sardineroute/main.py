"""The command `sardineroute`: jobs, configuration, fleet and traces."""

import pathlib
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import config_commands
from sardineroute import config_queries
from sardineroute import context
from sardineroute import fleet_commands
from sardineroute import fleet_queries
from sardineroute import job_commands
from sardineroute import job_queries
from sardineroute import output
from sardineroute import trace_queries

app = typer.Typer(
    no_args_is_help=True,
    help="Exit codes: 0 done, 1 failed, 2 wrong use, 3 refused and not run, "
    "4 unknown whether it ran.",
)


def _group(name: str, summary: str, *parts: typer.Typer) -> None:
    group = typer.Typer(no_args_is_help=True, help=summary)
    for part in parts:
        group.registered_commands.extend(part.registered_commands)
    app.add_typer(group, name=name)


_group("job", "Submits, shows and cancels.", job_commands.app, job_queries.app)
_group("config", "The configuration.", config_commands.app, config_queries.app)
_group("fleet", "Entries and sidecars.", fleet_queries.app)
_group("trace", "Spans of finished jobs.", trace_queries.app)
app.command()(fleet_commands.drain)


@app.callback()
def options(
    typer_context: typer.Context,
    url: Annotated[
        list[str] | None,
        typer.Option(
            envvar="SARDINEROUTE_URL",
            help="An entry; several are tried in order.",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(
            envvar="SARDINEROUTE_TOKEN",
            show_envvar=True,
            help="The bearer token of a team or operator.",
        ),
    ] = "",
    authority: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar="SARDINEROUTE_AUTHORITY",
            help="Certificates that verify the entries (PEM).",
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Talks to the entries of a sardineroute fleet."""
    urls = tuple(part for text in url or [] for part in text.split(",") if part)
    access = client.Access(urls, token, str(authority) if authority else None)
    typer_context.obj = context.Context(access, output.make(as_json))


def run() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    run()
