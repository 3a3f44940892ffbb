"""Commands that evacuate a failure domain and return it."""

import json
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context
from sardineroute_core import errors

app = typer.Typer()

_Domain = Annotated[
    str, typer.Argument(metavar="DOMAIN", help="Name of the failure domain.")
]


@app.command()
def evacuate(
    typer_context: typer.Context,
    domain: _Domain,
    as_json: context.AsJson = False,
) -> None:
    """Starts no more tasks in a failure domain until it is returned."""
    _publish(context.get(typer_context, as_json), domain, is_evacuated=True)


@app.command("return")
def return_domain(
    typer_context: typer.Context,
    domain: _Domain,
    as_json: context.AsJson = False,
) -> None:
    """Starts tasks in an evacuated failure domain again."""
    _publish(context.get(typer_context, as_json), domain, is_evacuated=False)


def _publish(cli: context.Context, domain: str, is_evacuated: bool) -> None:
    """Publishes the configuration in force with other evacuated domains.

    The entry refuses it if another change has been accepted meanwhile.
    """
    fleet = cli.send_or_exit(client.Call("GET", "/v1/fleet")).document
    current = cli.send_or_exit(client.Call("GET", "/v1/config")).document
    document = dict(current["document"])
    evacuated = list(document.get("evacuated_domains", []))
    known = {member["failure_domain"] for member in fleet["members"]}
    try:
        _check_change(domain, is_evacuated, evacuated, known)
    except client.CommandFailed as error:
        cli.output.exit_with(error)
    if is_evacuated:
        evacuated.append(domain)
    else:
        evacuated.remove(domain)
    call = client.Call(
        "PUT",
        "/v1/config",
        json.dumps({**document, "evacuated_domains": evacuated}).encode(),
        {
            "If-Match": f'"{current["version"]}"',
            "Content-Type": "application/json",
        },
        repeatable=False,
    )
    event = cli.send_or_exit(call, "publishing").document
    if cli.output.as_json:
        cli.output.print_json(event)
        return
    names = ", ".join(evacuated) or "none"
    cli.output.print_line(
        f"version {event['version']} is accepted; evacuated: {names}"
    )


def _check_change(
    domain: str, is_evacuated: bool, evacuated: list[str], known: set[str]
) -> None:
    """Raises `CommandFailed` for a change that can't be meant."""
    if is_evacuated == (domain in evacuated):
        state = "evacuated already" if is_evacuated else "not evacuated"
        raise client.CommandFailed(f"{domain} is {state}", errors.EXIT_FAILED)
    if is_evacuated and domain not in known:
        raise client.CommandFailed(
            f"no known process is in a failure domain {domain!r}; there are "
            + ", ".join(sorted(known)),
            errors.EXIT_USAGE,
        )
