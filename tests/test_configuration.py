"""Configuration through real processes: races, outages, restarts."""

import concurrent.futures
import json
import time

import conftest
import operators
from sardineroute_standins import platform


def test_race_of_two_operators_has_one_winner_everywhere(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, backend_servers=3)
    names = operators.daemons(running)
    for version in range(4):
        with concurrent.futures.ThreadPoolExecutor(2) as operator:
            replies = list(
                operator.map(
                    lambda entry, at=version: operators.publish(
                        running, entry, at, float(entry[-1])
                    ),
                    ["entry-1", "entry-2"],
                )
            )
        statuses = [reply.status for reply in replies]
        assert sorted(statuses) == [200, 412]
        loser = replies[statuses.index(412)]
        assert loser.headers["ETag"] == f'"{version + 1}"'
        assert json.loads(loser.data)["code"] == "version_conflict"
        operators.wait_until(
            lambda at=version: (
                set(operators.versions(running, *names).values()) == {at + 1}
            ),
            operators.IN_FORCE_S,
        )
        winner = float("12"[statuses.index(200)])
        for entry in running.entry_urls_by_name:
            shown = operators.call(running, entry, "GET", "/v1/config")
            teams = json.loads(shown.data)["document"]["teams"]
            assert teams["anrc"]["weight"] == winner
    running.set_faults("log", down=True)
    running.restart("entry-3")
    operators.wait_until(
        lambda: _is_up(running, "entry-3"), operators.IN_FORCE_S
    )
    operators.wait_until(
        lambda: operators.versions(running, "entry-3") == {"entry-3": 4},
        operators.IN_FORCE_S,
    )
    assert "sidecar-1" in operators.members(running, "entry-3")


def _is_up(running: conftest.fleet_module.Fleet, name: str) -> bool:
    try:
        return operators.call(running, name, "GET", "/livez").status == 200
    except operators.urllib3.exceptions.HTTPError:
        return False


def test_publishing_through_lost_answers_and_an_outage(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1)
    for version, lose_as in enumerate(["close", "503"]):
        running.set_faults("log", lose_answers=1, lose_as=lose_as)
        reply = operators.publish(running, "entry-1", version, 2.0)
        assert (reply.status, reply.headers["ETag"]) == (
            200,
            f'"{version + 1}"',
        )
    running.set_faults("log", down=True)
    reply = operators.publish(running, "entry-1", 2, 3.0)
    problem = json.loads(reply.data)
    assert (reply.status, problem["code"]) == (503, "log_unavailable")
    late = operators.publish(running, "entry-2", 2, 4.0)
    assert json.loads(late.data)["ran"] == "no"
    running.set_faults("log", down=False)
    if problem["ran"] == "no":
        operators.wait_until(
            lambda: operators.publish(running, "entry-2", 2, 4.0).status == 200,
            operators.IN_FORCE_S,
        )
    shown = operators.call(running, "entry-1", "GET", "/v1/config/history")
    history = json.loads(shown.data)["changes"]
    versions = [change["version"] for change in history]
    assert versions == list(range(1, len(versions) + 1))
    assert {change["who"] for change in history} == {"operator"}


def test_silent_connections_do_not_hold_a_change_back(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1, proxied=True)
    operators.wait_until(
        lambda: operators.publish(running, "entry-2", 0, 2.0).status == 200,
        operators.IN_FORCE_S,
    )
    running.links.set_faults("*", silence=True)
    reply = operators.publish(running, "entry-1", 1, 3.0)
    assert reply.status == 200
    operators.wait_until(
        lambda: (
            set(
                operators.versions(
                    running, *operators.daemons(running)
                ).values()
            )
            == {2}
        ),
        operators.IN_FORCE_S,
    )


def test_snapshots_outlive_the_retention(
    fleet: conftest.FleetFactory,
) -> None:
    log = platform.Options(retention_ms=4_000)
    running = fleet(entries=2, backend_servers=1, log=log)
    assert operators.publish(running, "entry-1", 0, 2.0).status == 200
    began_s = time.monotonic()
    operators.wait_until(lambda: time.monotonic() - began_s > 9.0, 20.0)
    name = running.add_entry()
    operators.wait_until(lambda: _is_up(running, name), operators.IN_FORCE_S)
    operators.wait_until(
        lambda: operators.versions(running, name) == {name: 1},
        operators.IN_FORCE_S,
    )
    shown = json.loads(operators.call(running, name, "GET", "/v1/config").data)
    assert shown["document"]["teams"]["anrc"]["weight"] == 2.0
    assert "sidecar-1" in operators.members(running, name)


def test_operator_starts_again_after_the_log_lost_all(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1)
    assert operators.publish(running, "entry-1", 0, 2.0).status == 200
    for entry in running.entry_urls_by_name:
        running.kill(entry)
    running.http.request(
        "POST",
        f"{running.log_url}/trim",
        json={"stream": "configuration", "before": 100},
    )
    for entry in running.entry_urls_by_name:
        running.restart(entry)
    operators.wait_until(lambda: _is_up(running, "entry-1"), 10.0)
    assert operators.publish(running, "entry-1", 0, 3.0).status == 503
    operators.wait_until(
        lambda: operators.publish(running, "entry-1", 0, 3.0).status == 200,
        15.0,
    )
    names = operators.daemons(running)
    operators.wait_until(
        lambda: set(operators.versions(running, *names).values()) in ({2}, {3}),
        operators.IN_FORCE_S,
    )
    running.wait_ready(*running.entry_urls_by_name)
    assert operators.publish(running, "entry-2", 0, 4.0).status == 412


def test_refusals_of_the_administration(fleet: conftest.FleetFactory) -> None:
    running = fleet(entries=1, backend_servers=1)
    bad = {
        "dispatch": "none",
        "teams": {
            "a": {"schema_version": 3},
            "b": {"schema_version": 1, "weihgt": 2},
        },
    }

    def put(body: object, if_match: str) -> tuple[int, str]:
        reply = operators.call(
            running, "entry-1", "PUT", "/v1/config", body, if_match
        )
        problem = json.loads(reply.data)
        return reply.status, problem["detail"]

    assert put({}, "")[0] == 428
    assert put({}, "*")[0] == 400
    assert put({}, '"7"')[0] == 412
    status, detail = put({"teams": bad["teams"]}, '"0"')
    assert status == 422
    assert "teams.a.schema_version: found 3; allowed: 1, 2" in detail
    assert "teams.b.weihgt" in detail
    assert "dispatch" in put(bad, '"0"')[1]
    token = running.secrets.team_tokens_by_name["anrc"]
    url = running.entry_urls_by_name["entry-1"]
    for path in ("/v1/config", "/v1/fleet"):
        reply = running.http.request(
            "GET", url + path, headers={"Authorization": f"Bearer {token}"}
        )
        assert reply.status == 403
