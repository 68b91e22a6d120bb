"""Metrics of requests by customer, with a bounded number of names."""

from prometheus_client import CollectorRegistry, Counter

from parsleyrouter.ids import CustomerName
from parsleyrouter.process.metric_set import MetricSet

__all__ = ["CustomerMetrics"]

MAX_NAMES = 512
"""Customers with figures of their own; those beyond it are counted together."""

OTHERS = "other"


class CustomerMetrics(MetricSet):
    """Counters by customer and outcome."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.names: set[CustomerName] = set()
        self.requests = Counter(
            "parsley_customer_requests",
            "Requests by customer and outcome: answered, refused or failed.",
            ["customer", "outcome"],
            registry=registry,
        )

    def count(self, customer: CustomerName, outcome: str) -> None:
        """Count a request that has ended."""
        if customer not in self.names and len(self.names) < MAX_NAMES:
            self.names.add(customer)
        label = customer if customer in self.names else OTHERS
        self.requests.labels(label, outcome).inc()
