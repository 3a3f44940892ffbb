"""Takes processes out of service."""

from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context


def drain(
    typer_context: typer.Context,
    id_: Annotated[
        str, typer.Argument(metavar="ID", help="An entry or a sidecar.")
    ],
    as_json: context.AsJson = False,
) -> None:
    """Asks an entry or sidecar to finish its work and leave."""
    run = context.of(typer_context, as_json)
    path = f"/v1/fleet/{client.quoted(id_)}/drain"
    told = run.send(client.Call("POST", path, b"")).document
    if run.output.as_json:
        run.output.json(told)
        return
    run.output.line(f"{told['id']}: {told['state']}")
