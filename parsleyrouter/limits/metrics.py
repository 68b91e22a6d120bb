"""Metrics of the customers' limits."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from parsleyrouter.ids import CustomerName
from parsleyrouter.process.metric_set import MetricSet

__all__ = ["LimitMetrics"]

MAX_NAMES = 512
"""Customers that are counted by name; the others are counted together."""


class LimitMetrics(MetricSet):
    """Permits by customer, and the shares held here."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.permits = Counter(
            "parsley_limit_permits",
            "Requests of limited customers by whether they got a permit.",
            ["outcome", "customer"],
            registry=registry,
        )
        self.shares = Gauge(
            "parsley_limit_shares",
            "Shares of limits that this node holds and may grant from.",
            registry=registry,
        )
        self.proof_age = Gauge(
            "parsley_limit_proof_age_seconds",
            "Time since the store is known to have held the known holders.",
            registry=registry,
        )
        self.names: set[CustomerName] = set()

    def count(self, outcome: str, customer: CustomerName) -> None:
        """Count a request."""
        if customer not in self.names and len(self.names) < MAX_NAMES:
            self.names.add(customer)
        name = customer if customer in self.names else "other"
        self.permits.labels(outcome, name).inc()
