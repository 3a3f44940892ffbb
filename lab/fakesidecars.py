"""Simulates many sidecars in one process, to measure entries.

Each fake sidecar announces itself, accepts streams and answers each task
after its run time. No backend server stands behind it.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import membership

FAILURE_DOMAIN_COUNT = 6
REGION_COUNT = 2
MAX_CONCURRENT_ANNOUNCEMENTS = 16


@dataclasses.dataclass(frozen=True)
class Options:
    """The sidecars to simulate, read from a JSON file with these keys.

    Attributes:
        count: Number of sidecars.
        first: Number of the first sidecar, which is part of its name.
        slots: Slots that each sidecar reports.
        log_url: URL of the platform log.
        secret: Stream secret that entries and sidecars share.
        kinds: Kinds of tasks that each sidecar accepts.
    """

    count: int
    first: int
    slots: int
    log_url: str
    secret: str
    kinds: list[str]


class FakeSidecar:
    """Answers entries like a sidecar that always has a free slot.

    Args:
        time: The clock for the times in messages.
        description: Sent to each entry that connects.
    """

    def __init__(
        self, time: clock.Clock, description: messages.Describe
    ) -> None:
        self._clock = time
        self._description = description
        self._busy = 0

    async def handle(self, connection: streams.Connection) -> None:
        """Serves one entry until its stream is closed."""
        connection.send(self._description)
        async for message in connection.receive():
            if isinstance(message, messages.Start):
                self._start_task(connection, message)
            elif isinstance(message, messages.Ping):
                tick_ms = self._clock.now_ms()
                connection.send(messages.Pong(message.id, tick_ms))
            elif isinstance(message, messages.Want):
                tick_ms = self._clock.now_ms()
                connection.send(messages.Room(self._busy, 0, tick_ms))
            elif isinstance(message, messages.Configure):
                connection.send(messages.Configured(message.version))

    def _start_task(
        self, connection: streams.Connection, start: messages.Start
    ) -> None:
        self._busy += 1
        run_ms = float(json.loads(start.payload).get("run_ms", 0.0))
        loop = asyncio.get_running_loop()
        loop.call_later(
            run_ms / 1_000, self._end_task, connection, start.task_id, run_ms
        )

    def _end_task(
        self, connection: streams.Connection, task_id: str, run_ms: float
    ) -> None:
        self._busy -= 1
        connection.send(
            messages.Result(
                task_id=task_id,
                outcome=int(messages.TaskOutcome.ANSWERED),
                body=b'"done"',
                detail="",
                run_ms=round(run_ms),
                busy=self._busy,
                queued=0,
                tick_ms=self._clock.now_ms(),
            )
        )


async def _run_sidecars(options: Options) -> None:
    time = clock.Clock()
    log = platformlog.PlatformLog(
        settings.Log(url=options.log_url, timeout_ms=10_000)
    )
    announcement_limit = asyncio.Semaphore(MAX_CONCURRENT_ANNOUNCEMENTS)
    servers = await asyncio.gather(
        *(
            _start_sidecar(options, number, time, log, announcement_limit)
            for number in range(options.first, options.first + options.count)
        )
    )
    print("ready", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


async def _start_sidecar(
    options: Options,
    number: int,
    time: clock.Clock,
    log: platformlog.PlatformLog,
    announcement_limit: asyncio.Semaphore,
) -> asyncio.Server:
    name = f"fake-{number}"
    incarnation = ids.new_id()
    address = settings.Address.model_validate({"host": "127.0.0.1", "port": 0})
    description = messages.Describe(
        failure_domain=f"domain-{number % FAILURE_DOMAIN_COUNT + 1}",
        region=f"region-{number % REGION_COUNT + 1}",
        kinds=tuple(options.kinds),
        slots=options.slots,
        queue=4,
        configuration_version=0,
    )
    server = await streams.serve(
        settings.Streams(listen=address, secret=options.secret),
        streams.Identity(name, messages.Role.SIDECAR, incarnation),
        time,
        FakeSidecar(time, description).handle,
    )
    port = server.sockets[0].getsockname()[1]
    announcement = membership.Announcement(
        id=name,
        role=messages.Role.SIDECAR,
        incarnation=incarnation,
        host="127.0.0.1",
        port=port,
        failure_domain=description.failure_domain,
        region=description.region,
        kinds=description.kinds,
        slots=description.slots,
        queue=description.queue,
    )
    async with announcement_limit:
        await membership.publish(log, announcement)
    return server


def main() -> None:
    """Simulates the sidecars that the options file describes."""
    document = json.loads(pathlib.Path(sys.argv[1]).read_text())
    asyncio.run(_run_sidecars(Options(**document)))


if __name__ == "__main__":
    main()
