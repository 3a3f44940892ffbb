"""A heartbeat of another writer replaces the runner that a sidecar serves."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

TRAFFIC_S = 12.0
FIRST_FOREIGN_S = 4.0
SECOND_FOREIGN_S = 8.0


async def send_foreign_heartbeat(fleet: standins.Fleet, runner: int) -> None:
    """Sends a heartbeat that names a service which no configuration has."""
    body = {
        "service": "not-ours",
        "address": "127.0.0.1:9",
        "zone": "zone-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 8_000, "memMb": 16_384},
        "labels": ["a", "r1-1"],
        "clockMs": 1_000,
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    reply = await standins.call(
        fleet.runners[runner].control,
        "POST",
        "/v1/instances/i-ffff0000/heartbeat",
        json.dumps(body).encode(),
    )
    fleet.record.add(
        "foreign heartbeat",
        sidecar=runner,
        status=reply[0] if reply else 0,
    )


async def case() -> bool:
    """Returns whether two runs of a task were at work at the same time."""
    fleet = standins.Fleet(entries=2, runners=4)
    jobs: list[asyncio.Task[int]] = []
    try:
        await fleet.start()
        start_s = time.monotonic()
        foreign_s = [FIRST_FOREIGN_S, SECOND_FOREIGN_S]
        while (elapsed_s := time.monotonic() - start_s) < TRAFFIC_S:
            jobs.append(
                asyncio.create_task(
                    fleet.submit(len(jobs) % 2, standins.job_id(), 2, 900)
                )
            )
            if (
                standins.has_trouble()
                and foreign_s
                and elapsed_s > foreign_s[0]
            ):
                await send_foreign_heartbeat(fleet, 2 - len(foreign_s))
                del foreign_s[0]
            await asyncio.sleep(random.uniform(0.08, 0.12))
        statuses = await asyncio.gather(*jobs)
        pairs = standins.overlapping(fleet.runs())
        fleet.record.add(
            "result",
            jobs=len(statuses),
            completed=statuses.count(200),
            overlaps=len(pairs),
        )
        for first, second, both_ms in pairs:
            fleet.record.add(
                "TWICE",
                task=first.task,
                first=f"{first.runner}/{first.number}",
                second=f"{second.runner}/{second.number}",
                both_ms=both_ms,
            )
        if not standins.has_trouble() and statuses.count(200) < len(statuses):
            raise standins.CannotRun("jobs failed without the disruption")
        return bool(pairs)
    finally:
        await fleet.close()
        fleet.record.write(FOLDER)


sys.exit(standins.run_case(case))
