"""Tests the command line against real entries."""

import json
import pathlib
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import typer.testing

import conftest
from sardineroute import main
from sardineroute_core import errors
from sardineroute_standins import fleet as fleet_module

Run = Callable[..., Any]
TASKS = [{"n": n} for n in range(3)]


@pytest.fixture(scope="module")
def cli_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleet_module.Fleet]:
    """A fleet of one entry and one backend server, shared by the module."""
    yield from conftest.small_fleet(tmp_path_factory.mktemp("cli"))


def _make_runner(token: str, *urls: str) -> Run:
    def run(*arguments: str, text: str = "") -> Any:
        options = [part for url in urls for part in ("--url", url)]
        return typer.testing.CliRunner().invoke(
            main.app, ["--token", token, *options, *arguments], input=text
        )

    return run


@pytest.fixture
def run(cli_fleet: fleet_module.Fleet) -> Run:
    """Runs the command line as a team, against the module's fleet."""
    token = cli_fleet.secrets.team_tokens_by_name["anrc"]
    return _make_runner(token, *cli_fleet.entry_urls_by_name.values())


@pytest.fixture
def free_url() -> Iterator[str]:
    """A URL with no listener."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{held.getsockname()[1]}"


def test_job_is_submitted_from_a_file_or_standard_input(
    run: Run, tmp_path: pathlib.Path
) -> None:
    file = tmp_path / "job.json"
    file.write_text(json.dumps({"kind": "receipt.issue", "tasks": TASKS}))
    table = run("job", "submit", str(file), "--key", "cli/1 ?")
    assert table.exit_code == 0
    assert '"echo": {"n": 2}' in table.stdout
    shown = run("job", "show", "cli/1 ?", "--json")
    assert shown.exit_code == 0
    assert [a["echo"] for a in json.loads(shown.stdout)["answers"]] == TASKS
    from_stdin = run(
        "job",
        "submit",
        "-",
        "--kind",
        "receipt.issue",
        "--timeout",
        "5000",
        "--json",
        text=json.dumps(TASKS),
    )
    assert json.loads(from_stdin.stdout)["state"] == "complete"
    assert from_stdin.stderr.startswith("key: cli-")


def test_exit_code_distinguishes_refused_unknown_and_failed(
    run: Run, cli_fleet: fleet_module.Fleet
) -> None:
    def submit(key: str, task: object, *options: str) -> Any:
        return run(
            *("job", "submit", "-", "--kind", "receipt.issue"),
            *("--key", key, *options),
            text=json.dumps([task]),
        )

    assert submit("fails", {"fail": True}).exit_code == errors.EXIT_FAILED
    timed_out = submit("late", {"run_ms": 3_000}, "--timeout", "100")
    assert timed_out.exit_code == errors.EXIT_UNKNOWN
    refused = submit("bad", 1, "--timeout", "0")
    assert refused.exit_code == errors.EXIT_REFUSED
    assert "bad_request: timeout_ms: found 0" in refused.stderr
    assert run("job", "show", "none").exit_code == errors.EXIT_FAILED
    assert run("job", "submit", "/none").exit_code == errors.EXIT_USAGE
    assert run("job", "submit", "-", text="[").exit_code == errors.EXIT_USAGE
    run_with_wrong_token = _make_runner(
        "nobody", *cli_fleet.entry_urls_by_name.values()
    )
    shown = run_with_wrong_token("job", "show", "x", "--json")
    assert shown.exit_code == errors.EXIT_REFUSED
    assert json.loads(shown.stdout)["code"] == "unauthorized"


def test_missing_url_or_token_is_a_usage_error() -> None:
    without_options = typer.testing.CliRunner().invoke(
        main.app, ["job", "show", "x"]
    )
    assert without_options.exit_code == errors.EXIT_USAGE
    assert "SARDINEROUTE_URL" in without_options.stderr


def test_request_is_resent_with_the_same_key_after_a_lost_answer(
    fleet: conftest.FleetFactory, free_url: str
) -> None:
    running = fleet(entries=2, backend_servers=1, proxied=True)
    token = running.secrets.team_tokens_by_name["anrc"]
    proxied = running.proxied_entry_urls_by_name
    running.links.set_faults("entry-1:http", drop_replies=1)
    submit = (
        *("job", "submit", "-", "--kind", "receipt.issue", "--json"),
        *("--key", "once"),
    )
    run = _make_runner(token, free_url, proxied["entry-1"], proxied["entry-2"])
    answered = run(*submit, text=json.dumps(TASKS))
    assert answered.exit_code == 0
    assert len(json.loads(answered.stdout)["answers"]) == len(TASKS)
    assert set(running.executions().values()) == {1}
    assert len(running.executions()) == len(TASKS)
    running.links.set_faults("entry-1:http", drop_replies=100)
    run_without_answer = _make_runner(token, proxied["entry-1"], free_url)
    unknown = run_without_answer(*submit, text=json.dumps(TASKS))
    assert unknown.exit_code == errors.EXIT_UNKNOWN
    assert "the request may have run" in unknown.stderr
    no_entry = _make_runner(token, free_url)(*submit, text=json.dumps(TASKS))
    assert no_entry.exit_code == errors.EXIT_REFUSED
    assert "not run" in no_entry.stderr
    assert set(running.executions().values()) == {1}


def test_spans_print_as_a_tree(tmp_path: pathlib.Path) -> None:
    def span(span_id: str, parent: str, name: str, at_ms: int) -> str:
        return json.dumps(
            {
                "trace_id": "t1",
                "span_id": span_id,
                "parent_id": parent,
                "name": name,
                "process": "entry-1",
                "start_unix_ns": 10**18 + at_ms * 10**6,
                "end_unix_ns": 10**18 + (at_ms + 5) * 10**6,
                "attributes": {"job.key": "k1"} if name == "submit" else {},
                "error": "",
            }
        )

    one = tmp_path / "one.jsonl"
    other = tmp_path / "other.jsonl"
    one.write_text(span("b", "a", "queue", 2) + "\n")
    other.write_text(
        f"{span('a', 'caller', 'submit', 0)}\n{span('c', 'a', 'run', 1)}\n"
    )
    arguments = [
        "trace",
        "show",
        "k1",
        "--file",
        str(one),
        "--file",
        str(other),
    ]
    shown = typer.testing.CliRunner().invoke(main.app, arguments)
    assert shown.exit_code == 0
    assert shown.stdout.splitlines() == [
        "trace t1",
        "   start ms   took ms  span",
        "        0.0       5.0  submit [entry-1] job.key=k1",
        "        1.0       5.0    run [entry-1]",
        "        2.0       5.0    queue [entry-1]",
    ]
    arguments[2] = "k2"
    missing = typer.testing.CliRunner().invoke(main.app, arguments)
    assert missing.exit_code == errors.EXIT_FAILED


@pytest.fixture(scope="module")
def operator_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[fleet_module.Fleet, Run]]:
    """A fleet of one entry and one backend server, and a runner for it.

    The runner runs the command line with the operator's token.
    """
    folder = tmp_path_factory.mktemp("operated")
    for fleet in conftest.small_fleet(folder):
        urls = fleet.entry_urls_by_name.values()
        yield fleet, _make_runner(fleet.secrets.operator_token, *urls)


def test_configuration_is_published_once_and_listed(
    operator_fleet: tuple[fleet_module.Fleet, Run], tmp_path: pathlib.Path
) -> None:
    _, run = operator_fleet
    file = tmp_path / "configuration.json"
    teams = {"anrc": {"schema_version": 1, "weight": 2.0}}
    file.write_text(json.dumps({"teams": teams}))
    before = json.loads(run("config", "show", "--json").stdout)["version"]
    published = run("config", "publish", str(file), "--based-on", str(before))
    assert published.exit_code == 0, published.stderr
    assert f"version {before + 1} is accepted" in published.stdout
    outdated = run("config", "publish", str(file), "--based-on", str(before))
    assert outdated.exit_code == errors.EXIT_REFUSED
    assert "version_conflict" in outdated.stderr
    shown = json.loads(run("config", "show", "--json").stdout)
    assert shown["version"] == before + 1
    assert shown["document"]["teams"] == teams
    listed = json.loads(run("config", "history", "--json").stdout)
    assert listed["changes"][-1]["who"] == "operator"
    assert f"{before + 1}" in run("config", "history").stdout
    file.write_text('{"colour": 1}')
    refused = run("config", "publish", str(file))
    assert refused.exit_code == errors.EXIT_REFUSED
    assert "bad_configuration" in refused.stderr


def test_failure_domain_is_evacuated_and_returned(
    operator_fleet: tuple[fleet_module.Fleet, Run], tmp_path: pathlib.Path
) -> None:
    running, run = operator_fleet
    run_as_team = _make_runner(
        running.secrets.team_tokens_by_name["anrc"],
        *running.entry_urls_by_name.values(),
    )
    file = tmp_path / "job.json"
    file.write_text(json.dumps({"kind": "receipt.issue", "tasks": TASKS}))
    assert run("fleet", "evacuate", "domain-9").exit_code == errors.EXIT_USAGE
    assert run("fleet", "return", "domain-1").exit_code == errors.EXIT_FAILED
    evacuated = run("fleet", "evacuate", "domain-1")
    assert evacuated.exit_code == 0, evacuated.stderr
    assert "evacuated: domain-1" in evacuated.stdout
    assert run("fleet", "evacuate", "domain-1").exit_code == errors.EXIT_FAILED
    members = json.loads(run("fleet", "show", "--json").stdout)["members"]
    states = {member["id"]: member["state"] for member in members}
    assert states["sidecar-1"] == "evacuated"
    # The index of servers may be 100 ms old.
    time.sleep(0.2)
    refused = run_as_team("job", "submit", str(file), "--key", "evacuated")
    assert refused.exit_code == errors.EXIT_REFUSED
    assert "cannot_run" in refused.stderr
    returned = run("fleet", "return", "domain-1")
    assert "evacuated: none" in returned.stdout
    time.sleep(0.2)
    served = run_as_team("job", "submit", str(file), "--key", "returned")
    assert served.exit_code == 0, served.stderr


def test_fleet_is_listed_and_a_sidecar_drained(
    operator_fleet: tuple[fleet_module.Fleet, Run],
) -> None:
    running, run = operator_fleet
    listed = json.loads(run("fleet", "show", "--json").stdout)["members"]
    assert {member["id"] for member in listed} == {"entry-1", "sidecar-1"}
    table = run("fleet", "show").stdout
    assert "sidecar-1" in table
    assert "domain-1" in table
    unknown = run("drain", "nobody")
    assert unknown.exit_code == errors.EXIT_FAILED
    assert run("drain", "sidecar-1").exit_code == 0
    assert running.processes_by_name["sidecar-1"].wait(20) == 0
    run_as_team = _make_runner(
        running.secrets.team_tokens_by_name["anrc"],
        *running.entry_urls_by_name.values(),
    )
    refused = run_as_team("fleet", "show")
    assert refused.exit_code == errors.EXIT_REFUSED
    assert "forbidden" in refused.stderr
