"""Metrics of the state that this process reads from the key-value service."""

from prometheus_client import CollectorRegistry, Gauge

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["StateMetrics"]


class StateMetrics(MetricSet):
    """How old each kind of state is."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.age = Gauge(
            "parsley_state_age_seconds",
            "Time since the key-value service last answered a read of the keys under a prefix.",
            ["prefix"],
            registry=registry,
        )
        self.limited = Gauge(
            "parsley_limited_endpoints",
            "Endpoints that have named a limit of requests per second.",
            registry=registry,
        )
        self.deferred_removals = Gauge(
            "parsley_deferred_removals",
            "Endpoints without a registration that still count, since registrations may reappear.",
            registry=registry,
        )
        self.quarantined_groups = Gauge(
            "parsley_quarantined_groups",
            "Groups of prompt parts that are kept away from endpoints.",
            registry=registry,
        )
