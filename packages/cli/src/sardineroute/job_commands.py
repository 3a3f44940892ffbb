"""Commands that submit and cancel jobs."""

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
# Time beyond the job's timeout for which the entry's answer is awaited.
ANSWER_MARGIN_S = 10.0

app = typer.Typer()


@app.command()
def submit(
    typer_context: typer.Context,
    file: Annotated[
        str,
        typer.Argument(
            help="A JSON file, or - for standard input. It holds an array of "
            "tasks, or an object with kind, tasks and timeout_ms."
        ),
    ],
    kind: Annotated[
        str | None, typer.Option(help="The kind of the tasks.")
    ] = None,
    key: Annotated[
        str | None,
        typer.Option(
            help="The idempotency key; a job with the same key never runs "
            "twice. Random by default."
        ),
    ] = None,
    timeout_ms: Annotated[
        int | None,
        typer.Option(
            "--timeout", metavar="MS", help="Timeout of the whole job, in ms."
        ),
    ] = None,
    as_json: context.AsJson = False,
) -> None:
    """Submits a job and waits for the answers of all its tasks."""
    cli = context.get(typer_context, as_json)
    with cli.exit_on_failure():
        body = _build_body(_read_document(file), kind, timeout_ms)
    idempotency_key = key or f"cli-{secrets.token_hex(8)}"
    if key is None:
        cli.output.print_message(f"key: {idempotency_key}")
    wait_ms = body.get("timeout_ms", DEFAULT_TIMEOUT_MS)
    call = client.Call(
        "POST",
        "/v1/jobs",
        json.dumps(body).encode(),
        {
            "Idempotency-Key": idempotency_key,
            "Content-Type": "application/json",
        },
        timeout_s=_timeout_s(wait_ms) + ANSWER_MARGIN_S,
    )
    reply = cli.send_or_exit(
        call, f"job {idempotency_key}: {len(body['tasks'])} tasks"
    )
    job_output.print_job(cli.output, reply)


@app.command()
def cancel(
    typer_context: typer.Context,
    key: Annotated[str, typer.Argument(help="The job's idempotency key.")],
    as_json: context.AsJson = False,
) -> None:
    """Cancels a job; tasks that have started continue to run."""
    cli = context.get(typer_context, as_json)
    call = client.Call("DELETE", f"/v1/jobs/{client.quote_segment(key)}")
    try:
        reply = cli.send(call)
    except client.CommandFailed as failure:
        document = failure.document or {}
        if document.get("code") != errors.Kind.CANCELED:
            cli.output.exit_with(failure)
        job_output.print_canceled(cli.output, document)
        return
    job_output.print_job(cli.output, reply)


def _read_document(file: str) -> Any:
    try:
        if file == "-":
            return json.load(sys.stdin)
        return json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise client.CommandFailed(
            f"{file}: {error}", errors.EXIT_USAGE
        ) from error


def _build_body(
    document: Any, kind: str | None, timeout_ms: int | None
) -> dict[str, Any]:
    body = {"tasks": document} if isinstance(document, list) else document
    if not isinstance(body, dict) or not isinstance(body.get("tasks"), list):
        raise client.CommandFailed(
            "the file must hold an array of tasks or an object with tasks",
            errors.EXIT_USAGE,
        )
    if kind is not None:
        body = {**body, "kind": kind}
    if "kind" not in body:
        raise client.CommandFailed("--kind is required", errors.EXIT_USAGE)
    if timeout_ms is not None:
        body = {**body, "timeout_ms": timeout_ms}
    return body


def _timeout_s(timeout_ms: Any) -> float:
    # The entry reports an invalid timeout.
    if isinstance(timeout_ms, int) and timeout_ms > 0:
        return timeout_ms / 1_000
    return DEFAULT_TIMEOUT_MS / 1_000
