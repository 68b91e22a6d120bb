"""Simulated network that connects membership state machines, with its own clock."""

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
    """Deliver datagrams with loss and delay; nodes may be killed, paused or partitioned."""

    def __init__(self, nodes: int, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, NodeId, Any]] = []
        self.members: dict[NodeId, Membership] = {}
        self.paused: set[NodeId] = set()
        self.paused_messages: list[tuple[NodeId, Any]] = []
        self.partition: dict[NodeId, int] = {}
        self.unreached: set[NodeId] = set()
        self.wrongly_down: set[tuple[NodeId, NodeId]] = set()
        for index in range(nodes):
            self.add(NodeId(f"n{index:03d}"))

    def add(self, node: NodeId, incarnation: int = 1) -> None:
        """Start a node that knows the addresses of the first two."""
        addresses = {Service.AGENT: Address(node)}
        info = NodeInfo(node, DomainName("d"), addresses, incarnation=incarnation)
        membership = Membership(info, random.Random(self.rng.random()))
        membership.contacts = (Address("n000"), Address("n001"))
        self.members[node] = membership

    def kill(self, node: NodeId) -> None:
        """Remove a node without notice."""
        del self.members[node]

    def pause(self, node: NodeId) -> None:
        """Pause a node; messages to it are queued."""
        self.paused.add(node)

    def resume(self, node: NodeId) -> None:
        """Resume a paused node and deliver its queued messages."""
        self.paused.discard(node)
        paused_messages, self.paused_messages = self.paused_messages, []
        for to, message in paused_messages:
            self._deliver(to, message)

    def run(self, seconds: float) -> None:
        """Advance the clock, delivering messages and running ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            while self.queue and self.queue[0][0] <= self.now:
                _, _, node, message = heapq.heappop(self.queue)
                self._deliver(node, message)
            for node in list(self.members):
                if node not in self.paused:
                    self._execute(node, self.members[node].tick(self.now))
            self._record_wrong_downs()

    def up(self, node: NodeId) -> set[NodeId]:
        """Return the nodes that a node considers up, itself included."""
        return {node, *(info.node for info in self.members[node].table.up())}

    def all_agree(self) -> bool:
        """Return whether every node considers exactly the running nodes up."""
        return all(self.up(node) == set(self.members) for node in self.members)

    def _record_wrong_downs(self) -> None:
        for node, membership in self.members.items():
            for other, entry in membership.table.entries.items():
                running = other in self.members and other not in self.paused
                if entry.health is MemberHealth.DOWN and running:
                    self.wrongly_down.add((node, other))

    def _reaches(self, one: NodeId, other: NodeId) -> bool:
        return self.partition.get(one, 0) == self.partition.get(other, 0)

    def _execute(self, node: NodeId, actions: list[Action]) -> None:
        for action in actions:
            to = NodeId(action.to)
            if not self._reaches(node, to):
                continue
            if isinstance(action, Send):
                if self.unreached & {node, to}:
                    continue
                if self.rng.random() >= self.loss:
                    due = self.now + self.rng.uniform(0.0, 0.1)
                    heapq.heappush(self.queue, (due, next(self.order), to, action.message))
            elif to in self.members and to not in self.paused:
                self.members[to].receive_rumors(self.members[node].table.all_rumors(), self.now)
                self.members[node].receive_rumors(self.members[to].table.all_rumors(), self.now)

    def _deliver(self, node: NodeId, message: Any) -> None:
        if node in self.paused:
            self.paused_messages.append((node, message))
        elif node in self.members:
            self._execute(node, self.members[node].receive(message, self.now))
