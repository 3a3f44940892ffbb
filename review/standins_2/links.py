"""Proxies in front of the entries' stream ports; they can be partitioned.

A partitioned connection stays open and carries nothing. What was sent on it is
delivered after the partition if both ends are still there.
"""

import asyncio
import contextlib
import threading
from collections.abc import Coroutine
from typing import Any

_READ_BYTES = 65_536


class Link:
    """Forwards connections from one address to another.

    Attributes:
        is_cut: Whether nothing passes.
        cut_dialers: Names of processes whose connections carry nothing.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._healed = asyncio.Event()
        self._healed.set()
        self.is_cut = False
        self.cut_dialers: frozenset[str] = frozenset()

    async def open(self) -> None:
        """Begins to listen."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def set_cut(
        self, is_cut: bool, dialers: frozenset[str] = frozenset()
    ) -> None:
        """Begins or ends a partition.

        Args:
            is_cut: Whether nothing passes on any connection.
            dialers: The processes whose connections carry nothing.
        """
        self.is_cut = is_cut
        self.cut_dialers = dialers
        self._healed.set()
        self._healed = asyncio.Event()
        if not is_cut and not dialers:
            self._healed.set()

    async def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        dialer: list[bytes] = [b""]
        host, _, port = self._target.rpartition(":")
        try:
            await self._pass(dialer)
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            try:
                await asyncio.gather(
                    self._pump(reader, target_writer, dialer, True),
                    self._pump(target_reader, writer, dialer, False),
                )
            finally:
                target_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialer: list[bytes],
        is_request: bool,
    ) -> None:
        while True:
            try:
                data = await reader.read(_READ_BYTES)
            except OSError:
                data = b""
            if is_request and not dialer[0]:
                # The first bytes name the process that has connected.
                dialer[0] = data
            await self._pass(dialer)
            if not data:
                # Ends both directions, as a reset does.
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    async def _pass(self, dialer: list[bytes]) -> None:
        while self.is_cut or any(
            name.encode() in dialer[0] for name in self.cut_dialers
        ):
            await self._healed.wait()


class Links:
    """All links, on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._by_name: dict[str, Link] = {}
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def open(self, name: str, listen: str, target: str) -> None:
        """Opens the link to a process."""

        async def make() -> Link:
            link = Link(listen, target)
            await link.open()
            return link

        self._by_name[name] = self._run(make())

    def cut(self, name: str) -> None:
        """Partitions a process from all others."""
        for other, link in self._by_name.items():
            if other == name:
                self._run(link.set_cut(True))
            else:
                self._run(link.set_cut(False, frozenset({name})))

    def heal(self) -> None:
        """Ends all partitions."""
        for link in self._by_name.values():
            self._run(link.set_cut(False))

    def close(self) -> None:
        """Closes all links."""
        for link in self._by_name.values():
            with contextlib.suppress(Exception):
                self._run(link.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(2)

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            10
        )
