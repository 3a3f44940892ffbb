"""Starts, signals and stops the real processes of a fleet."""

import concurrent.futures
import ctypes
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable

TAIL_BYTES = 4_000

_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def _die_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def python(module_arguments: list[str]) -> list[str]:
    """Returns the command that runs a module with this interpreter."""
    return [sys.executable, "-m", *module_arguments]


class Spawner:
    """Starts processes that the kernel kills when this one ends.

    The kernel ties a child to the thread that started it, so one thread,
    which lives until `close`, starts them all.
    """

    def __init__(self) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="spawner"
        )

    def spawn(
        self, arguments: list[str], output: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        """Returns a started process; `output` takes what it prints."""
        return self._thread.submit(self._start, arguments, output).result()

    def close(self) -> None:
        """Ends the thread; what it started and still runs is killed."""
        self._thread.shutdown()

    def _start(
        self, arguments: list[str], output: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        with output.open("ab") as file:
            return subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                env=_environment(),
                preexec_fn=_die_with_parent,
                # Keeps a terminal's SIGINT from the fleet's processes.
                start_new_session=True,
            )


def _environment() -> dict[str, str]:
    paths = [path for path in sys.path if path]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class Process:
    """One process of a fleet, which may be started more than once.

    Attributes:
        name: Its name in the fleet.
        ready_url: Answers 200 when the process is ready.
        authority: File of certificates that verify it, for HTTPS.
        output: The file that takes what it prints.
    """

    def __init__(
        self,
        spawner: Spawner,
        name: str,
        module_arguments: list[str],
        ready_url: str,
        output: pathlib.Path,
        authority: str | None = None,
    ) -> None:
        self.name = name
        self.authority = authority
        self.ready_url = ready_url
        self.output = output
        self._spawner = spawner
        self._arguments = python(module_arguments)
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id; 0 before the first start."""
        return self._child.pid if self._child else 0

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code, or None while it runs."""
        return self._child.poll() if self._child else None

    @property
    def running(self) -> bool:
        """Returns whether it has been started and hasn't ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Starts it."""
        if self.running:
            raise RuntimeError(f"{self.name} is already running")
        self._child = self._spawner.spawn(self._arguments, self.output)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if it runs."""
        if self._child:
            self._child.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Returns the exit code when it has ended.

        Raises:
            subprocess.TimeoutExpired: It still runs.
        """
        if self._child is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._child.wait(timeout_s)

    def kill(self) -> None:
        """Kills it and waits for its end."""
        if self._child:
            self._child.kill()
            self._child.wait()

    def tail(self) -> str:
        """Returns the last part of what it printed."""
        if not self.output.exists():
            return ""
        data = self.output.read_bytes()[-TAIL_BYTES:]
        return data.decode(errors="replace")


def stop(group: Iterable[Process], timeout_s: float) -> None:
    """Stops processes: SIGTERM to all, then SIGKILL after a bound."""
    running = [process for process in group if process.running]
    for process in running:
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGCONT)
    end_s = time.monotonic() + timeout_s
    for process in running:
        try:
            process.wait(max(0.0, end_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()


def tails(group: Iterable[Process]) -> str:
    """Returns the last part of what each process printed."""
    parts = [
        f"--- {process.name} (exit code {process.exit_code})\n{process.tail()}"
        for process in group
    ]
    return "\n".join(parts)
