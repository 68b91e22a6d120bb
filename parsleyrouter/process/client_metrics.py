"""Metrics of what clients hold and of those that were refused."""

from collections.abc import Iterator, Mapping
from typing import Protocol

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from parsleyrouter.connection.connection_stage import RefusalCause
from parsleyrouter.process.client_budget import ClientPort
from parsleyrouter.process.job_memory import JobMemory

__all__ = ["ClientMetrics"]


class ClientServer(Protocol):
    """A server that counts what its clients hold."""

    @property
    def refused(self) -> Mapping[RefusalCause, int]:
        """How many clients were refused or disconnected, by cause."""

    def client_bytes(self) -> int:
        """Return the bytes of requests and unread responses."""

    def client_count(self) -> int:
        """Return the number of open connections."""


class ClientMetrics(Collector):
    """Collect the counts of all ports when the metrics are read."""

    def __init__(self, registry: CollectorRegistry, jobs: JobMemory) -> None:
        self.servers: dict[ClientPort, ClientServer] = {}
        self.jobs = jobs
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Return the metrics."""
        refused = CounterMetricFamily(
            "parsley_clients_refused",
            "Clients refused or disconnected, by port and cause.",
            labels=["port", "cause"],
        )
        held = GaugeMetricFamily(
            "parsley_clients_held_bytes",
            "Bytes of requests and unread responses that the clients of a port hold.",
            labels=["port"],
        )
        connections = GaugeMetricFamily(
            "parsley_clients_connections", "Open connections of clients.", labels=["port"]
        )
        for port, server in self.servers.items():
            held.add_metric([port.value], server.client_bytes())
            connections.add_metric([port.value], server.client_count())
            for cause, count in server.refused.items():
                refused.add_metric([port.value, cause.value], count)
        yield refused
        yield held
        yield connections
        yield GaugeMetricFamily(
            "parsley_job_items_held_bytes",
            "Memory of the items of batch jobs that are submitted to or run by the process.",
            value=self.jobs.held_bytes,
        )
        yield CounterMetricFamily(
            "parsley_jobs_refused_for_memory",
            "Batch jobs refused because the process holds too many items.",
            value=self.jobs.refused,
        )
