"""Calls to a worker from the event loop, with leases and fencing token."""

import asyncio
import concurrent.futures
import time as system_time
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted.worker import runlog
from sardinerouted.worker import runtable

# Length of the lease of all runs at the worker. Together with the entry's
# lease and the time to stop a run, it stays below the 1,300 ms after which
# callers retry a job.
RUN_LEASE_MS = 450
# A worker that has left all calls unanswered for this long gets no further
# lease. The time covers several calls with their timeouts.
_MAX_UNANSWERED_MS = 200
# All runs at the worker have ended this long after it was sent the last lease.
# Allows for a worker clock that is 2 % slow and was read up to 1,500 ms before.
_LEASES_EXPIRED_AFTER_MS = 550
_REQUEST_THREADS = 8
_RENEWAL_THREADS = 2
# Added to the token when the worker has seen a higher one, which came from a
# sidecar whose clock was ahead.
_TOKEN_STEP_MS = 60_000

_log = logs.get_logger("worker")


class WorkerCalls:
    """Calls a `hosting.WorkerClient` in threads, for use on the event loop.

    Tracks the worker's clock offset, the fencing token, the time since which
    the worker hasn't answered, and whether it refuses connections. All calls
    raise the exceptions of `hosting.WorkerClient`.
    """

    def __init__(self, time: clock.Clock, client: hosting.WorkerClient) -> None:
        self._clock = time
        self._client = client
        # Higher than the token of any earlier sidecar of this worker, unless
        # the system clock was set back; then the worker rejects it.
        self._token = int(system_time.time() * 1_000)
        self._offset_ms: int | None = None
        self._unanswered_since_ms: int | None = None
        self._is_refusing = False
        self._answer_count = 0
        self._lease_sent_ms = 0
        self._request_pool = concurrent.futures.ThreadPoolExecutor(
            _REQUEST_THREADS, thread_name_prefix="order"
        )
        self._renewal_pool = concurrent.futures.ThreadPoolExecutor(
            _RENEWAL_THREADS, thread_name_prefix="hold"
        )

    @property
    def have_leases_expired(self) -> bool:
        """Returns whether the leases of all runs have expired.

        Always false for a worker that has answered the last call.
        """
        return (
            self._unanswered_since_ms is not None
            and self._clock.now_ms()
            > self._lease_sent_ms + _LEASES_EXPIRED_AFTER_MS
        )

    @property
    def is_refusing(self) -> bool:
        """Returns whether the last call found no process at the address."""
        return self._is_refusing

    async def start(
        self, worker: str, run: runtable.Run, may_retry: Callable[[], bool]
    ) -> hosting.StartReply:
        """Starts a run; retries once if the worker doesn't answer.

        Starts are idempotent: a worker that has the run already answers
        `STARTED`.

        Args:
            worker: The worker's id.
            run: The run to start.
            may_retry: Returns whether a second request may still be sent.
        """
        try:
            return await self._start(worker, run)
        except hosting.Unreached:
            raise
        except hosting.Unanswered as error:
            if not may_retry():
                raise
            why = str(error)[:80]
            _log.info("A start is retried.", **runlog.run_fields(run), why=why)
        try:
            reply = await self._start(worker, run)
        except hosting.Unreached as error:
            raise hosting.Unanswered(f"the retry failed: {error}") from error
        if reply is hosting.StartReply.OLD:
            # The first request started the run, and it has ended since. The
            # worker lists its end.
            return hosting.StartReply.STARTED
        if reply is not hosting.StartReply.STARTED:
            # Only the retry was refused. The first request may still be
            # carried out.
            raise hosting.Unanswered(f"the retry was refused: {reply.value}")
        return reply

    async def _start(
        self, worker: str, run: runtable.Run
    ) -> hosting.StartReply:
        """Sends one start request; raises the token if that was refused."""
        reply, clock_ms = await self._call(
            self._request_pool,
            self._client.start,
            worker,
            run.ref,
            run.request.payload,
            self._lease_until_ms(),
            self._token,
        )
        if clock_ms is not None:
            self.update_clock(clock_ms)
        if reply is hosting.StartReply.FENCED:
            self._raise_token()
        return hosting.StartReply(reply)

    async def stop(self, worker: str, ref: hosting.RunRef) -> None:
        """Stops a run, or makes sure that it never starts."""
        try:
            await self._call(
                self._request_pool, self._client.stop, worker, ref, self._token
            )
        except hosting.Rejected as error:
            self._handle_rejection(str(error))
            raise

    async def renew_lease(
        self, worker: str, acknowledged: int, wait_ms: int, extend: bool
    ) -> hosting.WorkerRuns:
        """Returns the worker's runs and their ends; may renew their lease.

        Args:
            worker: The worker's id.
            acknowledged: Sequence number of the last end received.
            wait_ms: How long the worker may wait for a run to end before it
                answers.
            extend: Whether to renew the lease, which covers all runs at the
                worker.
        """
        try:
            worker_runs = await self._call(
                self._renewal_pool,
                self._client.renew_leases,
                worker,
                self._lease_until_ms() if extend else 0,
                self._token,
                acknowledged,
                wait_ms,
            )
        except hosting.Rejected as error:
            self._handle_rejection(str(error))
            raise
        assert isinstance(worker_runs, hosting.WorkerRuns)
        return worker_runs

    def update_clock(self, clock_ms: int) -> None:
        """Updates the clock offset from a reading of the worker's clock.

        The reading is older than now, so that times computed from it are
        never later than the worker's own.
        """
        self._offset_ms = clock_ms - self._clock.now_ms()

    def record_answer(self) -> None:
        """Records that the worker has answered or sent a heartbeat."""
        self._unanswered_since_ms = None
        self._is_refusing = False
        self._answer_count += 1

    def reset_clock(self) -> None:
        """Discards the clock offset of an earlier incarnation of the worker."""
        self._offset_ms = None

    def _lease_until_ms(self) -> int:
        """Returns the end of a new lease in the worker's clock, or 0 for none.

        A worker that doesn't answer gets no lease, so that the time by which
        its runs have ended is known.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._unanswered_since_ms
        if since_ms is not None and now_ms - since_ms > _MAX_UNANSWERED_MS:
            return 0
        if self._offset_ms is None:
            return 0
        self._lease_sent_ms = now_ms
        return now_ms + self._offset_ms + RUN_LEASE_MS

    async def _call(
        self,
        pool: concurrent.futures.Executor,
        function: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        answers_before = self._answer_count
        try:
            result = await _in_thread(pool, function, *arguments)
        except hosting.Unanswered as error:
            self._record_failure(error, self._answer_count > answers_before)
            raise
        except hosting.Rejected:
            self.record_answer()
            raise
        self.record_answer()
        return result

    def _record_failure(
        self, error: hosting.Unanswered, answered_since: bool
    ) -> None:
        """Records a call without an answer; logs the first one in a row.

        A refused call shows nothing about a worker that has answered since it
        was sent: its process may have started in between.
        """
        now_ms = self._clock.now_ms()
        refused = isinstance(error, hosting.NotListening) and not answered_since
        if self._unanswered_since_ms is None or refused != self._is_refusing:
            _log.info(
                "The worker has not answered a call.",
                refused=refused,
                silent_ms=now_ms - (self._unanswered_since_ms or now_ms),
                why=str(error)[:160],
            )
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        self._is_refusing = refused

    def _handle_rejection(self, reason: str) -> None:
        # The reason contains this word if the worker has seen a higher token.
        if "fence" in reason:
            self._raise_token()

    def _raise_token(self) -> None:
        self._token += _TOKEN_STEP_MS
        _log.warning("The fencing token was raised.", next_token=self._token)


async def _in_thread(
    pool: concurrent.futures.Executor,
    function: Callable[..., Any],
    *arguments: Any,
) -> Any:
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(pool, function, *arguments)
