"""What all commands of one run share."""

import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import output
from sardineroute_core import errors

AsJson = Annotated[
    bool, typer.Option("--json", help="Prints JSON for scripts.")
]


@dataclasses.dataclass(frozen=True)
class Context:
    """The global options of a run.

    Attributes:
        access: Where the entries are, and who calls.
        output: Where results and remarks go.
    """

    access: client.Access
    output: output.Output

    def ask(self, call: client.Call, waiting_for: str = "") -> client.Reply:
        """Returns an entry's answer.

        Raises:
            client.Failed: No entry answered, or the answer is an error.
        """
        self._check()
        sender = client.Client(self.access)
        with self.output.waiting(waiting_for or "waiting for an entry"):
            return sender.send(call)

    def send(self, call: client.Call, waiting_for: str = "") -> client.Reply:
        """Returns an entry's answer; ends the command where it is an error."""
        with self.failures():
            return self.ask(call, waiting_for)

    @contextlib.contextmanager
    def failures(self) -> Iterator[None]:
        """Ends the command with what a failure says."""
        try:
            yield
        except client.Failed as failed:
            self.output.fail(failed)

    def _check(self) -> None:
        for name, value in (
            ("--url or SARDINEROUTE_URL", self.access.urls),
            ("--token or SARDINEROUTE_TOKEN", self.access.token),
        ):
            if not value:
                raise client.Failed(f"{name} is required", errors.EXIT_USAGE)


def of(typer_context: typer.Context, as_json: bool) -> Context:
    """Returns the global options, with the command's own `--json`."""
    found = typer_context.find_object(Context)
    if found is None:
        raise TypeError("the global options were not read")
    if as_json:
        return dataclasses.replace(found, output=output.make(True))
    return found
