"""Keeps a stream to each entry that is known."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import settings
from sardineroute_core import streams

Address = tuple[str, int]
Serve = Callable[[streams.Connection], Awaitable[None]]

_REDIAL_MIN_MS = 50
# A process that ended is mostly back within some seconds, and is of no use
# until the others have reached it. A try costs less than 1 ms of processor.
_REDIAL_SOON_MS = 100
_SOON_MS = 5_000
_REDIAL_MAX_MS = 2_000
# An address that nobody has answered at for so long is forgotten; seeds stay.
_FORGET_MS = 60_000
# More entries than the largest fleet that is designed for.
_MAX_ENTRIES = 256

_log = logs.part("dialing")


class Dialers:
    """One task for each address; it dials again whenever its stream breaks."""

    def __init__(
        self,
        options: settings.HostedEntry | settings.HostedSidecar,
        identity: streams.Identity,
        time: clock.Clock,
        serve: Serve,
    ) -> None:
        self._options = options
        self._identity = identity
        self._clock = time
        self._serve = serve
        self._tasks_by_address: dict[Address, asyncio.Task[None]] = {}

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Returns the addresses that are dialed."""
        return tuple(self._tasks_by_address)

    def learn(self, addresses: list[Address]) -> bool:
        """Dials the addresses; returns whether any of them was new."""
        learned = False
        for address in addresses:
            if address in self._tasks_by_address:
                continue
            if len(self._tasks_by_address) >= _MAX_ENTRIES:
                _log.warning("Too many entries.", address=address[0])
                break
            self._tasks_by_address[address] = (
                asyncio.get_running_loop().create_task(self._keep(address))
            )
            learned = True
        return learned

    def stop(self) -> None:
        """Dials nobody any more."""
        for task in self._tasks_by_address.values():
            task.cancel()

    async def _keep(self, address: Address) -> None:
        reached_ms = self._clock.now_ms()
        pause_ms = _REDIAL_MIN_MS
        while True:
            if await self._dial(address):
                reached_ms = self._clock.now_ms()
                pause_ms = _REDIAL_MIN_MS
            unreached_ms = self._clock.now_ms() - reached_ms
            if unreached_ms > _FORGET_MS and not self._is_seed(address):
                del self._tasks_by_address[address]
                _log.info("An entry is forgotten.", address=address[0])
                return
            await asyncio.sleep(pause_ms / 1_000)
            longest_ms = _REDIAL_MAX_MS
            if unreached_ms < _SOON_MS:
                longest_ms = _REDIAL_SOON_MS
            pause_ms = min(2 * pause_ms, longest_ms)

    async def _dial(self, address: Address) -> bool:
        """Serves one stream until it breaks; returns whether there was one."""
        host, port = address
        try:
            connection = await streams.connect(
                settings.Address.model_validate({"host": host, "port": port}),
                self._options.streams,
                self._identity,
                self._clock,
            )
        except streams.ConnectionLost as error:
            _log.info("No stream.", address=host, why=str(error)[:80])
            return False
        peer = connection.peer.id
        _log.info("An entry is reached.", entry=peer)
        try:
            await self._serve(connection)
        except streams.ConnectionLost as error:
            _log.warning("An entry is lost.", entry=peer, why=str(error)[:80])
        finally:
            connection.abort()
        return True

    def _is_seed(self, address: Address) -> bool:
        return address in self._options.seed_addresses()
