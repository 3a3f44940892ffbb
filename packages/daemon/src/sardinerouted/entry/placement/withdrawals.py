"""Withdraws tasks that wait at sidecars, in batches."""

import asyncio

from sardineroute_core import messages
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.placement import backends


class Withdrawals:
    """Collects tasks to withdraw and sends one message to each sidecar.

    A batch is all that is added in one iteration of the event loop.
    """

    def __init__(
        self, servers_by_id: dict[str, backends.BackendServer]
    ) -> None:
        self._servers_by_id = servers_by_id
        self._task_ids_by_server: dict[str, list[str]] = {}

    def add(self, task: jobs.Task) -> None:
        """Withdraws a task, unless no task waits at its server."""
        server = self._servers_by_id.get(task.server_id)
        if server is None or server.load <= server.announcement.slots:
            return
        if not self._task_ids_by_server:
            asyncio.get_running_loop().call_soon(self._send)
        task_ids = self._task_ids_by_server.setdefault(server.id, [])
        task_ids.append(task.id)

    def _send(self) -> None:
        for server_id, task_ids in self._task_ids_by_server.items():
            server = self._servers_by_id.get(server_id)
            if server is not None and server.connection is not None:
                server.connection.send(messages.CancelTasks(tuple(task_ids)))
        self._task_ids_by_server.clear()
