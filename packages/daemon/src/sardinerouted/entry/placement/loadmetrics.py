"""Metrics of queues, backend servers and refused jobs at an entry."""

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from sardinerouted.entry.placement import dispatch

_REFUSALS = prometheus_client.Counter(
    "sardineroute_refusals",
    "Jobs refused by their home entry.",
    ["team", "code"],
)


def count_refusal(team: str, code: str) -> None:
    """Counts one refused job."""
    _REFUSALS.labels(team, code).inc()


def register(dispatcher: dispatch.Dispatcher) -> None:
    """Registers the metrics of a dispatcher; to be called once per process."""
    prometheus_client.REGISTRY.register(_Collector(dispatcher))


class _Collector(registry.Collector):
    """Reads the dispatcher whenever the metrics are scraped."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    def describe(self) -> Iterator[core.Metric]:
        """Returns nothing: the metric families are only built by `collect`."""
        return iter(())

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families."""
        yield from self._tasks()
        yield from self._servers()

    def _tasks(self) -> Iterator[core.Metric]:
        queued = core.GaugeMetricFamily(
            "sardineroute_queued_tasks",
            "Tasks that are queued at this entry.",
            labels=["team", "kind"],
        )
        running = core.GaugeMetricFamily(
            "sardineroute_running_tasks",
            "Tasks that this entry has sent and that have not ended.",
            labels=["team", "kind"],
        )
        for count in self._dispatcher.queue.counts():
            queued.add_metric([count.team, count.kind], count.queued)
            running.add_metric([count.team, count.kind], count.running)
        yield queued
        yield running

    def _servers(self) -> Iterator[core.Metric]:
        outstanding = core.GaugeMetricFamily(
            "sardineroute_outstanding_tasks",
            "Tasks that this entry sent to a worker and that have not ended.",
            labels=["worker"],
        )
        slowness = core.GaugeMetricFamily(
            "sardineroute_slowness",
            "Learned run times of a backend server relative to the fleet.",
            labels=["worker"],
        )
        ejected = core.GaugeMetricFamily(
            "sardineroute_ejected",
            "Whether this entry sends a backend server nothing but probes.",
            labels=["worker"],
        )
        ejected_ids = self._dispatcher.health.ejected_ids()
        for server in self._dispatcher.servers():
            outstanding.add_metric([server.id], len(server.tasks_by_id))
            slowness.add_metric(
                [server.id], self._dispatcher.speeds.slowness(server.id)
            )
            ejected.add_metric([server.id], int(server.id in ejected_ids))
        yield outstanding
        yield slowness
        yield ejected
