"""Prints a soak's faults and incomplete jobs on one time line.

Run from the root: `python lab/soaktrace.py out/soak-1 [KEY...]`. With keys it
prints these jobs in place of the incomplete ones.
"""

import json
import pathlib
import sys
from typing import Any


def _faults(folder: pathlib.Path) -> list[tuple[float, str]]:
    rows = []
    for line in (folder / "soak.log").read_text().splitlines():
        at_us, _, text = line.partition(" us ")
        if text.startswith(("fault:", "lifted:", "note:")):
            rows.append((int(at_us) / 1e6, text))
    return rows


def _told(call: dict[str, Any]) -> str:
    seconds = (call["ended_us"] - call["sent_us"]) / 1e6
    word = call["code"] or call["status"] or "broken"
    ran = f" ran={call['ran']}" if call["ran"] else ""
    verb = call["verb"]
    return f"{verb} entry-{call['entry'] + 1} {seconds:.2f} s {word}{ran}"


def _jobs(folder: pathlib.Path, keys: list[str]) -> list[tuple[float, str]]:
    rows = []
    for line in (folder / "calls.jsonl").read_text().splitlines():
        job = json.loads(line)
        calls = job["calls"]
        complete = any(call["status"] == 200 for call in calls)
        canceled = any(call["verb"] == "cancel" for call in calls)
        wanted = job["key"] in keys if keys else not (complete or canceled)
        if wanted and calls:
            told = "; ".join(_told(call) for call in calls)
            rows.append((calls[0]["sent_us"] / 1e6, f"  {job['key']}: {told}"))
    return rows


def main() -> None:
    """Prints the time line of the folder that the argument names."""
    folder = pathlib.Path(sys.argv[1])
    rows = sorted(_faults(folder) + _jobs(folder, sys.argv[2:]))
    for at_s, text in rows:
        print(f"{at_s - rows[0][0]:8.2f} {text}")


if __name__ == "__main__":
    main()
