"""Metrics of an agent, computed when they are scraped."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from parsleyrouter.process.agent import Agent

__all__ = ["AgentMetrics"]

MAX_AGE_S = 1e9


class AgentMetrics(Collector):
    """Collect metrics of membership, settings and control traffic."""

    def __init__(self, agent: "Agent") -> None:
        self.agent = agent

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        yield from self._settings()
        yield from self._members()
        traffic = CounterMetricFamily(
            "parsley_control_bytes",
            "Bytes of membership and settings, IP and UDP headers included.",
            labels=["direction"],
        )
        traffic.add_metric(["sent"], self.agent.sent_bytes())
        traffic.add_metric(["received"], self.agent.received_bytes())
        yield traffic

    def _settings(self) -> Iterator[Metric]:
        agent = self.agent
        watermark = agent.replica.watermark(agent.loop.now())
        yield GaugeMetricFamily(
            "parsley_settings_revision", "Highest settings revision held.", value=watermark.head
        )
        yield GaugeMetricFamily(
            "parsley_settings_proved_current",
            "1 while the settings held are proved to be the newest.",
            value=int(agent.settings().proved_current),
        )
        yield GaugeMetricFamily(
            "parsley_settings_proof_age_seconds",
            "Age of the last proof that the settings held are the newest.",
            value=min(watermark.proof_age_s, MAX_AGE_S),
        )
        yield GaugeMetricFamily(
            "parsley_settings_unreadable",
            "Subtrees whose newest record this version cannot read.",
            value=len(agent.builder.unreadable),
        )

    def _members(self) -> Iterator[Metric]:
        nodes = GaugeMetricFamily("parsley_nodes", "Nodes believed up.", labels=["state"])
        states = [info.state for info in self.agent.nodes()]
        for state in sorted(set(states), key=lambda one: one.value):
            nodes.add_metric([state.value], states.count(state))
        yield nodes
        yield CounterMetricFamily(
            "parsley_suspicions",
            "Nodes that did not answer this one's probes.",
            value=self.agent.prober.membership.suspicions,
        )
