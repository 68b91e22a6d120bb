"""Plays stops of nodes and the load of callers against the decisions of a graceful shutdown."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.address_directory import AddressDirectory, AddressList
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.stop_window import StopWindow, addresses_ttl_s

KEPT_LIFETIMES = 3
LOOK_UPS = 150
REQUESTS_PER_LOOK_UP = 6


@dataclass
class PlayedNode:
    """One node: up, stopping since a time, or down until it starts again."""

    info: RegisteredNode
    window: StopWindow
    back_s: float
    busy_until_s: float = 0.0

    def stopping(self, now: float) -> bool:
        return self.window.started_s <= now < self.exit_s

    def running(self, now: float) -> bool:
        return not self.exit_s <= now < self.exit_s + self.back_s

    @property
    def exit_s(self) -> float:
        until_s = max(self.window.callers_gone_s, self.busy_until_s)
        return min(until_s, self.window.exit_s)


@dataclass
class StopPlay:
    """Nodes that stop one after another, and callers that follow lists of addresses.

    A request takes any part of the time up to its deadline, whatever those before it took.
    """

    node_count: int
    gap_s: float
    grace_s: float
    back_s: float
    deadline_s: float
    seed: int
    lost_callers: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    refused: int = 0
    refused_in_time: list[str] = field(default_factory=list)
    """Requests that would have ended before the exit at the latest."""
    served: int = 0

    def run(self) -> "StopPlay":
        random = Random(self.seed)
        nodes = [self._node(number) for number in range(self.node_count)]
        end_s = 1.0 + self.gap_s * self.node_count + self.grace_s + self.back_s
        events: list[tuple[float, int, PlayedNode | None, float]] = []
        for number in range(LOOK_UPS):
            heappush(events, (random.uniform(0.0, end_s), number, None, 0.0))
        order = count(LOOK_UPS)
        while events:
            now, _, node, duration_s = heappop(events)
            if node is not None:
                self._request(node, now, duration_s)
                continue
            found = self._look_up(nodes, now)
            for _ in range(REQUESTS_PER_LOOK_UP if found.nodes else 0):
                chosen = random.choice(found.nodes).node
                node = next(one for one in nodes if one.info.node == chosen)
                duration_s = self.deadline_s * random.choice((0.05, random.random(), 1.0))
                at_s = now + random.uniform(0.0, KEPT_LIFETIMES * found.ttl_s)
                heappush(events, (at_s, next(order), node, duration_s))
        return self

    def _node(self, number: int) -> PlayedNode:
        name = f"n{number}"
        info = RegisteredNode(
            NodeId(name), DomainName("d"), Address(f"{name}:1"), Address(f"{name}:2"), 1
        )
        window = StopWindow(1.0 + self.gap_s * number, self.grace_s)
        return PlayedNode(info, window, self.back_s)

    def _look_up(self, nodes: list[PlayedNode], now: float) -> AddressList:
        stopping = [one for one in nodes if one.stopping(now)]
        staying = [one for one in nodes if one.running(now) and one not in stopping]
        members: Any = SimpleNamespace(
            loop=SimpleNamespace(now=lambda: now),
            divided=False,
            registry=SimpleNamespace(listed=True),
            serving_nodes=lambda: [one.info for one in staying],
            unreported_nodes=list,
            stopping_nodes=lambda: {
                one.info.node: (one.info, one.window.lists_expire_s) for one in stopping
            },
        )
        directory = AddressDirectory(members, addresses_ttl_s(self.grace_s))
        return directory.for_domain(DomainName("d"))

    def _request(self, node: PlayedNode, at_s: float, duration_s: float) -> None:
        request = f"{node.info.node} at {at_s:.2f} for {duration_s:.2f}"
        if not node.running(at_s):
            self.lost_callers.append(request)
            return
        if not node.stopping(at_s):
            return
        if not node.window.may_begin(at_s + self.deadline_s):
            self.refused += 1
            if at_s + self.deadline_s <= node.window.exit_s:
                self.refused_in_time.append(request)
            return
        self.served += 1
        node.busy_until_s = max(node.busy_until_s, at_s + duration_s)
        if at_s + duration_s > node.window.exit_s:
            self.cut.append(request)
