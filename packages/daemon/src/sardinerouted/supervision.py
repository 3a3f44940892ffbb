"""Runs background tasks whose failure must stop the process."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import logs

_log = logs.part("daemon")


class Supervisor:
    """The background tasks of a process.

    Attributes:
        failed: Set when a task has failed, or ended without being asked to.
    """

    def __init__(self) -> None:
        self.failed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    def watch_loop(self) -> None:
        """Takes exceptions that nobody else handles for a failure."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._take_unhandled)

    def start(
        self, name: str, work: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[None]:
        """Starts a task that is to run until it is canceled."""
        task: asyncio.Task[None] = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._take_end)
        return task

    async def stop(self) -> None:
        """Cancels all tasks and waits for their end."""
        self._stopping = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _take_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._stopping:
            return
        _log.error(
            "A background task has ended; the process stops.",
            task=task.get_name(),
            exc_info=task.exception(),
        )
        self.failed.set()

    def _take_unhandled(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        _log.error(
            "An exception was not handled.",
            where=context["message"],
            exc_info=context.get("exception"),
        )
        # One broken connection is its own affair; a dead task or timer is not.
        if "future" in context or "handle" in context:
            self.failed.set()
