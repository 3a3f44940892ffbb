"""Measures two ways to keep a task from starting twice, side by side.

A appends a claim for each submission to the platform log, in group commits,
and every entry tails the claims. B grants partitions by leases. Both run
against the same stand-ins and the same backend servers:

    base  one entry; its jobs need neither a hop nor a second member
    A     the same fleet; each job is claimed first by one of three processes
          that tail the claims
    B     three entries

Prints the response time of jobs of one 50 ms task, the control bytes that
each entry reads, and what an outage of the log does. Run it by
`python lab/ownership_ways.py`.
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

STREAM = "claims"
ENTRIES = 3
RUN_MS = 50
TEAM = "anrc"
KIND = "receipt.issue"
CALLERS = 64


class Claims:
    """The claims of one process: appended in groups, and tailed."""

    def __init__(self, log_url: str) -> None:
        self._log = platformlog.PlatformLog(settings.Log(url=log_url))
        self._batch: list[str] = []
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._changed = asyncio.Event()
        self.read_bytes = 0

    async def run(self) -> None:
        """Appends and tails until canceled."""
        await asyncio.gather(
            platformlog.follow(self._log, STREAM, self._take), self._commit()
        )

    async def claim(self, key: str) -> None:
        """Returns when the claim has been read back."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[key] = waiting
        self._batch.append(key)
        self._changed.set()
        await waiting

    async def _commit(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            batch, self._batch = self._batch, []
            data = [[ids.job_id(TEAM, key), key] for key in batch]
            while batch:
                try:
                    await self._log.append(STREAM, ids.new_id(), data)
                    batch = []
                except (
                    platformlog.LogUnavailable,
                    platformlog.AppendUnknown,
                ):
                    await asyncio.sleep(0.05)

    async def _take(self, batch: platformlog.Batch) -> None:
        for record in batch.records:
            self.read_bytes += len(json.dumps(record.data))
            for _, key in record.data:
                waiting = self._waiting.pop(key, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)


def serve_claims(
    pipe: multiprocessing.connection.Connection, log_url: str
) -> None:
    """Runs in a process of its own: claims the keys that the pipe brings."""

    async def serve() -> None:
        claims = Claims(log_url)
        running = asyncio.create_task(claims.run())
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()

        async def answer(key: str) -> None:
            await claims.claim(key)
            pipe.send((key, claims.read_bytes))

        while (key := await loop.run_in_executor(None, pipe.recv)) is not None:
            task = asyncio.create_task(answer(key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        running.cancel()

    asyncio.run(serve())


class Claimers:
    """Three processes that claim keys."""

    def __init__(self, log_url: str) -> None:
        self._pipes: list[Any] = []
        self._done_by_key: dict[str, threading.Event] = {}
        self.read_bytes = 0
        context = multiprocessing.get_context("spawn")
        self._processes = []
        for _ in range(ENTRIES):
            ours, theirs = context.Pipe()
            process = context.Process(
                target=serve_claims, args=(theirs, log_url), daemon=True
            )
            process.start()
            self._processes.append(process)
            self._pipes.append(ours)
            threading.Thread(
                target=self._receive, args=(ours,), daemon=True
            ).start()

    def claim(self, key: str, timeout_s: float) -> bool:
        """Returns whether the claim was read back in time."""
        done = threading.Event()
        self._done_by_key[key] = done
        random.choice(self._pipes).send(key)
        return done.wait(timeout_s)

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
            self._done_by_key[key].set()


class Load:
    """Submits jobs of one task at a steady rate, whatever the answers."""

    def __init__(
        self, running: fleet_module.Fleet, claimers: Claimers | None
    ) -> None:
        self._running = running
        self._claimers = claimers
        self._urls = list(running.entry_urls_by_name.values())
        self._token = running.secrets.team_tokens_by_name[TEAM]
        self._http = urllib3.PoolManager(maxsize=CALLERS, retries=False)
        self._keys: queue.Queue[tuple[str, float] | None] = queue.Queue()
        self.times_ms: list[float] = []
        self.outcomes: collections.Counter[str] = collections.Counter()

    def run(self, label: str, rate: float, seconds: float) -> None:
        """Submits for some seconds and waits for all answers."""
        threads = [threading.Thread(target=self._work) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        begun_s = time.monotonic()
        for number in range(int(rate * seconds)):
            due_s = begun_s + number / rate
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._keys.put((f"{label}-{number}", due_s))
        for _ in threads:
            self._keys.put(None)
        for thread in threads:
            thread.join()

    def _work(self) -> None:
        while (item := self._keys.get()) is not None:
            key, due_s = item
            self.outcomes[self._submit(key)] += 1
            self.times_ms.append((time.monotonic() - due_s) * 1_000)

    def _submit(self, key: str) -> str:
        if self._claimers and not self._claimers.claim(key, 10.0):
            return "no claim"
        job = caller.Job(key, KIND, [{"run_ms": RUN_MS}], timeout_ms=10_000)
        try:
            outcome = caller.submit(
                self._http, random.choice(self._urls), self._token, job
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return outcome.code or str(outcome.status)


def describe(times_ms: list[float]) -> str:
    """Returns the median and p99."""
    cuts = statistics.quantiles(times_ms, n=100)
    return f"median {cuts[49]:.1f} ms, p99 {cuts[98]:.1f} ms"


def log_bytes(running: fleet_module.Fleet, stream: str) -> int:
    """Returns the bytes of all records of a stream."""
    url = f"{running.log_url}/v1/streams/{stream}/records?from=0&limit=1000000"
    with urllib.request.urlopen(url) as answer:
        return len(answer.read())


def message_bytes(running: fleet_module.Fleet) -> float:
    """Returns the bytes of witness messages that one entry has sent."""
    total = 0.0
    for url in running.entry_urls_by_name.values():
        with urllib.request.urlopen(f"{url}/metrics") as answer:
            for line in answer.read().decode().splitlines():
                if line.startswith("sardineroute_message_bytes_total{") and (
                    "Witness" in line
                ):
                    total += float(line.split()[-1])
    return total / ENTRIES


def measure(way: str, options: argparse.Namespace) -> None:
    """Prints the figures of one way."""
    size = layout.Options(
        entries=ENTRIES if way == "B" else 1, backend_servers=1, slots=16
    )
    with fleet_module.Fleet(size) as running:
        claimers = Claimers(running.log_url) if way == "A" else None
        time.sleep(2.0)
        warm = Load(running, claimers)
        warm.run("warm", options.rate, 3.0)
        before = log_bytes(running, "ownership"), message_bytes(running)
        claimed = claimers.read_bytes if claimers else 0
        load = Load(running, claimers)
        load.run("steady", options.rate, options.seconds)
        after = log_bytes(running, "ownership"), message_bytes(running)
        print(f"{way}: {describe(load.times_ms)}; {dict(load.outcomes)}")
        if claimers:
            read = (claimers.read_bytes - claimed) / options.seconds
            print(f"{way}: claims {read:.0f} B/s read by each entry")
        else:
            read = (after[0] - before[0]) / options.seconds
            sent = (after[1] - before[1]) / options.seconds
            print(
                f"{way}: leases {read:.0f} B/s read by each entry, "
                f"witness messages {sent:.0f} B/s sent by each"
            )
        if options.outage and way != "base":
            outage(way, running, claimers, options)
        if claimers:
            claimers.close()


def outage(
    way: str,
    running: fleet_module.Fleet,
    claimers: Claimers | None,
    options: argparse.Namespace,
) -> None:
    """Prints what becomes of jobs submitted while the log is down."""
    running.set_faults("log", down=True)
    load = Load(running, claimers)
    load.run("outage", options.outage_rate, options.outage)
    running.set_faults("log", down=False)
    print(
        f"{way}: log down {options.outage:.0f} s: "
        f"{describe(load.times_ms)}; {dict(load.outcomes)}"
    )


def main() -> None:
    """Runs the three measurements one after another."""
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
