"""State that one node holds of the others, and the precedence of rumors.

A node announces itself with its incarnation, which only that node increments. Within one
incarnation, suspect overrides alive, and down overrides both. A report by others that a node is
down counts as a suspicion only: each node waits for the refutation by its own clock, so that two
partitions that meet again do not take each other down.
"""

from dataclasses import dataclass, replace
from enum import Enum

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import NodeId
from parsleyrouter.process.fleet_view import NodeInfo, NodeState

__all__ = ["MemberHealth", "MemberEntry", "MemberTable", "Rumor", "SUSPICION_TIMEOUT_S"]

SUSPICION_TIMEOUT_S = 1.6
DOWN_RETENTION_S = 3600.0
DIGEST_MASK = 0x7FFFFFFF


class MemberHealth(Enum):
    """Whether a node is considered up."""

    ALIVE = 0
    SUSPECT = 1
    DOWN = 2


@dataclass(frozen=True)
class Rumor:
    """State of one node to pass on; only a rumor that it is alive carries its description."""

    node: NodeId
    incarnation: int
    health: MemberHealth
    info: NodeInfo | None = None


@dataclass
class MemberEntry:
    """One other node; at ``due_s`` a suspect is considered down, and a down node is removed."""

    info: NodeInfo
    health: MemberHealth
    due_s: float = 0.0

    def rumor(self) -> Rumor:
        """Return this state as a rumor."""
        info = self.info if self.health is MemberHealth.ALIVE else None
        return Rumor(self.info.node, self.info.incarnation, self.health, info)


class MemberTable:
    """Hold this node and its state of the others."""

    def __init__(self, me: NodeInfo) -> None:
        self.me = me
        self.entries: dict[NodeId, MemberEntry] = {}
        self.version = 0
        self.digest_version = -1
        self.cached_digest = 0

    def up(self) -> list[NodeInfo]:
        """Return the other nodes considered up, suspects included."""
        return [
            entry.info for entry in self.entries.values() if entry.health is not MemberHealth.DOWN
        ]

    def down(self) -> list[NodeInfo]:
        """Return the nodes that went down and have not been removed yet."""
        return [entry.info for entry in self.entries.values() if entry.health is MemberHealth.DOWN]

    def own_rumor(self) -> Rumor:
        """Return the rumor with which this node announces itself."""
        return Rumor(self.me.node, self.me.incarnation, MemberHealth.ALIVE, self.me)

    def all_rumors(self) -> list[Rumor]:
        """Return the state of every node as rumors, this node first."""
        rumors = [self.own_rumor()]
        for entry in self.entries.values():
            rumors.append(replace(entry.rumor(), info=entry.info))
        return rumors

    def digest(self) -> int:
        """Return a hash of the nodes considered up and their incarnations."""
        if self.digest_version != self.version:
            digest = 0
            for info in (self.me, *self.up()):
                digest ^= xxh3_64_intdigest(f"{info.node}\0{info.incarnation}".encode())
            self.cached_digest = digest & DIGEST_MASK
            self.digest_version = self.version
        return self.cached_digest

    def set_me(self, info: NodeInfo) -> None:
        """Replace the description of this node, under a higher incarnation."""
        self.me = replace(info, incarnation=self.me.incarnation + 1)
        self.version += 1

    def record_load(self, node: NodeId, load: float) -> None:
        """Store the load that a node reports of itself."""
        entry = self.entries.get(node)
        if entry is not None and entry.info.load != load:
            entry.info = replace(entry.info, load=load)

    def apply(self, rumor: Rumor, now: float) -> bool:
        """Apply a rumor; return whether it changed the table and must be passed on."""
        if rumor.node == self.me.node:
            applied = self._apply_to_me(rumor)
        else:
            applied = self._apply_to_other(rumor, now)
        if applied:
            self.version += 1
        return applied

    def suspect(self, node: NodeId, now: float) -> bool:
        """Suspect a node that did not answer; return whether it was alive until now."""
        entry = self.entries.get(node)
        if entry is None or entry.health is not MemberHealth.ALIVE:
            return False
        return self.apply(Rumor(node, entry.info.incarnation, MemberHealth.SUSPECT), now)

    def expire(self, now: float) -> list[Rumor]:
        """Consider suspects down whose time is over, and remove nodes that are down for long.

        Return rumors of the nodes that are down now.
        """
        newly_down = []
        for node, entry in list(self.entries.items()):
            if entry.health is MemberHealth.ALIVE or entry.due_s > now:
                continue
            if entry.health is MemberHealth.DOWN:
                del self.entries[node]
            else:
                self._set_health(entry, MemberHealth.DOWN, now)
                self.version += 1
                newly_down.append(entry.rumor())
        return newly_down

    def due_within(self, until_s: float) -> list[NodeId]:
        """Return the suspects that will be considered down by a time."""
        return [
            node
            for node, entry in self.entries.items()
            if entry.health is MemberHealth.SUSPECT and entry.due_s <= until_s
        ]

    def extend_suspicions(self, pause_duration_s: float) -> None:
        """Extend all suspicions after this node itself was paused."""
        for entry in self.entries.values():
            if entry.health is MemberHealth.SUSPECT:
                entry.due_s += pause_duration_s

    def _apply_to_me(self, rumor: Rumor) -> bool:
        refutable = (
            rumor.health is not MemberHealth.ALIVE and rumor.incarnation >= self.me.incarnation
        )
        if not refutable and rumor.incarnation <= self.me.incarnation:
            return False
        self.me = replace(self.me, incarnation=rumor.incarnation + 1)
        return True

    def _apply_to_other(self, rumor: Rumor, now: float) -> bool:
        entry = self.entries.get(rumor.node)
        if entry is None:
            return self._add(rumor, now)
        known = (entry.info.incarnation, entry.health.value)
        if (rumor.incarnation, rumor.health.value) <= known:
            return False
        if rumor.health is MemberHealth.ALIVE:
            if rumor.info is None:
                return False
            entry.info = rumor.info
            self._set_health(entry, MemberHealth.ALIVE, now)
            return True
        health = self._effective_health(entry, rumor.health)
        if (rumor.incarnation, health.value) <= known:
            return False
        if rumor.incarnation > entry.info.incarnation:
            entry.info = replace(entry.info, incarnation=rumor.incarnation)
        self._set_health(entry, health, now)
        return True

    def _effective_health(self, entry: MemberEntry, reported: MemberHealth) -> MemberHealth:
        """Turn a reported down into a suspicion that the node can refute, unless it was leaving."""
        leaving = entry.info.state is NodeState.LEAVING
        if reported is MemberHealth.DOWN and entry.health is not MemberHealth.DOWN and not leaving:
            return MemberHealth.SUSPECT
        return reported

    def _add(self, rumor: Rumor, now: float) -> bool:
        if rumor.info is None or rumor.health is MemberHealth.DOWN:
            return False
        entry = MemberEntry(rumor.info, rumor.health)
        self._set_health(entry, rumor.health, now)
        self.entries[rumor.node] = entry
        return True

    def _set_health(self, entry: MemberEntry, health: MemberHealth, now: float) -> None:
        entry.health = health
        entry.due_s = now + (
            DOWN_RETENTION_S if health is MemberHealth.DOWN else SUSPICION_TIMEOUT_S
        )
