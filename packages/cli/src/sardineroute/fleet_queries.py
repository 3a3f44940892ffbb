"""Shows the fleet."""

import typer

from sardineroute import client
from sardineroute import context

_UNKNOWN = -1

app = typer.Typer()


@app.command()
def show(typer_context: typer.Context, as_json: context.AsJson = False) -> None:
    """Lists entries and sidecars as the asked entry sees them."""
    run = context.of(typer_context, as_json)
    fleet = run.send(client.Call("GET", "/v1/fleet")).document
    if run.output.as_json:
        run.output.json(fleet)
        return
    rows = [
        [
            member["id"],
            member["role"],
            member["failure_domain"],
            member["state"],
            _number(member["configuration_version"]),
            _number(member["busy"]),
            _number(member["slots"]),
            ", ".join(member["kinds"]),
        ]
        for member in fleet["members"]
    ]
    run.output.table(
        [
            "id",
            "role",
            "failure domain",
            "state",
            "version",
            "busy",
            "slots",
            "kinds",
        ],
        rows,
    )


def _number(value: int) -> str:
    return "?" if value == _UNKNOWN else str(value)
