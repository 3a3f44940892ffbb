"""Shows the configuration and its history."""

import datetime
import json

import typer

from sardineroute import client
from sardineroute import context

app = typer.Typer()


@app.command()
def show(typer_context: typer.Context, as_json: context.AsJson = False) -> None:
    """Shows the configuration in force."""
    run = context.of(typer_context, as_json)
    shown = run.send(client.Call("GET", "/v1/config")).document
    if run.output.as_json:
        run.output.json(shown)
        return
    run.output.line(f"version {shown['version']}")
    run.output.line(json.dumps(shown["document"], indent=2))


@app.command()
def history(
    typer_context: typer.Context, as_json: context.AsJson = False
) -> None:
    """Lists the accepted changes, the newest last."""
    run = context.of(typer_context, as_json)
    shown = run.send(client.Call("GET", "/v1/config/history")).document
    if run.output.as_json:
        run.output.json(shown)
        return
    rows = [
        [
            str(change["version"]),
            _time(change["unix_ms"]),
            change["who"],
            change["summary"],
        ]
        for change in shown["changes"]
    ]
    run.output.table(["version", "time (UTC)", "who", "what"], rows)


def _time(unix_ms: int) -> str:
    seconds = unix_ms / 1_000
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S")
