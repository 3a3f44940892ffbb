"""Prints jobs."""

from collections.abc import Mapping
from typing import Any

from sardineroute import client
from sardineroute import output


def show(out: output.Output, reply: client.Reply) -> None:
    """Prints a job that has not failed."""
    job = reply.document
    if out.as_json:
        out.json(job)
        return
    out.line(f"job {job['job']}: {job['state']}")
    answers = job.get("answers")
    if answers is not None:
        rows = [[str(index), answer] for index, answer in enumerate(answers)]
        out.table(["task", "answer"], rows)


def show_canceled(out: output.Output, problem: Mapping[str, Any]) -> None:
    """Prints a job that was canceled as asked."""
    if out.as_json:
        out.json(problem)
        return
    out.line(f"job {problem.get('job')}: canceled, ran: {problem.get('ran')}")
