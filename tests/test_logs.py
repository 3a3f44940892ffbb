"""The form of log lines, by settings."""

import json
import os
import subprocess
import sys
import time

import pytest

from sardineroute_core import logs

PROGRAM = """
from sardineroute_core import logs
from sardineroute_core import settings
log = logs.part("front")
logs.configure(settings.Logging(format="{format}", level="warning"))
log.info("Not shown.")
try:
    raise ValueError("why")
except ValueError:
    log.exception("It failed.", worker="w-1")
"""


def _lines(form: str) -> list[str]:
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(format=form)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert ended.stderr == ""
    return ended.stdout.splitlines()


def test_json_line_has_level_time_prefix_and_values() -> None:
    (line,) = _lines("json")
    document = json.loads(line)
    assert document.pop("timestamp").endswith("Z")
    assert "ValueError: why" in document.pop("exception")
    assert document == {
        "event": "[front] It failed.",
        "level": "error",
        "worker": "w-1",
    }


@pytest.mark.parametrize("part", ["[front] It failed.", "worker=w-1", "error"])
def test_console_line_reads_for_people(part: str) -> None:
    assert part in _lines("console")[0]


def test_reader_that_stalls_holds_nobody_up() -> None:
    reading, writing = os.pipe()
    output = logs.Output(writing)
    began_s = time.monotonic()
    for _ in range(1_500):
        output.msg("x" * 200)
    assert time.monotonic() - began_s < 1.0
    os.set_blocking(reading, False)
    received = os.read(reading, 1_000_000)
    assert set(received.splitlines()) == {b"x" * 200}
    output.msg("again")
    told = os.read(reading, 1_000_000).splitlines()
    assert b"Dropped lines." in told[0]
    assert told[1] == b"again"
