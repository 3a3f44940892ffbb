"""Fixtures that run real processes on the loopback interface."""

import itertools
import pathlib
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import ports as ports_module
from sardineroute_standins import processes

FleetFactory = Callable[..., fleet_module.Fleet]
StandinFactory = Callable[..., str]

_FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    report: Any = yield
    item.stash[_FAILED] = item.stash.get(_FAILED, False) or report.failed
    return report


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests listed in KNOWN-RED.txt as expected to fail."""
    listed = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
    if not listed.exists():
        return
    names = {
        line.strip()
        for line in listed.read_text().splitlines()
        if line.startswith("tests/")
    }
    for item in items:
        if item.nodeid in names:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt"))


@pytest.fixture
def fleet(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> Iterator[FleetFactory]:
    """Starts fleets, as in `fleet(entries=2, proxied=True)`.

    The keyword arguments are those of `layout.Options`; by default a fleet has
    2 entries and 3 backend servers. If the test fails, the output of each
    process is printed.
    """
    fleets: list[fleet_module.Fleet] = []

    def make(**options: Any) -> fleet_module.Fleet:
        folder = tmp_path / f"fleet-{len(fleets) + 1}"
        folder.mkdir()
        fleet_options = {"entries": 2, "backend_servers": 3, **options}
        new_fleet = fleet_module.Fleet(layout.Options(**fleet_options), folder)
        fleets.append(new_fleet)
        new_fleet.start()
        return new_fleet

    yield make
    for started_fleet in fleets:
        if request.node.stash.get(_FAILED, False):
            print(started_fleet.outputs())
        started_fleet.stop(graceful=False)


@pytest.fixture
def standin(tmp_path: pathlib.Path) -> Iterator[StandinFactory]:
    """Starts a stand-in for an external service and returns its URL.

    The role is that of the stand-ins' command, as in `standin("log")`.
    """
    ports = ports_module.Ports()
    spawner = processes.Spawner()
    started: list[processes.Process] = []
    numbers = itertools.count()

    def start(role: str, *arguments: str) -> str:
        port = ports.reserve()
        url = layout.url(port)
        name = f"{role}-{next(numbers)}"
        process = processes.Process(
            spawner,
            name,
            [fleet_module.STANDINS, role, "--port", str(port), *arguments],
            f"{url}/readyz",
            tmp_path / f"{name}.out",
        )
        started.append(process)
        process.start()
        fleet_module.wait_ready([process])
        return url

    yield start
    for process in started:
        print(processes.output_tails([process]))
        process.kill()
    spawner.close()
    ports.release()


@pytest.fixture
def http() -> Iterator[urllib3.PoolManager]:
    pool = urllib3.PoolManager(maxsize=256, retries=False, timeout=20.0)
    yield pool
    pool.clear()


def small_fleet(folder: pathlib.Path) -> Iterator[fleet_module.Fleet]:
    """Yields a fleet of one entry and one backend server, then stops it."""
    new_fleet = fleet_module.Fleet(
        layout.Options(entries=1, backend_servers=1), folder
    )
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.stop(graceful=False)
