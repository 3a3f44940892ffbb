"""Runs background tasks; the process must stop if one of them ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import logs

_log = logs.get_logger("daemon")


class Supervisor:
    """The background tasks of a process.

    Attributes:
        failed: Set when a task has failed or has returned without being
            canceled, and when a callback or future of the event loop failed.
    """

    def __init__(self) -> None:
        self.failed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    def handle_loop_exceptions(self) -> None:
        """Logs unhandled exceptions of the event loop.

        Sets `failed` if the exception ended a task or a callback.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_unhandled_exception)

    def start(
        self, name: str, work: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[None]:
        """Starts a task that must run until it is canceled."""
        task: asyncio.Task[None] = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        self._stopping = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._stopping:
            return
        _log.error(
            "A background task has ended unexpectedly; stopping the process.",
            task=task.get_name(),
            exc_info=task.exception(),
        )
        self.failed.set()

    def _on_unhandled_exception(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        _log.error(
            "Unhandled exception in the event loop.",
            where=context["message"],
            exc_info=context.get("exception"),
        )
        # With one of these keys a future or a callback has failed, which must
        # stop the process. Without them the error concerns one connection.
        if "future" in context or "handle" in context:
            self.failed.set()
