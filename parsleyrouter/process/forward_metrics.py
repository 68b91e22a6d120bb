"""Metrics of forwarded requests."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from parsleyrouter.process.customer_metrics import CustomerMetrics
from parsleyrouter.process.metric_set import MetricSet

__all__ = ["ForwardMetrics"]

FIRST_BYTE_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class ForwardMetrics(MetricSet):
    """Counters by kind of route and outcome, and histograms in seconds."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.customers = CustomerMetrics.of(registry)
        self.requests = Counter(
            "parsley_forwarded_requests",
            "Requests by kind of route and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.retries = Counter(
            "parsley_forward_retries",
            "Further attempts by what happened to the one before.",
            ["happened"],
            registry=registry,
        )
        self.first_byte = Histogram(
            "parsley_forward_first_byte_seconds",
            "Time from a request's first byte to the first byte of its answer.",
            ["kind"],
            buckets=FIRST_BYTE_BUCKETS_S,
            registry=registry,
        )
