"""Membership cores joined by a network in memory, with a clock of its own."""

import heapq
import itertools
import random
from typing import Any

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.member_messages import Action, Send
from parsleyrouter.process.member_table import MemberHealth
from parsleyrouter.process.membership import Membership

TICK_S = 0.1


class MembershipNetwork:
    """Deliver datagrams with loss and delay; nodes may be killed, paused or cut off."""

    def __init__(self, nodes: int, seed: int, loss: float = 0.0) -> None:
        self.chance = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, NodeId, Any]] = []
        self.cores: dict[NodeId, Membership] = {}
        self.paused: set[NodeId] = set()
        self.held: list[tuple[NodeId, Any]] = []
        self.side: dict[NodeId, int] = {}
        self.deaf: set[NodeId] = set()
        self.wrong_downs: set[tuple[NodeId, NodeId]] = set()
        for index in range(nodes):
            self.add(NodeId(f"n{index:03d}"))

    def add(self, node: NodeId, incarnation: int = 1) -> None:
        """Start a node that knows the first one."""
        addresses = {Service.AGENT: Address(node)}
        info = NodeInfo(node, DomainName("d"), addresses, incarnation=incarnation)
        core = Membership(info, random.Random(self.chance.random()))
        core.contacts = (Address("n000"), Address("n001"))
        self.cores[node] = core

    def kill(self, node: NodeId) -> None:
        """Lose a node without a word."""
        del self.cores[node]

    def pause(self, node: NodeId) -> None:
        """Freeze a node; what is sent to it waits."""
        self.paused.add(node)

    def resume(self, node: NodeId) -> None:
        """Let a frozen node go on."""
        self.paused.discard(node)
        held, self.held = self.held, []
        for to, message in held:
            self._deliver(to, message)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            while self.queue and self.queue[0][0] <= self.now:
                _, _, node, message = heapq.heappop(self.queue)
                self._deliver(node, message)
            for node in list(self.cores):
                if node not in self.paused:
                    self._do(node, self.cores[node].tick(self.now))
            self._watch()

    def up(self, node: NodeId) -> set[NodeId]:
        """Return whom a node believes up, itself included."""
        return {node, *(info.node for info in self.cores[node].table.up())}

    def all_agree(self) -> bool:
        """Tell whether every node believes exactly the running ones up."""
        return all(self.up(node) == set(self.cores) for node in self.cores)

    def _watch(self) -> None:
        for node, core in self.cores.items():
            for other, entry in core.table.entries.items():
                running = other in self.cores and other not in self.paused
                if entry.health is MemberHealth.DOWN and running:
                    self.wrong_downs.add((node, other))

    def _reaches(self, one: NodeId, other: NodeId) -> bool:
        return self.side.get(one, 0) == self.side.get(other, 0)

    def _do(self, node: NodeId, actions: list[Action]) -> None:
        for action in actions:
            to = NodeId(action.to)
            if not self._reaches(node, to):
                continue
            if isinstance(action, Send):
                if self.deaf & {node, to}:
                    continue
                if self.chance.random() >= self.loss:
                    due = self.now + self.chance.uniform(0.0, 0.1)
                    heapq.heappush(self.queue, (due, next(self.order), to, action.message))
            elif to in self.cores and to not in self.paused:
                self.cores[to].hear(self.cores[node].table.all_rumors(), self.now)
                self.cores[node].hear(self.cores[to].table.all_rumors(), self.now)

    def _deliver(self, node: NodeId, message: Any) -> None:
        if node in self.paused:
            self.held.append((node, message))
        elif node in self.cores:
            self._do(node, self.cores[node].receive(message, self.now))
