"""Shows the spans of a job as a tree with times."""

import pathlib
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import context
from sardineroute import span_tree
from sardineroute_core import errors

app = typer.Typer()


@app.command()
def show(
    typer_context: typer.Context,
    key: Annotated[
        str, typer.Argument(help="A job's idempotency key, job id or trace id.")
    ],
    file: Annotated[
        list[pathlib.Path],
        typer.Option(help="A file of spans; give each process's file."),
    ],
    as_json: context.AsJson = False,
) -> None:
    """Prints the spans of a job, from the files of the processes."""
    run = context.of(typer_context, as_json)
    with run.failures():
        traces = span_tree.find(key, _read(file))
        if not traces:
            raise client.Failed(
                f"no span of {key!r} in these files", errors.EXIT_FAILED
            )
    if run.output.as_json:
        run.output.json([span_tree.to_document(trace) for trace in traces])
        return
    for trace in traces:
        for line in span_tree.lines(trace):
            run.output.line(line)


def _read(files: list[pathlib.Path]) -> list[span_tree.Span]:
    spans: list[span_tree.Span] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
            spans.extend(span_tree.parse(text))
        except (OSError, ValueError) as error:
            raise client.Failed(
                f"{path}: {error}", errors.EXIT_USAGE
            ) from error
    return spans
