"""Tests of the format of log lines and of dropped lines."""

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
log = logs.get_logger("front")
logs.configure(settings.Logging(format="{format}", level="warning"))
log.info("Not shown.")
try:
    raise ValueError("why")
except ValueError:
    log.exception("It failed.", worker="w-1")
"""


def _lines(log_format: str) -> list[str]:
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(format=log_format)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stderr == ""
    return completed.stdout.splitlines()


def test_json_line_has_level_timestamp_prefix_and_fields() -> None:
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
def test_console_line_has_prefix_fields_and_level(part: str) -> None:
    assert part in _lines("console")[0]


def test_reader_that_stalls_does_not_block_logging() -> None:
    read_end, write_end = os.pipe()
    output = logs.Output(write_end)
    started_s = time.monotonic()
    for _ in range(1_500):
        output.msg("x" * 200)
    assert time.monotonic() - started_s < 1.0
    os.set_blocking(read_end, False)
    received = os.read(read_end, 1_000_000)
    assert set(received.splitlines()) == {b"x" * 200}
    output.msg("again")
    written = os.read(read_end, 1_000_000).splitlines()
    assert b"Dropped lines." in written[0]
    assert written[1] == b"again"
