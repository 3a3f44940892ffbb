"""Tests that a background task that ends makes the process stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from sardinerouted import supervision


async def _fail() -> None:
    raise ValueError("broken")


async def _return() -> None:
    return


async def _fail_in_a_callback() -> None:
    asyncio.get_running_loop().call_soon(int, "broken")
    await asyncio.sleep(10)


@pytest.mark.parametrize("work", [_fail, _return, _fail_in_a_callback])
def test_ended_task_sets_failed(
    work: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    async def run() -> None:
        supervisor = supervision.Supervisor()
        supervisor.handle_loop_exceptions()
        supervisor.start("work", work())
        await asyncio.wait_for(supervisor.failed.wait(), 5)
        await supervisor.stop()

    asyncio.run(run())


def test_canceled_task_is_no_failure() -> None:
    async def run() -> None:
        supervisor = supervision.Supervisor()
        canceled = supervisor.start("link", asyncio.sleep(10))
        supervisor.start("other", asyncio.sleep(10))
        canceled.cancel()
        await supervisor.stop()
        assert not supervisor.failed.is_set()

    asyncio.run(run())
