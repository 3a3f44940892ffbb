"""Shows jobs."""

from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context
from sardineroute import job_output

app = typer.Typer()


@app.command()
def show(
    typer_context: typer.Context,
    key: Annotated[str, typer.Argument(help="The job's idempotency key.")],
    as_json: context.AsJson = False,
) -> None:
    """Shows where a job stands, or its kept answer."""
    run = context.of(typer_context, as_json)
    reply = run.send(client.Call("GET", f"/v1/jobs/{client.quoted(key)}"))
    job_output.show(run.output, reply)
