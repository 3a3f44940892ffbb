"""Deferred requests, which hold no thread while they wait for a result."""

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
    """The value that a call returned, or the exception that it raised."""

    value: Any = None
    error: Exception | None = None


class LoopExecutor:
    """Runs coroutines from other threads on an event loop.

    Calls that arrive while the loop is busy share one wake-up of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lock = threading.Lock()
        self._queued_starts: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def run(
        self,
        call: Coroutine[Any, Any, Any],
        wait_ms: int,
        finish: Callable[[Result], None],
    ) -> None:
        """Runs `call` on the loop for at most `wait_ms`.

        `finish` is called with the result, on the loop's thread.
        """

        def start() -> None:
            task = self._loop.create_task(
                _run_with_timeout(call, wait_ms, finish)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        with self._lock:
            is_first = not self._queued_starts
            self._queued_starts.append(start)
        if is_first:
            self._loop.call_soon_threadsafe(self._start_queued)

    def _start_queued(self) -> None:
        with self._lock:
            queued, self._queued_starts = self._queued_starts, []
        for start in queued:
            start()


async def _run_with_timeout(
    call: Coroutine[Any, Any, Any],
    wait_ms: int,
    finish: Callable[[Result], None],
) -> None:
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            result = Result(await call)
    except TimeoutError:
        result = Result(error=_unknown_outcome("no outcome was known in time"))
    except Exception as error:  # noqa: BLE001 - `finish` gets it
        result = Result(error=error)
    except asyncio.CancelledError:
        finish(Result(error=_unknown_outcome("the call was canceled")))
        raise
    finish(result)


def _unknown_outcome(detail: str) -> errors.Error:
    return errors.Error(errors.Kind.OUTCOME_UNKNOWN, detail, errors.Ran.UNKNOWN)


class Exchange:
    """One request, whose response can be deferred.

    A deferred exchange is released twice: by the thread that deferred it and
    by the event loop when the call has ended. The second release calls
    `resume`, so that no other thread writes the response too early.

    Args:
        resume: Called once the response can be written.
        may_defer: Returns whether the server lets one more request wait.
    """

    def __init__(
        self,
        resume: Callable[[], None],
        may_defer: Callable[[], bool] = lambda: True,
    ) -> None:
        self._resume = resume
        self._may_defer = may_defer
        self._lock = threading.Lock()
        self._pending_releases = 2
        self._respond: Callable[[Result], responses.Response] | None = None
        self._result = Result()

    @property
    def deferred(self) -> bool:
        """Returns whether the response has been deferred."""
        return self._respond is not None

    def may_defer(self) -> bool:
        """Returns whether the response may be deferred."""
        return self._may_defer()

    def defer(self, respond: Callable[[Result], responses.Response]) -> None:
        """Defers the response; `respond` will render it from the result."""
        self._respond = respond

    def finish(self, result: Result) -> None:
        """Stores the result; called once, from the event loop."""
        self._result = result
        self._release_one()

    def release(self) -> None:
        """Releases the exchange; called once by the thread that deferred it."""
        self._release_one()

    def response(self) -> responses.Response:
        """Returns the response; called after both releases."""
        if self._respond is None:
            raise ValueError("the response of this exchange was not deferred")
        return self._respond(self._result)

    def _release_one(self) -> None:
        with self._lock:
            self._pending_releases -= 1
            is_last = self._pending_releases == 0
        if is_last:
            self._resume()
