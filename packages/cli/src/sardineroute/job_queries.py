"""Command that shows a job."""

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
    """Shows the state of a job, and its answers while they are retained."""
    cli = context.get(typer_context, as_json)
    reply = cli.send_or_exit(
        client.Call("GET", f"/v1/jobs/{client.quote_segment(key)}")
    )
    job_output.print_job(cli.output, reply)
