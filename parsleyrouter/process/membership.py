"""Membership protocol in the manner of SWIM: probes, suspicions, refutations and gossip.

Pure state machine: messages and the time go in, actions come out. Each node probes others. One that
answers neither directly nor through other nodes is suspected and notified; unless it refutes the
suspicion in time, it is considered down. Changes are sent to a few nodes at once and piggybacked on
every probe.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from parsleyrouter.ids import Address, NodeId
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.gossip_queue import GossipQueue
from parsleyrouter.process.member_messages import Action, Message, MessageKind, Send, Sync
from parsleyrouter.process.member_table import MemberHealth, MemberTable, Rumor
from parsleyrouter.process.probe_order import ProbeOrder

__all__ = ["Membership"]

PROBE_INTERVAL_S = 0.5
PROBE_RETRY_AFTER_S = 0.2
INDIRECT_PROBE_AFTER_S = 0.4
PROBE_TIMEOUT_S = 0.9
INDIRECT_PROBE_NODES = 3
GOSSIP_FANOUT = 3
PAUSE_THRESHOLD_S = 1.0
CONTACT_INTERVAL_S = 5.0
CONTACT_INTERVAL_ALONE_S = 1.0
DIGEST_MISMATCH_TIMEOUT_S = 4.0
MAX_TRACKED_DIGESTS = 200
SUSPECT_PROBE_WINDOW_S = 0.8
SUSPECT_PROBE_INTERVAL_S = 0.4


@dataclass
class _Probe:
    node: NodeId
    sent_s: float
    direct_retry_sent: bool = False
    indirect_probes_sent: bool = False


@dataclass(frozen=True)
class _RelayedProbe:
    """A probe sent for another node, which awaits the answer under its own sequence number."""

    requester: Address
    sequence: int
    due_s: float


class Membership:
    """Maintain the member table of one node; call ``tick`` several times a second."""

    def __init__(self, me: NodeInfo, rng: random.Random) -> None:
        self.table = MemberTable(me)
        self.rng = rng
        self.probe_order = ProbeOrder(me.node, rng)
        self.ordered_version = -1
        self.gossip = GossipQueue()
        self.probes: dict[int, _Probe] = {}
        self.relayed_probes: dict[int, _RelayedProbe] = {}
        self.sequence = 0
        self.next_probe_s = 0.0
        self.next_contact_s = 0.0
        self.last_tick_s: float | None = None
        self.mismatch_since_s: dict[int, float] = {}
        self.next_suspect_probe_s = 0.0
        self.contacts: tuple[Address, ...] = ()
        self.contact_sequence = 0
        self.gossip_due = False
        self.suspicions = 0

    @property
    def me(self) -> NodeInfo:
        """Return this node."""
        return self.table.me

    def tick(self, now: float) -> list[Action]:
        """Perform all actions that are due."""
        self._notice_pause(now)
        self._refresh_probe_order()
        if len(self.mismatch_since_s) > MAX_TRACKED_DIGESTS:
            self.mismatch_since_s.clear()
        actions: list[Action] = self._contact_unknown_nodes(now)
        for rumor in self.table.expire(now):
            self._queue_rumor(rumor)
        actions += self._check_probes(now) + self._probe_suspects(now)
        if now >= self.next_probe_s:
            self.next_probe_s = now + PROBE_INTERVAL_S * self.rng.uniform(0.9, 1.1)
            actions += self._probe(now)
        return actions + self._send_gossip()

    def receive(self, message: Message, now: float) -> list[Action]:
        """Process a datagram."""
        self.receive_rumors(message.rumors, now)
        self.table.record_load(message.sender, message.load)
        actions = self._compare_digests(message, now) + self._refute(message)
        if message.kind is MessageKind.PING:
            answer = self._message(MessageKind.ACK, message.sender, message.sequence)
            actions.append(Send(message.reply_to, answer))
        elif message.kind is MessageKind.PING_REQ:
            actions += self._relay_probe(message, now)
        elif message.kind is MessageKind.ACK:
            actions += self._handle_ack(message)
        return actions

    def receive_rumors(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Apply rumors and queue those that are new; return whether any was."""
        any_new = False
        # A node that knew no other node queues nothing: what it learns is known to the others.
        joining = not self.table.entries
        for rumor in rumors:
            if not self.table.apply(rumor, now):
                continue
            any_new = True
            entry = self.table.entries.get(rumor.node)
            if joining and entry is not None:
                continue
            self._queue_rumor(self.table.own_rumor() if entry is None else entry.rumor())
        return any_new

    def describe(self, info: NodeInfo) -> None:
        """Replace the description of this node and announce it."""
        self.table.set_me(info)
        self._queue_rumor(self.table.own_rumor())

    def set_load(self, load: float) -> None:
        """Set the load to report with the next messages."""
        self.table.me = replace(self.me, load=load)

    def end(self) -> list[Action]:
        """Notify some nodes that this one, which was leaving, shuts down now."""
        down_rumor = Rumor(self.me.node, self.me.incarnation, MemberHealth.DOWN)
        message = replace(self._message(MessageKind.GOSSIP, None), rumors=(down_rumor,))
        self._refresh_probe_order()
        return [
            Send(self._address(node), message)
            for node in self.probe_order.sample(2 * GOSSIP_FANOUT)
        ]

    def _queue_rumor(self, rumor: Rumor) -> None:
        self.gossip.add(rumor)
        self.gossip_due = True

    def _notice_pause(self, now: float) -> None:
        last, self.last_tick_s = self.last_tick_s, now
        if last is not None and now - last > PAUSE_THRESHOLD_S:
            self.probes.clear()
            self.table.extend_suspicions(now - last)

    def _refresh_probe_order(self) -> None:
        if self.ordered_version != self.table.version:
            self.ordered_version = self.table.version
            self.probe_order.set_members(info.node for info in self.table.up())

    def _probe(self, now: float) -> list[Action]:
        node = self.probe_order.next()
        if node is None:
            return []
        self.sequence += 1
        self.probes[self.sequence] = _Probe(node, now)
        return [self._ping(node, self.sequence)]

    def _ping(self, node: NodeId, sequence: int) -> Send:
        return Send(self._address(node), self._message(MessageKind.PING, node, sequence))

    def _check_probes(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, probe in list(self.probes.items()):
            age_s = now - probe.sent_s
            if probe.node not in self.table.entries or age_s >= PROBE_TIMEOUT_S:
                del self.probes[sequence]
                actions += self._suspect(probe.node, now)
            elif age_s >= INDIRECT_PROBE_AFTER_S and not probe.indirect_probes_sent:
                probe.indirect_probes_sent = True
                actions += self._request_indirect_probes(probe.node, sequence)
            elif age_s >= PROBE_RETRY_AFTER_S and not probe.direct_retry_sent:
                probe.direct_retry_sent = True
                actions.append(self._ping(probe.node, sequence))
        expired = [key for key, relayed in self.relayed_probes.items() if relayed.due_s <= now]
        for key in expired:
            del self.relayed_probes[key]
        return actions

    def _suspect(self, node: NodeId, now: float) -> list[Action]:
        if not self.table.suspect(node, now):
            return []
        self.suspicions += 1
        self._queue_rumor(self.table.entries[node].rumor())
        return [Send(self._address(node), self._message(MessageKind.GOSSIP, node))]

    def _probe_suspects(self, now: float) -> list[Action]:
        """Probe each suspect once more before it is considered down, so that it can refute."""
        if now < self.next_suspect_probe_s:
            return []
        self.next_suspect_probe_s = now + SUSPECT_PROBE_INTERVAL_S
        suspects = self.table.due_within(now + SUSPECT_PROBE_WINDOW_S)
        self.sequence += 1
        return [self._ping(node, self.sequence) for node in suspects]

    def _request_indirect_probes(self, node: NodeId, sequence: int) -> list[Action]:
        request = self._message(MessageKind.PING_REQ, None, sequence)
        message = replace(request, target=node, target_agent=self._address(node))
        helpers = self.probe_order.sample(INDIRECT_PROBE_NODES, without=node)
        return [Send(self._address(helper), message) for helper in helpers]

    def _relay_probe(self, message: Message, now: float) -> list[Action]:
        self.sequence += 1
        self.relayed_probes[self.sequence] = _RelayedProbe(
            message.reply_to, message.sequence, now + 1.0
        )
        ping = self._message(MessageKind.PING, message.target, self.sequence)
        return [Send(message.target_agent, ping)]

    def _handle_ack(self, message: Message) -> list[Action]:
        probe = self.probes.get(message.sequence)
        if probe is not None and probe.node in (message.sender, message.target):
            del self.probes[message.sequence]
        if message.sequence == self.contact_sequence:
            self.contact_sequence = 0
            return [Sync(message.reply_to)]
        relayed = self.relayed_probes.pop(message.sequence, None)
        if relayed is None:
            return []
        answer = self._message(MessageKind.ACK, None, relayed.sequence)
        return [Send(relayed.requester, replace(answer, target=message.sender))]

    def _contact_unknown_nodes(self, now: float) -> list[Action]:
        """Probe a node that is not considered up; member lists are exchanged once it answers."""
        if now < self.next_contact_s:
            return []
        up = self.table.up()
        pause_s = CONTACT_INTERVAL_S if up else CONTACT_INTERVAL_ALONE_S
        self.next_contact_s = now + pause_s * self.rng.uniform(0.8, 1.2)
        known = {info.addresses[Service.AGENT] for info in (self.me, *up)}
        wanted = {*self.contacts, *(info.addresses[Service.AGENT] for info in self.table.down())}
        unknown_addresses = sorted(wanted - known)
        if not unknown_addresses:
            return []
        self.sequence += 1
        self.contact_sequence = self.sequence
        ping = self._message(MessageKind.PING, None, self.sequence)
        return [Send(self.rng.choice(unknown_addresses), ping)]

    def _refute(self, message: Message) -> list[Action]:
        """Answer a node that suspects this one with the current announcement of this node."""
        suspicions_of_me = (
            one.node == self.me.node and one.health is not MemberHealth.ALIVE
            for one in message.rumors
        )
        if not any(suspicions_of_me):
            return []
        own = replace(self._message(MessageKind.GOSSIP, None), rumors=(self.table.own_rumor(),))
        return [Send(message.reply_to, own)]

    def _compare_digests(self, message: Message, now: float) -> list[Action]:
        """Exchange member lists with a node once a differing digest has persisted."""
        # That some third node has the same digest proves nothing: both may lack the same rumor.
        if message.digest == self.table.digest():
            return []
        since_s = self.mismatch_since_s.setdefault(message.digest, now)
        if now - since_s < DIGEST_MISMATCH_TIMEOUT_S:
            return []
        self.mismatch_since_s.clear()
        return [Sync(message.reply_to)]

    def _send_gossip(self) -> list[Action]:
        if not self.gossip_due:
            return []
        self.gossip_due = False
        self._refresh_probe_order()
        actions: list[Action] = []
        for rumors in self.gossip.take_unsent() or [[]]:
            message = replace(self._message(MessageKind.GOSSIP, None), rumors=tuple(rumors))
            targets = self.probe_order.sample(GOSSIP_FANOUT)
            actions += [Send(self._address(node), message) for node in targets]
        return actions

    def _message(self, kind: MessageKind, to: NodeId | None, sequence: int = 0) -> Message:
        rumors = (
            self.gossip.pick(len(self.table.entries)) if kind is not MessageKind.PING_REQ else []
        )
        entry = self.table.entries.get(to) if to is not None else None
        if entry is not None and entry.health is not MemberHealth.ALIVE:
            rumors = [entry.rumor(), *(one for one in rumors if one.node != to)]
        return Message(
            kind=kind,
            sender=self.me.node,
            reply_to=self.me.addresses[Service.AGENT],
            sequence=sequence,
            rumors=tuple(rumors),
            digest=self.table.digest(),
            load=self.me.load,
        )

    def _address(self, node: NodeId) -> Address:
        return self.table.entries[node].info.addresses[Service.AGENT]
