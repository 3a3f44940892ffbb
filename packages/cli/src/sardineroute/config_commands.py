"""Publishes the configuration."""

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
        pathlib.Path, typer.Argument(help="The document, a JSON file.")
    ],
    based_on: Annotated[
        int | None,
        typer.Option(
            help="The version that the document was made from. Without it "
            "the version now in force is taken."
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Puts a document in force, unless another came first."""
    run = context.of(typer_context, as_json)
    try:
        body = file.read_bytes()
    except OSError as error:
        run.output.fail(client.Failed(f"{file}: {error}", errors.EXIT_USAGE))
    version = based_on
    if version is None:
        shown = run.send(client.Call("GET", "/v1/config")).document
        version = shown["version"]
    call = client.Call(
        "PUT",
        "/v1/config",
        body,
        {"If-Match": f'"{version}"', "Content-Type": "application/json"},
        repeatable=False,
    )
    event = run.send(call, "publishing").document
    if run.output.as_json:
        run.output.json(event)
        return
    run.output.line(f"version {event['version']} is accepted")
    run.output.line(str(event.get("summary", "")))
