"""Prints results as tables or JSON, and messages on standard error."""

import dataclasses
import json
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from typing import NoReturn

import rich.console
import rich.markup
import rich.progress
import rich.table
import typer

from sardineroute import client

_MAX_CELL_CHARS = 100


@dataclasses.dataclass(frozen=True)
class Output:
    """Prints results on standard output and messages on standard error.

    Attributes:
        as_json: Whether results are printed as JSON.
        stdout: Console for results.
        stderr: Console for messages.
    """

    as_json: bool
    stdout: rich.console.Console
    stderr: rich.console.Console

    def print_json(self, document: Any) -> None:
        """Prints a result as JSON."""
        typer.echo(json.dumps(document))

    def print_line(self, text: str) -> None:
        """Prints one line of a result."""
        self.stdout.print(text, markup=False, highlight=False, soft_wrap=True)

    def print_message(self, text: str) -> None:
        """Prints a message on standard error."""
        self.stderr.print(text, markup=False, highlight=False, soft_wrap=True)

    def print_table(
        self, columns: Iterable[str], rows: Iterable[list[Any]]
    ) -> None:
        """Prints a result as a table."""
        table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(
                *(rich.markup.escape(format_cell(item)) for item in row)
            )
        self.stdout.print(table)

    @contextmanager
    def show_waiting(self, text: str) -> Iterator[None]:
        """Shows a spinner and the elapsed time while the body runs.

        Prints nothing if standard error is not a terminal.
        """
        columns = (
            rich.progress.SpinnerColumn(),
            rich.progress.TextColumn("{task.description}", markup=False),
            rich.progress.TimeElapsedColumn(),
        )
        with rich.progress.Progress(
            *columns,
            console=self.stderr,
            transient=True,
            disable=not self.stderr.is_terminal,
        ) as progress:
            progress.add_task(text, total=None)
            yield

    def exit_with(self, failure: client.CommandFailed) -> NoReturn:
        """Prints why the command failed and exits with its exit code."""
        if self.as_json and failure.document is not None:
            self.print_json(failure.document)
        self.print_message(f"sardineroute: {failure}")
        raise typer.Exit(failure.exit_code)


def make_output(as_json: bool) -> Output:
    """Returns an output on this process's standard streams."""
    return Output(
        as_json,
        rich.console.Console(),
        rich.console.Console(stderr=True),
    )


def format_cell(value: Any) -> str:
    """Returns a value as one line of at most `_MAX_CELL_CHARS`."""
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > _MAX_CELL_CHARS:
        return text[: _MAX_CELL_CHARS - 3] + "..."
    return text
