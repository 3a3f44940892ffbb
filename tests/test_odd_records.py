"""An odd record of a worker in the store registers nothing, ends nothing."""

import asyncio
import json
import pathlib
from typing import Any

import pytest

import executorrig
import fakeplatform
import fakeworker
import hostedprocesses
from sardineroute_core import hosting
from sardinerouted.worker import recall


def _nested(depth: int) -> Any:
    value: Any = []
    for _ in range(depth):
        value = [value]
    return value


_ODD_STORED = [
    {"id": "w\r\nX: 1"},
    {"id": "w-\u20ac"},
    {"incarnation": 2**70},
    {"capacity": {"cpu_millicores": 2**70, "memory_mb": 1, "gpus": 0}},
    {"capacity": {"cpu_millicores": -5, "memory_mb": 1, "gpus": 0}},
    {"service": "x" * 5_000},
    {"labels": _nested(300)},
    {"clock_ms": 2**70},
    {"sequence": 2**70},
]


# Guards against a sidecar that ends again and again by one record of the
# store.
@pytest.mark.parametrize("change", _ODD_STORED)
def test_odd_stored_registration_registers_no_worker(change: Any) -> None:
    worker = fakeworker.FakeWorker()
    stored = json.loads(recall.encode(fakeworker.registration(worker)))
    value = json.dumps({**stored, **change}).encode()

    class Store:
        """A store with one record."""

        def newest(self, stream: str) -> hosting.Batch:
            """Returns the record."""
            return hosting.Batch((hosting.Record("side-1", value, 0),), 1)

    async def main() -> None:
        rig = executorrig.Rig(worker)
        await recall.restore_worker(Store(), "side-1", rig.executor)  # type: ignore[arg-type]
        assert rig.executor.worker is None

    asyncio.run(main())


# Guards against the same in a whole process, which then serves its worker.
@pytest.mark.parametrize("change", _ODD_STORED[:4])
def test_odd_stored_registration_ends_no_process(
    tmp_path: pathlib.Path, change: Any
) -> None:
    worker = fakeworker.FakeWorker()
    worker.id = "w-sidecar-0"
    stored = json.loads(recall.encode(fakeworker.registration(worker)))
    step = {"count": 1, "cpu": 1_000, "memMb": 10, "estimateMs": 50}
    job = {"spec": "text", "bestEffort": True, "steps": [step]}
    with fakeplatform.serve() as store:
        store.append("keyed.op", "config", hostedprocesses.configuration(3))
        record = json.dumps({**stored, **change}).encode()
        store.append("keyed.workers", "sidecar-0", record)
        fleet = hostedprocesses.Fleet(store, tmp_path, 1, [worker])
        try:
            fleet.start()
            assert fleet.submit("0" * 16, job).status == 200
            process = fleet.processes_by_name["sidecar-0"]
            assert process.poll() is None
            assert "Traceback" not in fleet.output("sidecar-0")
        finally:
            fleet.close()
