"""Submits and cancels jobs."""

import json
import pathlib
import secrets
import sys
from typing import Annotated
from typing import Any

import typer

from sardineroute import client
from sardineroute import context
from sardineroute import job_output
from sardineroute_core import errors

DEFAULT_TIMEOUT_MS = 30_000
ANSWER_MARGIN_S = 10.0

app = typer.Typer()


@app.command()
def submit(
    typer_context: typer.Context,
    file: Annotated[
        str,
        typer.Argument(
            help="A JSON file, or - for standard input: the tasks as an "
            "array, or an object with kind, tasks and timeout_ms."
        ),
    ],
    kind: Annotated[
        str | None, typer.Option(help="The kind of the tasks.")
    ] = None,
    key: Annotated[
        str | None,
        typer.Option(
            help="The idempotency key: the same key never runs twice. "
            "A new one by default."
        ),
    ] = None,
    timeout_ms: Annotated[
        int | None,
        typer.Option(
            "--timeout", metavar="MS", help="Time for the whole answer, in ms."
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Submits a job and waits for its whole answer."""
    run = context.of(typer_context, as_json)
    with run.failures():
        body = _body(_read(file), kind, timeout_ms)
    chosen = key or f"cli-{secrets.token_hex(8)}"
    if key is None:
        run.output.remark(f"key: {chosen}")
    wait_ms = body.get("timeout_ms", DEFAULT_TIMEOUT_MS)
    call = client.Call(
        "POST",
        "/v1/jobs",
        json.dumps(body).encode(),
        {"Idempotency-Key": chosen, "Content-Type": "application/json"},
        timeout_s=_seconds(wait_ms) + ANSWER_MARGIN_S,
    )
    reply = run.send(call, f"job {chosen}: {len(body['tasks'])} tasks")
    job_output.show(run.output, reply)


@app.command()
def cancel(
    typer_context: typer.Context,
    key: Annotated[str, typer.Argument(help="The job's idempotency key.")],
    as_json: context.AsJson = False,
) -> None:
    """Cancels a job; tasks that have started go on."""
    run = context.of(typer_context, as_json)
    call = client.Call("DELETE", f"/v1/jobs/{client.quoted(key)}")
    try:
        reply = run.ask(call)
    except client.Failed as failed:
        document = failed.document or {}
        if document.get("code") != errors.Kind.CANCELED:
            run.output.fail(failed)
        job_output.show_canceled(run.output, document)
        return
    job_output.show(run.output, reply)


def _read(file: str) -> Any:
    try:
        if file == "-":
            return json.load(sys.stdin)
        return json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise client.Failed(f"{file}: {error}", errors.EXIT_USAGE) from error


def _body(
    document: Any, kind: str | None, timeout_ms: int | None
) -> dict[str, Any]:
    body = {"tasks": document} if isinstance(document, list) else document
    if not isinstance(body, dict) or not isinstance(body.get("tasks"), list):
        raise client.Failed(
            "an array of tasks, or an object with tasks, is required",
            errors.EXIT_USAGE,
        )
    if kind is not None:
        body = {**body, "kind": kind}
    if "kind" not in body:
        raise client.Failed("--kind is required", errors.EXIT_USAGE)
    if timeout_ms is not None:
        body = {**body, "timeout_ms": timeout_ms}
    return body


def _seconds(timeout_ms: Any) -> float:
    # The entry tells what is wrong with a timeout that is no number.
    if isinstance(timeout_ms, int) and timeout_ms > 0:
        return timeout_ms / 1_000
    return DEFAULT_TIMEOUT_MS / 1_000
