"""Client of the platform's log service: append, read and follow streams."""

import asyncio
import concurrent.futures
import dataclasses
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NoReturn

import urllib3

from sardineroute_core import settings

READ_LIMIT = 1_000
LONG_POLL_MS = 2_000
_RETRY_MIN_MS = 50
_RETRY_MAX_MS = 1_000
_THREADS = 8


class LogUnavailable(Exception):
    """Raised when the log was not reached, refused a call or failed a read.

    No record was appended.
    """


class AppendUnknown(Exception):
    """Raised when it is unknown whether a record was appended.

    This includes status 500 and above: the log may fail after it has stored
    the record.
    """


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of a stream: `data` is JSON, `id` is chosen by the writer."""

    offset: int
    id: str
    data: Any


@dataclasses.dataclass(frozen=True)
class Batch:
    """The records that a read returned.

    Attributes:
        first: The oldest offset that the log still has.
        next: The offset to read from next.
        records: The records in log order.
    """

    first: int
    next: int
    records: tuple[Record, ...]


class PlatformLog:
    """Asyncio client of the log service; the HTTP calls run in threads."""

    def __init__(self, options: settings.Log) -> None:
        self._url = options.url.rstrip("/")
        self._timeout_ms = options.timeout_ms
        self._pool = _new_pool()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="log"
        )

    async def append(self, stream: str, record_id: str, data: Any) -> int:
        """Appends a record and returns its offset.

        Raises:
            LogUnavailable: The record was not appended.
            AppendUnknown: The record may have been appended; read the stream
                and look for `record_id`.
        """
        offset: int = await self._run(self._append, stream, record_id, data)
        return offset

    async def read(self, stream: str, offset: int, wait_ms: int) -> Batch:
        """Returns the records from `offset` on.

        Waits up to `wait_ms` for a first one.

        Raises:
            LogUnavailable: The log gave no usable answer.
        """
        batch: Batch = await self._run(self._read, stream, offset, wait_ms)
        return batch

    def close(self) -> None:
        """Cancels queued calls and doesn't wait for those in flight."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def _run(self, call: Callable[..., Any], *args: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, call, *args)

    def _append(self, stream: str, record_id: str, data: Any) -> int:
        try:
            response = self._pool.request(
                "POST",
                f"{self._url}/v1/streams/{stream}/records",
                json={"id": record_id, "data": data},
                timeout=self._timeout_ms / 1_000,
            )
            return _parse_append_response(response)
        except urllib3.exceptions.HTTPError as error:
            self._replace_pool()
            _raise_append_error(error)

    def _read(self, stream: str, offset: int, wait_ms: int) -> Batch:
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}/v1/streams/{stream}/records",
                fields={
                    "from": str(offset),
                    "limit": str(READ_LIMIT),
                    "wait_ms": str(wait_ms),
                },
                timeout=(self._timeout_ms + wait_ms) / 1_000,
            )
            if response.status != 200:
                raise LogUnavailable(f"the log answered {response.status}")
            return _decode_batch(response.json())
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            self._replace_pool()
            raise LogUnavailable(str(error)) from error

    def _replace_pool(self) -> None:
        # The pool's idle connections may be broken in the same way as the one
        # that failed. Calls in flight keep their connections.
        self._pool = _new_pool()


async def follow(
    log: PlatformLog,
    stream: str,
    handle: Callable[[Batch], Awaitable[None]],
    long_poll_ms: int = LONG_POLL_MS,
) -> NoReturn:
    """Reads a stream from its start, forever; retries while the log is down.

    Args:
        log: The log service.
        stream: The stream's name.
        handle: Called with each batch in order, including empty ones.
        long_poll_ms: How long the log may delay a read that has no records.
    """
    offset = 0
    wait_ms = 0
    retry_ms = _RETRY_MIN_MS
    while True:
        try:
            batch = await log.read(stream, offset, wait_ms)
        except LogUnavailable:
            await asyncio.sleep(random.uniform(0.5, 1.0) * retry_ms / 1_000)
            retry_ms = min(retry_ms * 2, _RETRY_MAX_MS)
            continue
        retry_ms = _RETRY_MIN_MS
        wait_ms = long_poll_ms
        offset = batch.next
        await handle(batch)


def _new_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(maxsize=_THREADS, retries=False, block=False)


def _parse_append_response(response: urllib3.BaseHTTPResponse) -> int:
    if response.status == 200:
        try:
            return int(response.json()["offset"])
        except (ValueError, KeyError, TypeError) as error:
            raise AppendUnknown(f"malformed answer: {error!r}") from error
    detail = f"the log answered {response.status}"
    if response.status >= 500:
        # The server may have stored the record before it failed.
        raise AppendUnknown(detail)
    raise LogUnavailable(detail)


def _raise_append_error(error: urllib3.exceptions.HTTPError) -> NoReturn:
    not_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, not_sent):
        raise LogUnavailable(str(error)) from error
    raise AppendUnknown(str(error)) from error


def _decode_batch(document: Any) -> Batch:
    records = tuple(
        Record(int(item["offset"]), str(item["id"]), item["data"])
        for item in document["records"]
    )
    return Batch(int(document["first"]), int(document["next"]), records)
