"""Metrics of grants, for the client and the scheduler."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["ClientMetrics", "SchedulerMetrics"]


class ClientMetrics(MetricSet):
    """Metrics of a process that requests slots."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.late = Counter("parsley_grants_late", "Grants given back unused", registry=registry)
        self.local = Counter(
            "parsley_grants_local", "Grants taken without a scheduler", registry=registry
        )
        self.silent = Counter(
            "parsley_schedulers_silent", "Asks that no scheduler answered", registry=registry
        )


class SchedulerMetrics(MetricSet):
    """Metrics of a scheduler's decisions and slots."""

    def __init__(self, registry: CollectorRegistry) -> None:
        labels = ("kind_class",)
        self.granted = Counter("parsley_slots_granted", "Slots given", labels, registry=registry)
        self.refused = Counter(
            "parsley_slots_refused", "Attempts turned away", ("reason",), registry=registry
        )
        self.revoked = Counter("parsley_slots_revoked", "Batch slots revoked", registry=registry)
        self.held = Gauge(
            "parsley_slots_held", "Slots in use", ("endpoint", "kind_class"), registry=registry
        )
        self.waiting = Gauge(
            "parsley_slots_waiting",
            "Attempts waiting",
            ("endpoint", "kind_class"),
            registry=registry,
        )
        self.foreign = Gauge(
            "parsley_slots_foreign", "Slots that others use", ("endpoint",), registry=registry
        )
