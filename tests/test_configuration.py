"""Configuration changes in real processes: races, outages and restarts."""

import concurrent.futures
import json
import time

import conftest
import operatorapi
from sardineroute_standins import logservice


def test_race_of_two_operators_has_one_winner_everywhere(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, backend_servers=3)
    process_names = operatorapi.process_names(running)
    for version in range(4):
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            replies = list(
                executor.map(
                    lambda entry, base=version: operatorapi.publish(
                        running, entry, base, float(entry[-1])
                    ),
                    ["entry-1", "entry-2"],
                )
            )
        statuses = [reply.status for reply in replies]
        assert sorted(statuses) == [200, 412]
        loser = replies[statuses.index(412)]
        assert loser.headers["ETag"] == f'"{version + 1}"'
        assert json.loads(loser.data)["code"] == "version_conflict"
        operatorapi.wait_until(
            lambda base=version: (
                set(
                    operatorapi.configuration_versions(
                        running, *process_names
                    ).values()
                )
                == {base + 1}
            ),
            operatorapi.PROPAGATION_TIMEOUT_S,
        )
        winner = float("12"[statuses.index(200)])
        for entry in running.entry_urls_by_name:
            shown = operatorapi.request(running, entry, "GET", "/v1/config")
            teams = json.loads(shown.data)["document"]["teams"]
            assert teams["anrc"]["weight"] == winner
    running.set_faults("log", down=True)
    running.restart("entry-3")
    operatorapi.wait_until(
        lambda: _is_live(running, "entry-3"), operatorapi.PROPAGATION_TIMEOUT_S
    )
    operatorapi.wait_until(
        lambda: (
            operatorapi.configuration_versions(running, "entry-3")
            == {"entry-3": 4}
        ),
        operatorapi.PROPAGATION_TIMEOUT_S,
    )
    assert "sidecar-1" in operatorapi.members(running, "entry-3")


def _is_live(running: conftest.fleet_module.Fleet, name: str) -> bool:
    try:
        return operatorapi.request(running, name, "GET", "/livez").status == 200
    except operatorapi.urllib3.exceptions.HTTPError:
        return False


def test_publishing_through_lost_answers_and_an_outage(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1)
    for version, lose_as in enumerate(["close", "503"]):
        running.set_faults("log", lose_answers=1, lose_as=lose_as)
        reply = operatorapi.publish(running, "entry-1", version, 2.0)
        assert (reply.status, reply.headers["ETag"]) == (
            200,
            f'"{version + 1}"',
        )
    running.set_faults("log", down=True)
    reply = operatorapi.publish(running, "entry-1", 2, 3.0)
    problem = json.loads(reply.data)
    assert (reply.status, problem["code"]) == (503, "log_unavailable")
    late = operatorapi.publish(running, "entry-2", 2, 4.0)
    assert json.loads(late.data)["ran"] == "no"
    running.set_faults("log", down=False)
    if problem["ran"] == "no":
        operatorapi.wait_until(
            lambda: (
                operatorapi.publish(running, "entry-2", 2, 4.0).status == 200
            ),
            operatorapi.PROPAGATION_TIMEOUT_S,
        )
    shown = operatorapi.request(running, "entry-1", "GET", "/v1/config/history")
    history = json.loads(shown.data)["changes"]
    versions = [change["version"] for change in history]
    assert versions == list(range(1, len(versions) + 1))
    assert {change["who"] for change in history} == {"operator"}


def test_silent_connections_do_not_delay_a_change(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1, proxied=True)
    operatorapi.wait_until(
        lambda: operatorapi.publish(running, "entry-2", 0, 2.0).status == 200,
        operatorapi.PROPAGATION_TIMEOUT_S,
    )
    running.links.set_faults("*", silence=True)
    reply = operatorapi.publish(running, "entry-1", 1, 3.0)
    assert reply.status == 200
    operatorapi.wait_until(
        lambda: (
            set(
                operatorapi.configuration_versions(
                    running, *operatorapi.process_names(running)
                ).values()
            )
            == {2}
        ),
        operatorapi.PROPAGATION_TIMEOUT_S,
    )


def test_snapshots_outlive_the_retention(
    fleet: conftest.FleetFactory,
) -> None:
    log = logservice.Options(retention_ms=4_000)
    running = fleet(entries=2, backend_servers=1, log=log)
    assert operatorapi.publish(running, "entry-1", 0, 2.0).status == 200
    started_s = time.monotonic()
    operatorapi.wait_until(lambda: time.monotonic() - started_s > 9.0, 20.0)
    name = running.add_entry()
    operatorapi.wait_until(
        lambda: _is_live(running, name), operatorapi.PROPAGATION_TIMEOUT_S
    )
    operatorapi.wait_until(
        lambda: operatorapi.configuration_versions(running, name) == {name: 1},
        operatorapi.PROPAGATION_TIMEOUT_S,
    )
    shown = json.loads(
        operatorapi.request(running, name, "GET", "/v1/config").data
    )
    assert shown["document"]["teams"]["anrc"]["weight"] == 2.0
    assert "sidecar-1" in operatorapi.members(running, name)


def test_operator_publishes_again_after_the_log_lost_all_records(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1)
    assert operatorapi.publish(running, "entry-1", 0, 2.0).status == 200
    for entry in running.entry_urls_by_name:
        running.kill(entry)
    running.http.request(
        "POST",
        f"{running.log_url}/trim",
        json={"stream": "configuration", "before": 100},
    )
    for entry in running.entry_urls_by_name:
        running.restart(entry)
    operatorapi.wait_until(lambda: _is_live(running, "entry-1"), 10.0)
    assert operatorapi.publish(running, "entry-1", 0, 3.0).status == 503
    operatorapi.wait_until(
        lambda: operatorapi.publish(running, "entry-1", 0, 3.0).status == 200,
        15.0,
    )
    process_names = operatorapi.process_names(running)
    operatorapi.wait_until(
        lambda: (
            set(
                operatorapi.configuration_versions(
                    running, *process_names
                ).values()
            )
            in ({2}, {3})
        ),
        operatorapi.PROPAGATION_TIMEOUT_S,
    )
    running.wait_ready(*running.entry_urls_by_name)
    assert operatorapi.publish(running, "entry-2", 0, 4.0).status == 412


def test_refusals_of_the_administration_api(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=1, backend_servers=1)
    invalid_document = {
        "dispatch": "none",
        "teams": {
            "a": {"schema_version": 3},
            "b": {"schema_version": 1, "weihgt": 2},
        },
    }

    def put(body: object, if_match: str) -> tuple[int, str]:
        reply = operatorapi.request(
            running, "entry-1", "PUT", "/v1/config", body, if_match
        )
        problem = json.loads(reply.data)
        return reply.status, problem["detail"]

    assert put({}, "")[0] == 428
    assert put({}, "*")[0] == 400
    assert put({}, '"7"')[0] == 412
    status, detail = put({"teams": invalid_document["teams"]}, '"0"')
    assert status == 422
    assert "teams.a.schema_version: found 3; allowed: 1, 2" in detail
    assert "teams.b.weihgt" in detail
    assert "dispatch" in put(invalid_document, '"0"')[1]
    token = running.secrets.team_tokens_by_name["anrc"]
    url = running.entry_urls_by_name["entry-1"]
    for path in ("/v1/config", "/v1/fleet"):
        reply = running.http.request(
            "GET", url + path, headers={"Authorization": f"Bearer {token}"}
        )
        assert reply.status == 403
