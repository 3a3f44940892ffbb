"""Compares two ways to keep a task from starting twice.

Way A appends a claim for each submission to the platform log, in group
commits, and every entry follows the claims. Way B gives each entry partitions
of the key space under leases. Both ways, and a baseline, are measured with the
same stand-ins and the same backend servers:

    base  one entry; its jobs are neither forwarded nor replicated
    A     the same fleet, and three processes that follow the claims; before
          a job is submitted, one of them claims its key
    B     three entries

Prints the response times of jobs of one 50 ms task, the control traffic of
each entry and the outcomes of jobs during an outage of the log. Run with the
sources on PYTHONPATH: `python lab/ownership_ways.py`.
"""

import argparse
import asyncio
import collections
import json
import multiprocessing
import multiprocessing.connection
import queue
import random
import statistics
import threading
import time
import urllib.request
from typing import Any

import urllib3

from sardineroute_core import ids
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

CLAIM_STREAM = "claims"
ENTRY_COUNT = 3
RUN_MS = 50
TEAM = "anrc"
KIND = "receipt.issue"
CALLER_COUNT = 64


class ClaimLog:
    """Claims keys through a stream of the platform log, for one process.

    Keys that are claimed while an append is under way form the next batch.

    Attributes:
        read_bytes: Size of the records read so far, as JSON.
    """

    def __init__(self, log_url: str) -> None:
        self._log = platformlog.PlatformLog(settings.Log(url=log_url))
        self._batch: list[str] = []
        self._pending_by_key: dict[str, asyncio.Future[None]] = {}
        self._batch_ready = asyncio.Event()
        self.read_bytes = 0

    async def run(self) -> None:
        """Appends claims and follows the stream until canceled."""
        await asyncio.gather(
            platformlog.follow(self._log, CLAIM_STREAM, self._confirm_claims),
            self._append_batches(),
        )

    async def claim(self, key: str) -> None:
        """Returns when the claim has been read back."""
        pending = asyncio.get_running_loop().create_future()
        self._pending_by_key[key] = pending
        self._batch.append(key)
        self._batch_ready.set()
        await pending

    async def _append_batches(self) -> None:
        while True:
            await self._batch_ready.wait()
            self._batch_ready.clear()
            batch, self._batch = self._batch, []
            data = [[ids.job_id(TEAM, key), key] for key in batch]
            while batch:
                try:
                    await self._log.append(CLAIM_STREAM, ids.new_id(), data)
                    batch = []
                except (
                    platformlog.LogUnavailable,
                    platformlog.AppendUnknown,
                ):
                    await asyncio.sleep(0.05)

    async def _confirm_claims(self, batch: platformlog.Batch) -> None:
        for record in batch.records:
            self.read_bytes += len(json.dumps(record.data))
            for _, key in record.data:
                pending = self._pending_by_key.pop(key, None)
                if pending is not None and not pending.done():
                    pending.set_result(None)


def serve_claims(
    pipe: multiprocessing.connection.Connection, log_url: str
) -> None:
    """Claims each key received from the pipe, in a process of its own.

    For each claimed key it sends the key and the bytes read from the log so
    far. It ends when it receives None.
    """

    async def serve() -> None:
        claim_log = ClaimLog(log_url)
        background = asyncio.create_task(claim_log.run())
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()

        async def confirm(key: str) -> None:
            await claim_log.claim(key)
            pipe.send((key, claim_log.read_bytes))

        while (key := await loop.run_in_executor(None, pipe.recv)) is not None:
            task = asyncio.create_task(confirm(key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        background.cancel()

    asyncio.run(serve())


class ClaimProcesses:
    """Three processes that claim keys, as three entries would.

    Attributes:
        read_bytes: The most that one of them has read from the log.
    """

    def __init__(self, log_url: str) -> None:
        self._pipes: list[Any] = []
        self._confirmed_by_key: dict[str, threading.Event] = {}
        self.read_bytes = 0
        context = multiprocessing.get_context("spawn")
        self._processes = []
        for _ in range(ENTRY_COUNT):
            parent_end, child_end = context.Pipe()
            process = context.Process(
                target=serve_claims, args=(child_end, log_url), daemon=True
            )
            process.start()
            self._processes.append(process)
            self._pipes.append(parent_end)
            threading.Thread(
                target=self._receive, args=(parent_end,), daemon=True
            ).start()

    def claim(self, key: str, timeout_s: float) -> bool:
        """Claims a key; returns whether it was read back in time."""
        confirmed = threading.Event()
        self._confirmed_by_key[key] = confirmed
        random.choice(self._pipes).send(key)
        return confirmed.wait(timeout_s)

    def close(self) -> None:
        """Ends the processes."""
        for pipe in self._pipes:
            pipe.send(None)
        for process in self._processes:
            process.join(5)

    def _receive(self, pipe: Any) -> None:
        while True:
            try:
                key, read_bytes = pipe.recv()
            except EOFError:
                return
            self.read_bytes = max(self.read_bytes, read_bytes)
            self._confirmed_by_key[key].set()


class LoadDriver:
    """Submits jobs of one task at a steady rate, in an open loop.

    Attributes:
        times_ms: Time of each job from its planned submission to its outcome.
        outcomes: How many jobs ended with each error code, HTTP status or
            exception of the client.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, claim_processes: ClaimProcesses | None
    ) -> None:
        self._fleet = fleet
        self._claim_processes = claim_processes
        self._urls = list(fleet.entry_urls_by_name.values())
        self._token = fleet.secrets.team_tokens_by_name[TEAM]
        self._http = urllib3.PoolManager(maxsize=CALLER_COUNT, retries=False)
        self._due_keys: queue.Queue[tuple[str, float] | None] = queue.Queue()
        self.times_ms: list[float] = []
        self.outcomes: collections.Counter[str] = collections.Counter()

    def run(self, label: str, rate: float, seconds: float) -> None:
        """Submits for `seconds` and waits for all answers.

        Args:
            label: Prefix of the jobs' keys.
            rate: Jobs per second.
            seconds: How long to submit.
        """
        threads = [
            threading.Thread(target=self._submit_queued)
            for _ in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        start_s = time.monotonic()
        for number in range(int(rate * seconds)):
            due_s = start_s + number / rate
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._due_keys.put((f"{label}-{number}", due_s))
        for _ in threads:
            self._due_keys.put(None)
        for thread in threads:
            thread.join()

    def _submit_queued(self) -> None:
        while (item := self._due_keys.get()) is not None:
            key, due_s = item
            self.outcomes[self._submit(key)] += 1
            self.times_ms.append((time.monotonic() - due_s) * 1_000)

    def _submit(self, key: str) -> str:
        if self._claim_processes and not self._claim_processes.claim(key, 10.0):
            return "not claimed in time"
        job = caller.Job(key, KIND, [{"run_ms": RUN_MS}], timeout_ms=10_000)
        try:
            outcome = caller.submit(
                self._http, random.choice(self._urls), self._token, job
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return outcome.code or str(outcome.status)


def format_percentiles(times_ms: list[float]) -> str:
    """Returns the median and p99 as text."""
    percentiles = statistics.quantiles(times_ms, n=100)
    return f"median {percentiles[49]:.1f} ms, p99 {percentiles[98]:.1f} ms"


def stream_bytes(fleet: fleet_module.Fleet, stream: str) -> int:
    """Returns the size of all records of a stream, as the log sends them."""
    url = f"{fleet.log_url}/v1/streams/{stream}/records?from=0&limit=1000000"
    with urllib.request.urlopen(url) as response:
        return len(response.read())


def witness_bytes_per_entry(fleet: fleet_module.Fleet) -> float:
    """Returns the mean size of the witness messages sent by an entry.

    These messages replicate submissions to another entry. The mean is over
    `ENTRY_COUNT` entries.
    """
    total = 0.0
    for url in fleet.entry_urls_by_name.values():
        with urllib.request.urlopen(f"{url}/metrics") as response:
            for line in response.read().decode().splitlines():
                if line.startswith("sardineroute_message_bytes_total{") and (
                    "Witness" in line
                ):
                    total += float(line.split()[-1])
    return total / ENTRY_COUNT


def measure(way: str, options: argparse.Namespace) -> None:
    """Prints response times, outcomes and control traffic of one way."""
    layout_options = layout.Options(
        entries=ENTRY_COUNT if way == "B" else 1, backend_servers=1, slots=16
    )
    with fleet_module.Fleet(layout_options) as fleet:
        claim_processes = ClaimProcesses(fleet.log_url) if way == "A" else None
        time.sleep(2.0)
        warm_up = LoadDriver(fleet, claim_processes)
        warm_up.run("warm", options.rate, 3.0)
        before = (
            stream_bytes(fleet, "ownership"),
            witness_bytes_per_entry(fleet),
        )
        claim_bytes_before = (
            claim_processes.read_bytes if claim_processes else 0
        )
        steady_load = LoadDriver(fleet, claim_processes)
        steady_load.run("steady", options.rate, options.seconds)
        after = stream_bytes(fleet, "ownership"), witness_bytes_per_entry(fleet)
        print(
            f"{way}: {format_percentiles(steady_load.times_ms)}; "
            f"{dict(steady_load.outcomes)}"
        )
        if claim_processes:
            read_bytes_per_s = (
                claim_processes.read_bytes - claim_bytes_before
            ) / options.seconds
            print(
                f"{way}: claims {read_bytes_per_s:.0f} B/s read by each entry"
            )
        else:
            read_bytes_per_s = (after[0] - before[0]) / options.seconds
            sent_bytes_per_s = (after[1] - before[1]) / options.seconds
            print(
                f"{way}: leases {read_bytes_per_s:.0f} B/s read by each entry, "
                f"witness messages {sent_bytes_per_s:.0f} B/s sent by each"
            )
        if options.outage and way != "base":
            measure_outage(way, fleet, claim_processes, options)
        if claim_processes:
            claim_processes.close()


def measure_outage(
    way: str,
    fleet: fleet_module.Fleet,
    claim_processes: ClaimProcesses | None,
    options: argparse.Namespace,
) -> None:
    """Prints the response times and outcomes of jobs while the log is down."""
    fleet.set_faults("log", down=True)
    load = LoadDriver(fleet, claim_processes)
    load.run("outage", options.outage_rate, options.outage)
    fleet.set_faults("log", down=False)
    print(
        f"{way}: log down {options.outage:.0f} s: "
        f"{format_percentiles(load.times_ms)}; {dict(load.outcomes)}"
    )


def main() -> None:
    """Measures each of the chosen ways in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--outage", type=float, default=60.0)
    parser.add_argument("--outage-rate", type=float, default=5.0)
    parser.add_argument("--ways", default="base,A,B")
    options = parser.parse_args()
    for way in options.ways.split(","):
        measure(way, options)


if __name__ == "__main__":
    main()
