"""Simulate nodes that share the limit of one endpoint, with reports that are late or lost."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.fleet_limits import FleetLimits, LimitedRequest
from parsleyrouter.process.load_exchange import LIMITED_DEBOUNCE_S

WINDOW_S = 4.0
REPORT_TTL_S = 1.6
HEARTBEAT_S = 0.5
FLASH_S = 0.02
"""Time within which the requests of a flash arrive."""

ENDPOINT = RegisteredEndpoint(
    EndpointId("e"), ServiceName("s"), Address("127.0.0.1:1"), DomainName("z"), 8
)


@dataclass
class LimitNode:
    """One node; ``reachable`` tells which others hear it."""

    name: NodeId
    boot: int
    limits: FleetLimits = field(default_factory=FleetLimits)
    heard_s: dict[NodeId, float] = field(default_factory=dict)
    report_pending: bool = False


class LimitPlay:
    """Play arrivals at random nodes; ``sent_s`` holds when requests reached the endpoint."""

    def __init__(self, nodes: int, per_s: float, demand_per_s: float, seed: int) -> None:
        self.random = Random(seed)
        self.per_s: float | None = per_s
        self.demand_per_s = demand_per_s
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.nodes: dict[NodeId, LimitNode] = {}
        self.parted: set[NodeId] = set()
        """Nodes that hear only each other."""
        self.sent_s: list[float] = []
        self.refused = 0
        self.loss = 0.02
        for number in range(nodes):
            self.start(NodeId(f"n{number}"))
        self.at(0.0, self._arrive)

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call after a delay."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), call))

    def start(self, name: NodeId) -> None:
        """Start a node, or start it again without what it knew."""
        node = LimitNode(name, boot=len(self.events) + 1 + int(self.now * 1000))
        node.limits.share = lambda: self._share(node)
        self.nodes[name] = node
        self.at(self.random.uniform(0, HEARTBEAT_S), lambda: self._beat(node))

    def run(self, until_s: float) -> None:
        """Play until a time."""
        while self.events and self.events[0][0] < until_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until_s

    def most_in_window(self, since_s: float = 0.0) -> int:
        """Return the most requests that reached the endpoint within the window of the rule."""
        times = [at for at in self.sent_s if at >= since_s]
        return max((sum(at <= one < at + WINDOW_S for one in times) for at in times), default=0)

    def _share(self, node: LimitNode) -> float:
        others = [one for one in self.nodes if one != node.name]
        heard = [one for one in others if self.now - node.heard_s.get(one, -9) < REPORT_TTL_S]
        return (1 + len(heard)) / (1 + len(others))

    def flash(self, requests: int) -> None:
        """Let many requests arrive almost at once."""
        for _ in range(requests):
            self.at(self.random.uniform(0, FLASH_S), self._request)

    def _arrive(self) -> None:
        self.at(self.random.expovariate(self.demand_per_s), self._arrive)
        self._request()

    def _request(self) -> None:
        node = self.random.choice(list(self.nodes.values()))
        if node.limits.permits(ENDPOINT, self.now) < LimitedRequest.NEW.value:
            self.refused += 1
            return
        node.limits.record_sent(ENDPOINT.endpoint, self.now)
        self.at(self.random.uniform(0.001, 0.004), lambda: self._reach(node))
        if not node.report_pending:
            node.report_pending = True
            self.at(LIMITED_DEBOUNCE_S, lambda: self._report(node))

    def _reach(self, node: LimitNode) -> None:
        self.sent_s.append(self.now)
        per_s = self.per_s
        self.at(0.1, lambda: node.limits.record_answer(ENDPOINT, per_s, self.now))

    def _beat(self, node: LimitNode) -> None:
        if self.nodes.get(node.name) is node:
            self._report(node)
            self.at(HEARTBEAT_S, lambda: self._beat(node))

    def _report(self, node: LimitNode) -> None:
        node.report_pending = False
        reports = node.limits.reports(self.now)
        for other in self.nodes.values():
            cut = (node.name in self.parted) != (other.name in self.parted)
            if other is node or cut or self.random.random() < self.loss:
                continue

            def hear(other: LimitNode = other) -> None:
                other.heard_s[node.name] = self.now
                other.limits.apply_reports(node.name, node.boot, reports, self.now)

            self.at(self.random.uniform(0.0005, 0.003), hear)
