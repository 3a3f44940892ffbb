"""Decides whether a run waits at a worker that is full, or is sent back.

Load pattern: callers compete for too little room. Several entries choose the
same worker between two of its load reports, and all runs but the first find it
full. Those that are sent back find the next worker full too; those that wait in
vain are late wherever they are sent then. On a fleet at its limit, nearly all
jobs that were late had lost their time in one of these ways.

The sidecar alone knows what ends when. It keeps a run that is on time here, and
sends one back while it can still be on time elsewhere.
"""

from sardinerouted.worker import forecast
from sardinerouted.worker import load
from sardinerouted.worker import runtable
from sardinerouted.worker import speed

# Time in which a run that is sent back is at the next worker: two messages, on
# links that are in use, and the entry's choice.
_RESEND_MS = 20
# From the end of a run to the reply to the caller.
_REPLY_MS = 15
# A run that has not been sent back yet waits only if it would be on time after
# a wait this many times as long: another worker may be idle.
_FIRST_MARGIN = 2.0
# A run that was sent back this often stays: no worker has room for it in time.
_MAX_RETURNS = 3


def sent_back(
    runs: runtable.RunTable,
    tracker: speed.SpeedTracker,
    now_ms: int,
    arrived: runtable.Run | None,
    is_open: bool,
) -> list[runtable.Run]:
    """Returns the waiting runs that had better start elsewhere.

    Args:
        runs: The runs of the worker.
        tracker: The worker's measured slowness and failures.
        now_ms: The current time.
        arrived: A run that was added just now; None if none was.
        is_open: Whether runs start as soon as they fit. If not, it isn't known
            when one does.
    """
    waiting = runs.waiting()
    if not waiting or not is_open:
        return [
            run
            for run in waiting
            if run is arrived and not run.request.may_wait
        ]
    is_healthy = not load.trouble(runs, tracker, now_ms)

    def is_sent_back(run: runtable.Run, wait_ms: float) -> bool:
        if run is arrived:
            return not is_kept(run, wait_ms, now_ms, is_healthy)
        return is_better_elsewhere(run, wait_ms, now_ms)

    return [
        run
        for run, wait_ms in forecast.expected_waits(
            runs, tracker.slowness, now_ms, is_sent_back
        )
        if is_sent_back(run, wait_ms)
    ]


def is_kept(
    run: runtable.Run, wait_ms: float, now_ms: int, is_healthy: bool
) -> bool:
    """Returns whether a run that has just found the worker full waits.

    Args:
        run: The run.
        wait_ms: The expected time until it starts here.
        now_ms: The current time.
        is_healthy: Whether the worker's runs end as expected.
    """
    request = run.request
    if is_better_elsewhere(run, wait_ms, now_ms):
        return False
    if request.may_wait or not is_healthy:
        return request.may_wait
    if wait_ms <= _RESEND_MS:
        return True
    margin = _FIRST_MARGIN if request.number == 1 else 1.0
    return now_ms + margin * wait_ms <= request.rank - _REPLY_MS


def is_better_elsewhere(run: runtable.Run, wait_ms: float, now_ms: int) -> bool:
    """Returns whether a waiting run would be late here, but isn't yet.

    Args:
        run: The run.
        wait_ms: The expected time until it starts here.
        now_ms: The current time.
    """
    request = run.request
    if request.number > _MAX_RETURNS or request.is_suspect:
        return False
    latest_ms = request.rank - _REPLY_MS
    return now_ms + _RESEND_MS <= latest_ms < now_ms + wait_ms
