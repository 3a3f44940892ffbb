"""The form of log lines, by settings."""

import json
import subprocess
import sys

import pytest

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
    assert ended.stdout == ""
    return ended.stderr.splitlines()


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
