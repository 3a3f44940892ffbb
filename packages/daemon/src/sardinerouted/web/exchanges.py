"""Requests whose response is awaited without holding a thread."""

import asyncio
import dataclasses
import threading
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import errors
from sardinerouted.web import responses

ENVIRON_KEY = "sardinerouted.exchange"


@dataclasses.dataclass(frozen=True)
class Result:
    """How a call ended: with a value, or with what it raised."""

    value: Any = None
    error: Exception | None = None


class Handover:
    """Brings calls from threads to an event loop, several at a wake-up."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lock = threading.Lock()
        self._starts: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def run(
        self,
        call: Coroutine[Any, Any, Any],
        wait_ms: int,
        finish: Callable[[Result], None],
    ) -> None:
        """Runs a call on the loop; `finish` gets its result there."""

        def start() -> None:
            task = self._loop.create_task(_supervise(call, wait_ms, finish))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        with self._lock:
            idle = not self._starts
            self._starts.append(start)
        if idle:
            self._loop.call_soon_threadsafe(self._start_all)

    def _start_all(self) -> None:
        with self._lock:
            starts, self._starts = self._starts, []
        for start in starts:
            start()


async def _supervise(
    call: Coroutine[Any, Any, Any],
    wait_ms: int,
    finish: Callable[[Result], None],
) -> None:
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            result = Result(await call)
    except TimeoutError:
        result = Result(error=_unknown("no outcome was known in time"))
    except Exception as error:  # noqa: BLE001 - it is answered elsewhere
        result = Result(error=error)
    except asyncio.CancelledError:
        finish(Result(error=_unknown("the call was canceled")))
        raise
    finish(result)


def _unknown(detail: str) -> errors.Error:
    return errors.Error(errors.Kind.OUTCOME_UNKNOWN, detail, errors.Ran.UNKNOWN)


class Exchange:
    """One request whose response is not known yet.

    The thread that parked the request and the event loop that ends the call
    both let go of it; the later of the two hands it to the next thread.
    """

    def __init__(self, resume: Callable[[], None]) -> None:
        self._resume = resume
        self._lock = threading.Lock()
        self._waits_for = 2
        self._respond: Callable[[Result], responses.Response] | None = None
        self._result = Result()

    @property
    def parked(self) -> bool:
        """Returns whether the response is to be awaited."""
        return self._respond is not None

    def park(self, respond: Callable[[Result], responses.Response]) -> None:
        """Makes the exchange wait; `respond` will render the result."""
        self._respond = respond

    def finish(self, result: Result) -> None:
        """Takes the result; called once, from the event loop."""
        self._result = result
        self._let_go()

    def release(self) -> None:
        """Says that the thread that parked the request has left it."""
        self._let_go()

    def response(self) -> responses.Response:
        """Returns the response after both have let go."""
        if self._respond is None:
            raise ValueError("the exchange was not parked")
        return self._respond(self._result)

    def _let_go(self) -> None:
        with self._lock:
            self._waits_for -= 1
            last = self._waits_for == 0
        if last:
            self._resume()
