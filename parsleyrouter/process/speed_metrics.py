"""Metrics of the speed of endpoints, by service, computed when they are read."""

from collections.abc import Iterable

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from parsleyrouter.endpoint_speed import EndpointSpeeds
from parsleyrouter.ids import ServiceName
from parsleyrouter.process.endpoint_directory import EndpointDirectory
from parsleyrouter.process.loop import Loop

__all__ = ["SpeedCollector"]


class SpeedCollector(Collector):
    """Report how slow the endpoints of each service are, and how many count as slow."""

    def __init__(self, loop: Loop, directory: EndpointDirectory, speeds: EndpointSpeeds) -> None:
        self.loop = loop
        self.directory = directory
        self.speeds = speeds

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Return the metrics of this moment."""
        now, by_service = self.loop.now(), dict[ServiceName, list[float]]()
        slow_counts: dict[ServiceName, int] = {}
        for entry in self.directory.endpoints.values():
            slowness = self.speeds.slowness(entry.endpoint, entry.started_ms, now)
            by_service.setdefault(entry.service, []).append(slowness)
            is_slow = entry.endpoint in self.speeds.states.slow
            slow_counts[entry.service] = slow_counts.get(entry.service, 0) + is_slow
        spread = GaugeMetricFamily(
            "parsley_endpoint_slowness",
            "Time that work takes as a multiple of the typical one, by service and extreme.",
            labels=["service", "extreme"],
        )
        slow = GaugeMetricFamily(
            "parsley_slow_endpoints", "Endpoints that count as slow.", labels=["service"]
        )
        for service, values in sorted(by_service.items()):
            spread.add_metric([service, "fastest"], min(values))
            spread.add_metric([service, "slowest"], max(values))
            slow.add_metric([service], slow_counts[service])
        return [spread, slow]
