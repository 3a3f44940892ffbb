"""The global options, and the requests that commands send with them."""

import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Annotated

import typer

from sardineroute import client
from sardineroute import output
from sardineroute_core import errors

AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON, for scripts.")
]


@dataclasses.dataclass(frozen=True)
class Context:
    """The global options of one run of the command line.

    Attributes:
        access: The addresses of the entries and the caller's credentials.
        output: Prints results and messages.
    """

    access: client.Access
    output: output.Output

    def send(self, call: client.Call, waiting_for: str = "") -> client.Reply:
        """Sends a request and returns the answer of an entry.

        Raises:
            client.CommandFailed: No entry answered, or the answer is an error.
        """
        self._check_options()
        http_client = client.Client(self.access)
        with self.output.show_waiting(waiting_for or "waiting for an entry"):
            return http_client.send(call)

    def send_or_exit(
        self, call: client.Call, waiting_for: str = ""
    ) -> client.Reply:
        """Like `send`, but ends the command if there is an error."""
        with self.exit_on_failure():
            return self.send(call, waiting_for)

    @contextlib.contextmanager
    def exit_on_failure(self) -> Iterator[None]:
        """Ends the command if `client.CommandFailed` is raised inside."""
        try:
            yield
        except client.CommandFailed as failure:
            self.output.exit_with(failure)

    def _check_options(self) -> None:
        for name, value in (
            ("--url or SARDINEROUTE_URL", self.access.urls),
            ("--token or SARDINEROUTE_TOKEN", self.access.token),
        ):
            if not value:
                raise client.CommandFailed(
                    f"{name} is required", errors.EXIT_USAGE
                )


def get(typer_context: typer.Context, as_json: bool) -> Context:
    """Returns the global options, with a command's own `--json` applied."""
    context = typer_context.find_object(Context)
    if context is None:
        raise TypeError("the global options were not parsed")
    if as_json:
        return dataclasses.replace(context, output=output.make_output(True))
    return context
