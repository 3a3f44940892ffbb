"""Commands that show the configuration and its history."""

import datetime
import json

import typer

from sardineroute import client
from sardineroute import context

app = typer.Typer()


@app.command()
def show(typer_context: typer.Context, as_json: context.AsJson = False) -> None:
    """Shows the current configuration."""
    cli = context.get(typer_context, as_json)
    configuration = cli.send_or_exit(client.Call("GET", "/v1/config")).document
    if cli.output.as_json:
        cli.output.print_json(configuration)
        return
    cli.output.print_line(f"version {configuration['version']}")
    cli.output.print_line(json.dumps(configuration["document"], indent=2))


@app.command()
def history(
    typer_context: typer.Context, as_json: context.AsJson = False
) -> None:
    """Lists the accepted changes, the newest last."""
    cli = context.get(typer_context, as_json)
    listed = cli.send_or_exit(client.Call("GET", "/v1/config/history")).document
    if cli.output.as_json:
        cli.output.print_json(listed)
        return
    rows = [
        [
            str(change["version"]),
            _format_time(change["unix_ms"]),
            change["who"],
            change["summary"],
        ]
        for change in listed["changes"]
    ]
    cli.output.print_table(["version", "time (UTC)", "who", "what"], rows)


def _format_time(unix_ms: int) -> str:
    seconds = unix_ms / 1_000
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S")
