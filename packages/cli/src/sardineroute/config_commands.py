"""Command that publishes the configuration."""

import pathlib
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context
from sardineroute_core import errors

app = typer.Typer()


@app.command()
def publish(
    typer_context: typer.Context,
    file: Annotated[
        pathlib.Path, typer.Argument(help="The configuration, a JSON file.")
    ],
    based_on: Annotated[
        int | None,
        typer.Option(
            help="The version that the document is based on; the current "
            "version by default."
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Publishes a configuration, unless its base version is outdated."""
    cli = context.get(typer_context, as_json)
    try:
        body = file.read_bytes()
    except OSError as error:
        cli.output.exit_with(
            client.CommandFailed(f"{file}: {error}", errors.EXIT_USAGE)
        )
    version = based_on
    if version is None:
        current = cli.send_or_exit(client.Call("GET", "/v1/config")).document
        version = current["version"]
    call = client.Call(
        "PUT",
        "/v1/config",
        body,
        {"If-Match": f'"{version}"', "Content-Type": "application/json"},
        repeatable=False,
    )
    event = cli.send_or_exit(call, "publishing").document
    if cli.output.as_json:
        cli.output.print_json(event)
        return
    cli.output.print_line(f"version {event['version']} is accepted")
    cli.output.print_line(str(event.get("summary", "")))
