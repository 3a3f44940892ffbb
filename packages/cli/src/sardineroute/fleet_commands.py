"""Command that takes a process out of service."""

from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context


def drain(
    typer_context: typer.Context,
    id_: Annotated[
        str,
        typer.Argument(metavar="ID", help="The id of an entry or a sidecar."),
    ],
    as_json: context.AsJson = False,
) -> None:
    """Asks an entry or sidecar to finish its work and exit."""
    cli = context.get(typer_context, as_json)
    path = f"/v1/fleet/{client.quote_segment(id_)}/drain"
    reply = cli.send_or_exit(client.Call("POST", path, b"")).document
    if cli.output.as_json:
        cli.output.print_json(reply)
        return
    cli.output.print_line(f"{reply['id']}: {reply['state']}")
