"""Keeps a stream open to each known entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import settings
from sardineroute_core import streams

Address = tuple[str, int]
Serve = Callable[[streams.Connection], Awaitable[None]]

_REDIAL_MIN_MS = 50
# A process that ended is usually back within seconds, and is of no use until
# the others have connected to it. Hence the delay between attempts stays short
# for _RECENTLY_REACHED_MS after a connection ended. An attempt takes less than
# 1 ms of CPU.
_RECENTLY_REACHED_REDIAL_MAX_MS = 100
_RECENTLY_REACHED_MS = 5_000
_REDIAL_MAX_MS = 2_000
# Addresses that can't be reached for this long are dropped, except for seeds.
_UNREACHABLE_DROP_MS = 60_000
# More entries than in the largest fleet that the design allows for.
_MAX_ENTRIES = 256

_log = logs.get_logger("dialing")


class EntryDialer:
    """Runs a task per entry address that reconnects when its stream breaks."""

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
        """Returns the addresses that are kept connected."""
        return tuple(self._tasks_by_address)

    def add_addresses(self, addresses: list[Address]) -> bool:
        """Starts connecting to new addresses; returns whether one was new."""
        any_new = False
        for address in addresses:
            if address in self._tasks_by_address:
                continue
            if not _is_valid(address):
                _log.warning(
                    "Ignoring an invalid entry address.",
                    address=repr(address)[:80],
                )
                continue
            if len(self._tasks_by_address) >= _MAX_ENTRIES:
                _log.warning(
                    "Ignoring an entry address: too many are known.",
                    address=address[0],
                )
                break
            self._tasks_by_address[address] = (
                asyncio.get_running_loop().create_task(
                    self._keep_connected(address)
                )
            )
            any_new = True
        return any_new

    def stop(self) -> None:
        """Cancels all connections and stops reconnecting."""
        for task in self._tasks_by_address.values():
            task.cancel()

    async def _keep_connected(self, address: Address) -> None:
        last_connected_ms = self._clock.now_ms()
        delay_ms = _REDIAL_MIN_MS
        while True:
            if await self._dial(address):
                last_connected_ms = self._clock.now_ms()
                delay_ms = _REDIAL_MIN_MS
            unreachable_ms = self._clock.now_ms() - last_connected_ms
            if unreachable_ms > _UNREACHABLE_DROP_MS and not self._is_seed(
                address
            ):
                del self._tasks_by_address[address]
                _log.info(
                    "Dropped the address of an unreachable entry.",
                    address=address[0],
                )
                return
            await asyncio.sleep(delay_ms / 1_000)
            max_delay_ms = _REDIAL_MAX_MS
            if unreachable_ms < _RECENTLY_REACHED_MS:
                max_delay_ms = _RECENTLY_REACHED_REDIAL_MAX_MS
            delay_ms = min(2 * delay_ms, max_delay_ms)

    async def _dial(self, address: Address) -> bool:
        """Connects and serves the stream; returns False if it can't connect."""
        host, port = address
        try:
            connection = await streams.connect(
                settings.Address.model_validate({"host": host, "port": port}),
                self._options.streams,
                self._identity,
                self._clock,
            )
        except streams.ConnectionLost as error:
            _log.info(
                "Could not connect to an entry.",
                address=host,
                why=str(error)[:80],
            )
            return False
        peer = connection.peer.id
        _log.info("Connected to an entry.", entry=peer)
        try:
            await self._serve(connection)
        except streams.ConnectionLost as error:
            _log.warning(
                "Lost the stream to an entry.",
                entry=peer,
                why=str(error)[:80],
            )
        except Exception:  # noqa: BLE001 - ends this stream, not the process
            _log.exception("A stream failed; closing it.", entry=peer)
        finally:
            connection.abort()
        return True

    def _is_seed(self, address: Address) -> bool:
        return address in self._options.seed_addresses()


def _is_valid(address: Any) -> bool:
    """Returns whether an address from another process can be dialed."""
    if not isinstance(address, tuple) or len(address) != 2:
        return False
    host, port = address
    try:
        settings.Address.model_validate({"host": host, "port": port})
    except ValueError:
        return False
    return isinstance(host, str) and port > 0
