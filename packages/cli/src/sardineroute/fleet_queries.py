"""Command that shows the fleet."""

import typer

from sardineroute import client
from sardineroute import context

# Written by an entry for a number that it doesn't know.
_UNKNOWN = -1

app = typer.Typer()


@app.command()
def show(typer_context: typer.Context, as_json: context.AsJson = False) -> None:
    """Lists the entries and sidecars that the answering entry knows."""
    cli = context.get(typer_context, as_json)
    fleet = cli.send_or_exit(client.Call("GET", "/v1/fleet")).document
    if cli.output.as_json:
        cli.output.print_json(fleet)
        return
    rows = [
        [
            member["id"],
            member["role"],
            member["failure_domain"],
            member["state"],
            _format_number(member["configuration_version"]),
            _format_number(member["busy"]),
            _format_number(member["slots"]),
            ", ".join(member["kinds"]),
        ]
        for member in fleet["members"]
    ]
    cli.output.print_table(
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


def _format_number(value: int) -> str:
    return "?" if value == _UNKNOWN else str(value)
