"""What one node believes of the others, and which of two beliefs holds.

A node's own word carries its incarnation, which only that node raises. At one incarnation a
suspicion replaces the belief that the node is alive, and the belief that it is down replaces both.
The word of others that a node is down is taken as a suspicion only: each node waits by its own
clock for the refutation, so that two halves that meet again do not take each other down.
"""

from dataclasses import dataclass, replace
from enum import Enum

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import NodeId
from parsleyrouter.process.fleet_view import NodeInfo, NodeState

__all__ = ["MemberHealth", "MemberEntry", "MemberTable", "Rumor", "SUSPICION_S"]

SUSPICION_S = 1.6
DOWN_KEPT_S = 3600.0
DIGEST_MASK = 0x7FFFFFFF


class MemberHealth(Enum):
    """Say whether a node is believed to be up."""

    ALIVE = 0
    SUSPECT = 1
    DOWN = 2


@dataclass(frozen=True)
class Rumor:
    """One belief to be passed on; only the word that a node is alive describes it."""

    node: NodeId
    incarnation: int
    health: MemberHealth
    info: NodeInfo | None = None


@dataclass
class MemberEntry:
    """One other node; ``due_s`` is when a suspicion turns to down, or a down node is forgotten."""

    info: NodeInfo
    health: MemberHealth
    due_s: float = 0.0

    def rumor(self) -> Rumor:
        """Return this belief to be passed on."""
        info = self.info if self.health is MemberHealth.ALIVE else None
        return Rumor(self.info.node, self.info.incarnation, self.health, info)


class MemberTable:
    """Hold this node and its beliefs of the others."""

    def __init__(self, me: NodeInfo) -> None:
        self.me = me
        self.entries: dict[NodeId, MemberEntry] = {}
        self.version = 0
        self.digest_at = -1
        self.digest_known = 0

    def up(self) -> list[NodeInfo]:
        """Return the other nodes believed up."""
        return [
            entry.info for entry in self.entries.values() if entry.health is not MemberHealth.DOWN
        ]

    def down(self) -> list[NodeInfo]:
        """Return the nodes that went down and may come back."""
        return [entry.info for entry in self.entries.values() if entry.health is MemberHealth.DOWN]

    def own_rumor(self) -> Rumor:
        """Return the word of this node of itself."""
        return Rumor(self.me.node, self.me.incarnation, MemberHealth.ALIVE, self.me)

    def all_rumors(self) -> list[Rumor]:
        """Return every belief, this node's word of itself first."""
        rumors = [self.own_rumor()]
        for entry in self.entries.values():
            rumors.append(replace(entry.rumor(), info=entry.info))
        return rumors

    def digest(self) -> int:
        """Return a number that is equal on two nodes with the same beliefs of who is up."""
        if self.digest_at != self.version:
            digest = 0
            for info in (self.me, *self.up()):
                digest ^= xxh3_64_intdigest(f"{info.node}\0{info.incarnation}".encode())
            self.digest_known = digest & DIGEST_MASK
            self.digest_at = self.version
        return self.digest_known

    def set_me(self, info: NodeInfo) -> None:
        """Describe this node anew under a higher incarnation."""
        self.me = replace(info, incarnation=self.me.incarnation + 1)
        self.version += 1

    def note_load(self, node: NodeId, load: float) -> None:
        """Keep the load that a node told of itself."""
        entry = self.entries.get(node)
        if entry is not None and entry.info.load != load:
            entry.info = replace(entry.info, load=load)

    def apply(self, rumor: Rumor, now: float) -> bool:
        """Take in a rumor; return whether it is news to be passed on."""
        if rumor.node == self.me.node:
            news = self._apply_to_me(rumor)
        else:
            news = self._apply_to_other(rumor, now)
        if news:
            self.version += 1
        return news

    def suspect(self, node: NodeId, now: float) -> bool:
        """Begin to doubt a node that did not answer."""
        entry = self.entries.get(node)
        if entry is None or entry.health is not MemberHealth.ALIVE:
            return False
        return self.apply(Rumor(node, entry.info.incarnation, MemberHealth.SUSPECT), now)

    def expire(self, now: float) -> list[Rumor]:
        """Turn suspicions that were not refuted in time to down; forget old down nodes."""
        found = []
        for node, entry in list(self.entries.items()):
            if entry.health is MemberHealth.ALIVE or entry.due_s > now:
                continue
            if entry.health is MemberHealth.DOWN:
                del self.entries[node]
            else:
                self._set_health(entry, MemberHealth.DOWN, now)
                self.version += 1
                found.append(entry.rumor())
        return found

    def due_within(self, until_s: float) -> list[NodeId]:
        """Return the suspects that would be held to be down by a time."""
        return [
            node
            for node, entry in self.entries.items()
            if entry.health is MemberHealth.SUSPECT and entry.due_s <= until_s
        ]

    def postpone(self, gap_s: float) -> None:
        """Give suspicions more time after this node was paused itself."""
        for entry in self.entries.values():
            if entry.health is MemberHealth.SUSPECT:
                entry.due_s += gap_s

    def _apply_to_me(self, rumor: Rumor) -> bool:
        wrong = rumor.health is not MemberHealth.ALIVE and rumor.incarnation >= self.me.incarnation
        if not wrong and rumor.incarnation <= self.me.incarnation:
            return False
        self.me = replace(self.me, incarnation=rumor.incarnation + 1)
        return True

    def _apply_to_other(self, rumor: Rumor, now: float) -> bool:
        entry = self.entries.get(rumor.node)
        if entry is None:
            return self._meet(rumor, now)
        known = (entry.info.incarnation, entry.health.value)
        if (rumor.incarnation, rumor.health.value) <= known:
            return False
        if rumor.health is MemberHealth.ALIVE:
            if rumor.info is None:
                return False
            entry.info = rumor.info
            self._set_health(entry, MemberHealth.ALIVE, now)
            return True
        health = self._doubt(entry, rumor.health)
        if (rumor.incarnation, health.value) <= known:
            return False
        if rumor.incarnation > entry.info.incarnation:
            entry.info = replace(entry.info, incarnation=rumor.incarnation)
        self._set_health(entry, health, now)
        return True

    def _doubt(self, entry: MemberEntry, told: MemberHealth) -> MemberHealth:
        """Let a node that others hold to be down refute it here too, unless it was leaving."""
        leaving = entry.info.state is NodeState.LEAVING
        if told is MemberHealth.DOWN and entry.health is not MemberHealth.DOWN and not leaving:
            return MemberHealth.SUSPECT
        return told

    def _meet(self, rumor: Rumor, now: float) -> bool:
        if rumor.info is None or rumor.health is MemberHealth.DOWN:
            return False
        entry = MemberEntry(rumor.info, rumor.health)
        self._set_health(entry, rumor.health, now)
        self.entries[rumor.node] = entry
        return True

    def _set_health(self, entry: MemberEntry, health: MemberHealth, now: float) -> None:
        entry.health = health
        entry.due_s = now + (DOWN_KEPT_S if health is MemberHealth.DOWN else SUSPICION_S)
