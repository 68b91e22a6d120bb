"""Metrics of calls and attempts."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["CallMetrics"]

FIRST_BYTE_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.2, 2.5, 5.0, 10.0, 30.0)
GRANT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 10.0)


class CallMetrics(MetricSet):
    """Counters and histograms of calls, attempts and grants."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.calls = Counter(
            "parsley_calls", "Calls ended", ("kind_class", "outcome"), registry=registry
        )
        self.open = Gauge("parsley_calls_open", "Calls under way", registry=registry)
        self.failed_attempts = Counter(
            "parsley_attempts_failed", "Attempts failed", ("happened",), registry=registry
        )
        self.retries = Counter("parsley_retries", "Attempts repeated", registry=registry)
        self.mismatched = Counter(
            "parsley_answers_crossed",
            "Answers dropped for a foreign attempt id",
            registry=registry,
        )
        self.resumed = Counter("parsley_streams_resumed", "Streams resumed", registry=registry)
        self.grant_wait = Histogram(
            "parsley_grant_wait_seconds",
            "Time from asking for a slot to the answer",
            ("kind_class",),
            buckets=GRANT_BUCKETS_S,
            registry=registry,
        )
        self.first_byte = Histogram(
            "parsley_first_byte_seconds",
            "Time from dispatch decision to the first byte of the answer",
            ("kind_class",),
            buckets=FIRST_BYTE_BUCKETS_S,
            registry=registry,
        )
