"""Starts, signals and stops the processes of a fleet."""

import concurrent.futures
import contextlib
import ctypes
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable

import psutil

TAIL_BYTES = 4_000

_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


_STOPPED_TIMEOUT_S = 5.0
_STOPPED_POLL_S = 0.001


def _kill_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def python_command(module_arguments: list[str]) -> list[str]:
    """Returns the command that runs a module with this Python interpreter."""
    return [sys.executable, "-m", *module_arguments]


class Spawner:
    """Starts child processes that the kernel kills when this process ends.

    The kernel sends the signal when the thread that started the child ends.
    So one thread, which runs until `close`, starts all children.
    """

    def __init__(self) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="spawner"
        )

    def spawn(
        self, arguments: list[str], output: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        """Starts a process; its output is appended to the file `output`."""
        return self._thread.submit(self._start, arguments, output).result()

    def close(self) -> None:
        """Ends the thread; the kernel kills the children that still run."""
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
                preexec_fn=_kill_with_parent,
                # Otherwise Ctrl-C in a terminal would signal the child, too.
                start_new_session=True,
            )


def _environment() -> dict[str, str]:
    paths = [path for path in sys.path if path]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class Process:
    """One process of a fleet; it can be started several times in sequence.

    Attributes:
        name: Name of the process in the fleet.
        ready_url: URL that returns 200 when the process is ready.
        ca_file: File of CA certificates that verify it, for HTTPS.
        output: File to which its output is appended.
    """

    def __init__(
        self,
        spawner: Spawner,
        name: str,
        module_arguments: list[str],
        ready_url: str,
        output: pathlib.Path,
        ca_file: str | None = None,
    ) -> None:
        self.name = name
        self.ca_file = ca_file
        self.ready_url = ready_url
        self.output = output
        self._spawner = spawner
        self._arguments = python_command(module_arguments)
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id; 0 before the first start."""
        return self._child.pid if self._child else 0

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code, or None while it runs or before a start."""
        return self._child.poll() if self._child else None

    @property
    def running(self) -> bool:
        """Returns whether it has been started and hasn't ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Starts the process.

        Raises:
            RuntimeError: It is already running.
        """
        if self.running:
            raise RuntimeError(f"{self.name} is already running")
        self._child = self._spawner.spawn(self._arguments, self.output)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process has been started and hasn't ended."""
        if self._child:
            self._child.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Waits until the process has ended and returns its exit code.

        Raises:
            RuntimeError: The process was never started.
            subprocess.TimeoutExpired: It still runs after the timeout.
        """
        if self._child is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._child.wait(timeout_s)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        if self._child:
            self._child.kill()
            self._child.wait()

    def output_tail(self) -> str:
        """Returns the last `TAIL_BYTES` of its output."""
        if not self.output.exists():
            return ""
        data = self.output.read_bytes()[-TAIL_BYTES:]
        return data.decode(errors="replace")


def wait_until_stopped(process: Process) -> None:
    """Waits until a process to which SIGSTOP was sent has stopped or ended."""
    end_s = time.monotonic() + _STOPPED_TIMEOUT_S
    # The process may end between the two looks at it.
    with contextlib.suppress(psutil.NoSuchProcess):
        while process.running and time.monotonic() < end_s:
            if psutil.Process(process.pid).status() == psutil.STATUS_STOPPED:
                return
            time.sleep(_STOPPED_POLL_S)


def stop(group: Iterable[Process], timeout_s: float) -> None:
    """Stops processes: SIGTERM to all, then SIGKILL after a timeout.

    SIGCONT lets paused processes handle the SIGTERM.
    """
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


def output_tails(group: Iterable[Process]) -> str:
    """Returns the end of the output of each process, with its exit code."""
    parts = [
        f"--- {process.name} (exit code {process.exit_code})\n"
        f"{process.output_tail()}"
        for process in group
    ]
    return "\n".join(parts)
