"""Metrics of the calls that this process makes to the key-value service."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["KeyValueMetrics"]


class KeyValueMetrics(MetricSet):
    """Metrics shared by all clients of one registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.calls = Counter(
            "parsley_key_value_calls",
            "Calls made to the key-value service, watches included.",
            ["kind"],
            registry=registry,
        )
        self.failures = Counter(
            "parsley_key_value_failures",
            "Calls to the key-value service without an answer.",
            ["kind", "failure"],
            registry=registry,
        )
        self.watches = Gauge(
            "parsley_key_value_watches",
            "Watches waiting at the key-value service.",
            registry=registry,
        )
        self.seconds = Histogram(
            "parsley_key_value_call_seconds",
            "Time from sending a call to its answer, in seconds.",
            registry=registry,
        )
