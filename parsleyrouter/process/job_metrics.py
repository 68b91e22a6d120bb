"""Metrics of batch jobs kept in the key-value service."""

from prometheus_client import CollectorRegistry, Counter

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["JobMetrics"]


class JobMetrics(MetricSet):
    """Counts of calls and of item runs."""

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
