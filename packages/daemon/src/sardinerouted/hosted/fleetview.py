"""The HTTP route that shows operators the fleet as this entry sees it."""

import dataclasses

from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted.dispatching import scheduler as schedulers
from sardinerouted.dispatching import sidecars
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

_UNKNOWN = -1


@dataclasses.dataclass(frozen=True)
class Member:
    """A process, in the JSON format that the command line tool reads."""

    id: str
    role: str
    failure_domain: str
    state: str
    configuration_version: int
    busy: int
    slots: int
    kinds: tuple[str, ...]


def make_routes(
    scheduler: schedulers.Scheduler,
    identity: streams.Identity,
    failure_domain: str,
) -> list[routes.Route]:
    """Returns the route that lists the members of the fleet."""

    def show_fleet(_: requests.Request) -> responses.Response:
        members = [_entry_member(scheduler, identity, failure_domain)]
        members += [
            _sidecar_member(sidecar)
            for sidecar in scheduler.fleet.all_sidecars()
        ]
        evacuated = scheduler.fleet.evacuated.statement
        return responses.json_response(
            {
                "members": [dataclasses.asdict(member) for member in members],
                "evacuated": list(evacuated.domains),
                "evacuated_as_of": evacuated.position,
            }
        )

    return [routes.Route("GET", "/v1/fleet", show_fleet)]


def _entry_member(
    scheduler: schedulers.Scheduler,
    identity: streams.Identity,
    failure_domain: str,
) -> Member:
    routing_table = scheduler.routing_table
    return Member(
        id=identity.id,
        role=messages.Role.ENTRY.value,
        failure_domain=failure_domain,
        state="connected" if routing_table else "without configuration",
        configuration_version=(
            routing_table.version if routing_table else _UNKNOWN
        ),
        busy=scheduler.in_flight(),
        slots=_UNKNOWN,
        kinds=(),
    )


def _sidecar_member(sidecar: sidecars.Sidecar) -> Member:
    worker = sidecar.worker
    return Member(
        id=sidecar.id,
        role=messages.Role.SIDECAR.value,
        failure_domain=worker.failure_domain if worker else "",
        state=_state(sidecar),
        configuration_version=_UNKNOWN,
        busy=len(sidecar.tasks_by_id),
        slots=_UNKNOWN,
        kinds=(worker.service,) if worker else (),
    )


def _state(sidecar: sidecars.Sidecar) -> str:
    if sidecar.connection is None:
        return "unreachable"
    if sidecar.worker is None or not sidecar.worker.id:
        return "without worker"
    if sidecar.is_evacuated:
        return "evacuated"
    if not sidecar.worker.ready:
        return "leaving"
    return "in trouble" if sidecar.trouble else "connected"
