"""Prints the faults and the incomplete jobs of a soak test in time order.

Run from the repository root: `python lab/soaktrace.py out/soak-1 [KEY...]`.
The first argument is the output folder of the soak test. With keys, the jobs
that have these keys are printed instead of the incomplete ones.
"""

import json
import pathlib
import sys
from typing import Any


def _fault_rows(folder: pathlib.Path) -> list[tuple[float, str]]:
    rows = []
    for line in (folder / "soak.log").read_text().splitlines():
        at_us, _, text = line.partition(" us ")
        if text.startswith(("fault:", "lifted:", "note:")):
            rows.append((int(at_us) / 1e6, text))
    return rows


def _format_call(call: dict[str, Any]) -> str:
    duration_s = (call["ended_us"] - call["sent_us"]) / 1e6
    result = call["code"] or call["status"] or "broken"
    ran = f" ran={call['ran']}" if call["ran"] else ""
    verb = call["verb"]
    return f"{verb} entry-{call['entry'] + 1} {duration_s:.2f} s {result}{ran}"


def _job_rows(folder: pathlib.Path, keys: list[str]) -> list[tuple[float, str]]:
    rows = []
    for line in (folder / "calls.jsonl").read_text().splitlines():
        job = json.loads(line)
        calls = job["calls"]
        complete = any(call["status"] == 200 for call in calls)
        canceled = any(call["verb"] == "cancel" for call in calls)
        is_selected = job["key"] in keys if keys else not (complete or canceled)
        if is_selected and calls:
            text = "; ".join(_format_call(call) for call in calls)
            rows.append((calls[0]["sent_us"] / 1e6, f"  {job['key']}: {text}"))
    return rows


def main() -> None:
    """Prints the timeline of the output folder that the argument names."""
    folder = pathlib.Path(sys.argv[1])
    rows = sorted(_fault_rows(folder) + _job_rows(folder, sys.argv[2:]))
    for at_s, text in rows:
        print(f"{at_s - rows[0][0]:8.2f} {text}")


if __name__ == "__main__":
    main()
