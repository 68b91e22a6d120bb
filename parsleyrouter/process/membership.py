"""Decide who is in the fleet: probes, suspicions, refutations and gossip.

Pure: messages and the time go in, actions come out. Each node probes others; one that answers
neither directly nor through helpers is suspected and told so; unless it refutes the suspicion in
time it is held to be down. News go at once to a few nodes and ride on every probe.
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

PROBE_EVERY_S = 0.5
RETRY_AFTER_S = 0.2
HELP_AFTER_S = 0.4
FAIL_AFTER_S = 0.9
HELPERS = 3
PUSH_TO = 3
PAUSED_AFTER_S = 1.0
CONTACT_EVERY_S = 5.0
CONTACT_ALONE_S = 1.0
MISMATCH_PATIENCE_S = 4.0
MOST_DIGESTS = 200
LAST_CHANCE_S = 0.8
ASK_SUSPECTS_EVERY_S = 0.4


@dataclass
class _Probe:
    node: NodeId
    sent_s: float
    retried: bool = False
    helped: bool = False


@dataclass(frozen=True)
class _Helped:
    """A probe made for another node, which waits for the answer under its own sequence."""

    asker: Address
    sequence: int
    due_s: float


class Membership:
    """Keep one node's beliefs up to date; call ``tick`` several times a second."""

    def __init__(self, me: NodeInfo, chance: random.Random) -> None:
        self.table = MemberTable(me)
        self.chance = chance
        self.order = ProbeOrder(me.node, chance)
        self.ordered_at = -1
        self.gossip = GossipQueue()
        self.probes: dict[int, _Probe] = {}
        self.helping: dict[int, _Helped] = {}
        self.sequence = 0
        self.next_probe_s = 0.0
        self.next_contact_s = 0.0
        self.last_tick_s: float | None = None
        self.other_digests: dict[int, float] = {}
        self.next_ask_s = 0.0
        self.contacts: tuple[Address, ...] = ()
        self.contact_sequence = 0
        self.push_due = False
        self.suspicions = 0

    @property
    def me(self) -> NodeInfo:
        """Return this node."""
        return self.table.me

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        self._notice_pause(now)
        self._reorder()
        if len(self.other_digests) > MOST_DIGESTS:
            self.other_digests.clear()
        actions: list[Action] = self._contact(now)
        for rumor in self.table.expire(now):
            self._spread(rumor)
        actions += self._check_probes(now) + self._ask_suspects(now)
        if now >= self.next_probe_s:
            self.next_probe_s = now + PROBE_EVERY_S * self.chance.uniform(0.9, 1.1)
            actions += self._probe(now)
        return actions + self._push()

    def receive(self, message: Message, now: float) -> list[Action]:
        """Take in a datagram."""
        self.hear(message.rumors, now)
        self.table.note_load(message.sender, message.load)
        actions = self._compare(message, now) + self._refute(message)
        if message.kind is MessageKind.PING:
            answer = self._message(MessageKind.ACK, message.sender, message.sequence)
            actions.append(Send(message.reply_to, answer))
        elif message.kind is MessageKind.HELP:
            actions += self._help(message, now)
        elif message.kind is MessageKind.ACK:
            actions += self._acknowledged(message)
        return actions

    def hear(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Take in rumors and pass on those that are news; return whether any was.

        A node that knew nobody passes nothing on: what it learns is known.
        """
        news = False
        joining = not self.table.entries
        for rumor in rumors:
            if not self.table.apply(rumor, now):
                continue
            news = True
            entry = self.table.entries.get(rumor.node)
            if joining and entry is not None:
                continue
            self._spread(self.table.own_rumor() if entry is None else entry.rumor())
        return news

    def describe(self, info: NodeInfo) -> None:
        """Announce a new description of this node."""
        self.table.set_me(info)
        self._spread(self.table.own_rumor())

    def set_load(self, load: float) -> None:
        """Tell the load with the next messages."""
        self.table.me = replace(self.me, load=load)

    def end(self) -> list[Action]:
        """Tell some nodes that this one, which was leaving, ends now."""
        gone = Rumor(self.me.node, self.me.incarnation, MemberHealth.DOWN)
        message = replace(self._message(MessageKind.NEWS, None), rumors=(gone,))
        self._reorder()
        return [Send(self._address(node), message) for node in self.order.sample(2 * PUSH_TO)]

    def _spread(self, rumor: Rumor) -> None:
        self.gossip.add(rumor)
        self.push_due = True

    def _notice_pause(self, now: float) -> None:
        last, self.last_tick_s = self.last_tick_s, now
        if last is not None and now - last > PAUSED_AFTER_S:
            self.probes.clear()
            self.table.postpone(now - last)

    def _reorder(self) -> None:
        if self.ordered_at != self.table.version:
            self.ordered_at = self.table.version
            self.order.set_members(info.node for info in self.table.up())

    def _probe(self, now: float) -> list[Action]:
        node = self.order.next()
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
            if probe.node not in self.table.entries or age_s >= FAIL_AFTER_S:
                del self.probes[sequence]
                actions += self._doubt(probe.node, now)
            elif age_s >= HELP_AFTER_S and not probe.helped:
                probe.helped = True
                actions += self._ask_help(probe.node, sequence)
            elif age_s >= RETRY_AFTER_S and not probe.retried:
                probe.retried = True
                actions.append(self._ping(probe.node, sequence))
        lapsed = [key for key, helped in self.helping.items() if helped.due_s <= now]
        for key in lapsed:
            del self.helping[key]
        return actions

    def _doubt(self, node: NodeId, now: float) -> list[Action]:
        if not self.table.suspect(node, now):
            return []
        self.suspicions += 1
        self._spread(self.table.entries[node].rumor())
        return [Send(self._address(node), self._message(MessageKind.NEWS, node))]

    def _ask_suspects(self, now: float) -> list[Action]:
        """Give each suspect a last chance to refute before it is held to be down."""
        if now < self.next_ask_s:
            return []
        self.next_ask_s = now + ASK_SUSPECTS_EVERY_S
        asked = self.table.due_within(now + LAST_CHANCE_S)
        self.sequence += 1
        return [self._ping(node, self.sequence) for node in asked]

    def _ask_help(self, node: NodeId, sequence: int) -> list[Action]:
        asked = self._message(MessageKind.HELP, None, sequence)
        message = replace(asked, target=node, target_agent=self._address(node))
        helpers = self.order.sample(HELPERS, without=node)
        return [Send(self._address(helper), message) for helper in helpers]

    def _help(self, message: Message, now: float) -> list[Action]:
        self.sequence += 1
        self.helping[self.sequence] = _Helped(message.reply_to, message.sequence, now + 1.0)
        ping = self._message(MessageKind.PING, message.target, self.sequence)
        return [Send(message.target_agent, ping)]

    def _acknowledged(self, message: Message) -> list[Action]:
        probe = self.probes.get(message.sequence)
        if probe is not None and probe.node in (message.sender, message.target):
            del self.probes[message.sequence]
        if message.sequence == self.contact_sequence:
            self.contact_sequence = 0
            return [Sync(message.reply_to)]
        helped = self.helping.pop(message.sequence, None)
        if helped is None:
            return []
        answer = self._message(MessageKind.ACK, None, helped.sequence)
        return [Send(helped.asker, replace(answer, target=message.sender))]

    def _contact(self, now: float) -> list[Action]:
        """Probe a node that is not believed up; only one that answers is asked for its beliefs."""
        if now < self.next_contact_s:
            return []
        up = self.table.up()
        pause_s = CONTACT_EVERY_S if up else CONTACT_ALONE_S
        self.next_contact_s = now + pause_s * self.chance.uniform(0.8, 1.2)
        known = {info.addresses[Service.AGENT] for info in (self.me, *up)}
        wanted = {*self.contacts, *(info.addresses[Service.AGENT] for info in self.table.down())}
        strangers = sorted(wanted - known)
        if not strangers:
            return []
        self.sequence += 1
        self.contact_sequence = self.sequence
        ping = self._message(MessageKind.PING, None, self.sequence)
        return [Send(self.chance.choice(strangers), ping)]

    def _refute(self, message: Message) -> list[Action]:
        """Answer a node that doubts this one with the newest word of itself."""
        doubts = (
            one.node == self.me.node and one.health is not MemberHealth.ALIVE
            for one in message.rumors
        )
        if not any(doubts):
            return []
        own = replace(self._message(MessageKind.NEWS, None), rumors=(self.table.own_rumor(),))
        return [Send(message.reply_to, own)]

    def _compare(self, message: Message, now: float) -> list[Action]:
        """Exchange all beliefs with a node when beliefs other than these have lasted.

        It does not count that some other node agrees: both may have missed the same news.
        """
        if message.digest == self.table.digest():
            return []
        since_s = self.other_digests.setdefault(message.digest, now)
        if now - since_s < MISMATCH_PATIENCE_S:
            return []
        self.other_digests.clear()
        return [Sync(message.reply_to)]

    def _push(self) -> list[Action]:
        if not self.push_due:
            return []
        self.push_due = False
        self._reorder()
        actions: list[Action] = []
        for rumors in self.gossip.take_fresh() or [[]]:
            message = replace(self._message(MessageKind.NEWS, None), rumors=tuple(rumors))
            targets = self.order.sample(PUSH_TO)
            actions += [Send(self._address(node), message) for node in targets]
        return actions

    def _message(self, kind: MessageKind, to: NodeId | None, sequence: int = 0) -> Message:
        rumors = self.gossip.pick(len(self.table.entries)) if kind is not MessageKind.HELP else []
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
