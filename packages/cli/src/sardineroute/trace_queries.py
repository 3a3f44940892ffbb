"""Command that shows the spans of a job as a tree with times."""

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
        typer.Option(help="A file of spans; repeat it for each process."),
    ],
    as_json: context.AsJson = False,
) -> None:
    """Prints the spans of a job from the span files of the processes."""
    cli = context.get(typer_context, as_json)
    with cli.exit_on_failure():
        traces = span_tree.find_traces(key, _read_spans(file))
        if not traces:
            raise client.CommandFailed(
                f"no span of {key!r} found in the files", errors.EXIT_FAILED
            )
    if cli.output.as_json:
        cli.output.print_json(
            [span_tree.to_document(trace) for trace in traces]
        )
        return
    for trace in traces:
        for line in span_tree.format_trace(trace):
            cli.output.print_line(line)


def _read_spans(files: list[pathlib.Path]) -> list[span_tree.Span]:
    spans: list[span_tree.Span] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
            spans.extend(span_tree.parse(text))
        except (OSError, ValueError) as error:
            raise client.CommandFailed(
                f"{path}: {error}", errors.EXIT_USAGE
            ) from error
    return spans
