"""The command `sardineroute`, for jobs, configuration, fleet and traces."""

import pathlib
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import config_commands
from sardineroute import config_queries
from sardineroute import context
from sardineroute import evacuation_commands
from sardineroute import fleet_commands
from sardineroute import fleet_queries
from sardineroute import job_commands
from sardineroute import job_queries
from sardineroute import output
from sardineroute import trace_queries

app = typer.Typer(
    no_args_is_help=True,
    help="Exit codes: 0 success, 1 failed, 2 usage error, 3 refused and not "
    "run, 4 unknown whether it ran.",
)


def _add_group(name: str, summary: str, *apps: typer.Typer) -> None:
    group = typer.Typer(no_args_is_help=True, help=summary)
    for group_app in apps:
        group.registered_commands.extend(group_app.registered_commands)
    app.add_typer(group, name=name)


_add_group(
    "job", "Submit, show and cancel jobs.", job_commands.app, job_queries.app
)
_add_group(
    "config",
    "Show and publish the configuration.",
    config_commands.app,
    config_queries.app,
)
_add_group(
    "fleet",
    "Show entries and sidecars, evacuate failure domains.",
    fleet_queries.app,
    evacuation_commands.app,
)
_add_group("trace", "Show the spans of finished jobs.", trace_queries.app)
app.command()(fleet_commands.drain)


@app.callback()
def options(
    typer_context: typer.Context,
    url: Annotated[
        list[str] | None,
        typer.Option(
            envvar="SARDINEROUTE_URL",
            help="URL of an entry; several are tried in order.",
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
            help="File of certificates that verify the entries (PEM).",
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Sends requests to the entries of a sardineroute fleet."""
    urls = tuple(item for text in url or [] for item in text.split(",") if item)
    access = client.Access(urls, token, str(authority) if authority else None)
    typer_context.obj = context.Context(access, output.make_output(as_json))


def run() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    run()
