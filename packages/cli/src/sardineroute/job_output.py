"""Prints the state and the answers of jobs."""

from collections.abc import Mapping
from typing import Any

from sardineroute import client
from sardineroute import output


def print_job(out: output.Output, reply: client.Reply) -> None:
    """Prints a job's state and its answers, if it has any."""
    job = reply.document
    if out.as_json:
        out.print_json(job)
        return
    out.print_line(f"job {job['job']}: {job['state']}")
    answers = job.get("answers")
    if answers is not None:
        rows = [[str(index), answer] for index, answer in enumerate(answers)]
        out.print_table(["task", "answer"], rows)


def print_canceled(out: output.Output, problem: Mapping[str, Any]) -> None:
    """Prints that a job was canceled, and whether it ran."""
    if out.as_json:
        out.print_json(problem)
        return
    out.print_line(
        f"job {problem.get('job')}: canceled, ran: {problem.get('ran')}"
    )
