"""Metrics of batch jobs kept in the key-value service."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["JobMetrics"]


class JobMetrics(MetricSet):
    """Counts of calls and of item runs, and the items that are not listed yet."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.calls = Counter(
            "parsley_job_calls",
            "Calls about batch jobs by what was asked and status.",
            ["asked", "status"],
            registry=registry,
        )
        self.runs = Counter(
            "parsley_item_runs",
            "Runs of batch items by how they ended.",
            ["end"],
            registry=registry,
        )
        self.preemptions = Counter(
            "parsley_item_yields",
            "Runs of batch items that gave way to online requests.",
            registry=registry,
        )
        self.waiting = Gauge(
            "parsley_waiting_items",
            "Unlisted items of the jobs of this node by what they wait for.",
            ["state"],
            registry=registry,
        )
        self.waiting_age = Gauge(
            "parsley_waiting_item_age_seconds",
            "Longest time for which an item has waited for the same thing without a break.",
            ["state"],
            registry=registry,
        )
