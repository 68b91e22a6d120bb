"""Metrics of batch parts and chunks."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["BatchMetrics"]


class BatchMetrics(MetricSet):
    """Count parts, items and chunks."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.parts_running = Gauge("parsley_batch_parts_running", "Parts run", registry=registry)
        self.parts_late = Gauge(
            "parsley_batch_parts_late", "Parts run that will miss their deadline", registry=registry
        )
        self.claims = Counter("parsley_batch_claims", "Parts claimed", registry=registry)
        self.takeovers = Counter(
            "parsley_batch_takeovers", "Parts claimed from another owner", registry=registry
        )
        self.takeover_items = Counter(
            "parsley_batch_takeover_items",
            "Items dispatched of parts claimed from another owner",
            registry=registry,
        )
        self.stale = Counter(
            "parsley_batch_stale_owners", "Runs ended by another owner", registry=registry
        )
        self.items = Counter("parsley_batch_items", "Items ended", ["outcome"], registry=registry)
        self.chunks = Gauge("parsley_store_chunks", "Chunks kept", registry=registry)
        self.chunk_bytes = Gauge("parsley_store_bytes", "Bytes of chunks kept", registry=registry)
        self.corrupt = Counter(
            "parsley_store_corrupt_chunks", "Chunks dropped as damaged", registry=registry
        )
        self.sent_bytes = Counter(
            "parsley_chunk_sent_bytes", "Bytes of chunks sent to disk VMs", registry=registry
        )
        self.repaired = Counter(
            "parsley_chunk_copies_repaired", "Copies of chunks written again", registry=registry
        )
