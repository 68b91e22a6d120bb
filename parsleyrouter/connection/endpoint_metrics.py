"""Metrics of what endpoints send in place of a response, or twice."""

from prometheus_client import CollectorRegistry, Counter

from parsleyrouter.process.metric_set import MetricSet

__all__ = ["EndpointMetrics"]


class EndpointMetrics(MetricSet):
    """Counters of skipped responses and of refusals."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.skipped = Counter(
            "parsley_skipped_responses",
            "Responses of endpoints with the id of another request, by kind.",
            ["kind"],
            registry=registry,
        )
        self.refusals = Counter(
            "parsley_endpoint_refusals",
            "Refusals of endpoints, by whether they are proven to be those of the request.",
            ["proven"],
            registry=registry,
        )
