"""Prints tables for people and JSON for scripts."""

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

_CELL_CHARS = 100


@dataclasses.dataclass(frozen=True)
class Output:
    """Where results and remarks go.

    Attributes:
        as_json: Whether results are JSON texts.
        results: Standard output.
        remarks: Standard error.
    """

    as_json: bool
    results: rich.console.Console
    remarks: rich.console.Console

    def json(self, document: Any) -> None:
        """Prints a result as JSON."""
        typer.echo(json.dumps(document))

    def line(self, text: str) -> None:
        """Prints a line of a result."""
        self.results.print(text, markup=False, highlight=False, soft_wrap=True)

    def remark(self, text: str) -> None:
        """Prints a line that is no result."""
        self.remarks.print(text, markup=False, highlight=False, soft_wrap=True)

    def table(self, columns: Iterable[str], rows: Iterable[list[Any]]) -> None:
        """Prints a table."""
        table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(rich.markup.escape(cell(item)) for item in row))
        self.results.print(table)

    @contextmanager
    def waiting(self, text: str) -> Iterator[None]:
        """Shows on a terminal how long something has been waited for."""
        columns = (
            rich.progress.SpinnerColumn(),
            rich.progress.TextColumn("{task.description}", markup=False),
            rich.progress.TimeElapsedColumn(),
        )
        with rich.progress.Progress(
            *columns,
            console=self.remarks,
            transient=True,
            disable=not self.remarks.is_terminal,
        ) as progress:
            progress.add_task(text, total=None)
            yield

    def fail(self, failed: client.Failed) -> NoReturn:
        """Tells why a command failed, and ends it."""
        if self.as_json and failed.document is not None:
            self.json(failed.document)
        self.remark(f"sardineroute: {failed}")
        raise typer.Exit(failed.exit_code)


def make(as_json: bool) -> Output:
    """Returns the output of this process."""
    return Output(
        as_json,
        rich.console.Console(),
        rich.console.Console(stderr=True),
    )


def cell(value: Any) -> str:
    """Returns a value as one short line."""
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > _CELL_CHARS:
        return text[: _CELL_CHARS - 3] + "..."
    return text
