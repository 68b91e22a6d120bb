"""A stateful model of how settings spread: any order of messages, restarts, pauses, outages."""

from dataclasses import dataclass
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from parsleyrouter.ids import Revision
from parsleyrouter.version.replica import SettingsReplica, StoredRecord, Watermark

SUBTREES = ("fleet", "teams/a", "teams/b")
NODES = 4
NODE = st.integers(0, NODES - 1)
PICK = st.integers(0, 1000)


@dataclass
class Scan:
    """A reading of the whole service, on its way to a node."""

    node: int
    records: tuple[StoredRecord, ...]
    at: Revision
    read_s: float


@dataclass
class Told:
    """A mark on its way to a node."""

    to: int
    peer: int
    mark: Watermark
    sent_s: float


@dataclass
class Update:
    """A peer's answer on its way to a node."""

    to: int
    records: tuple[StoredRecord, ...]
    since: Revision
    mark: Watermark
    asked_s: float


class SettingsSpread(RuleBasedStateMachine):
    """Drive replicas; messages may be delivered late, twice, never and in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.log: list[tuple[float, StoredRecord]] = []
        self.replicas = [SettingsReplica() for _ in range(NODES)]
        self.watched = [0] * NODES
        self.seen: list[dict[str, Revision]] = [{} for _ in range(NODES)]
        self.scans: list[Scan] = []
        self.told: list[Told] = []
        self.updates: list[Update] = []
        self.lives = [0] * NODES

    def standing(self, at: int) -> dict[str, StoredRecord]:
        """Return the records as they stood at a revision of the service."""
        return {held.subtree: held for _, held in self.log if held.revision <= at}

    @rule(subtree=st.sampled_from(SUBTREES), node=NODE, heard=st.booleans())
    def accept(self, subtree: str, node: int, heard: bool) -> None:
        """Commit a change; the node that asked for it may not get the reply."""
        self.revision += 1
        held = StoredRecord(subtree, Revision(self.revision), str(self.revision).encode())
        self.log.append((self.now, held))
        if heard:
            self.replicas[node].take([held])

    @rule(by=st.floats(0.1, 30))
    def wait(self, by: float) -> None:
        """Let time pass."""
        self.now += by

    @rule(node=NODE)
    def begin_scan(self, node: int) -> None:
        """Read the service; the answer may take its time."""
        records = tuple(self.standing(self.revision).values())
        self.scans.append(Scan(node, records, Revision(self.revision), self.now))

    @precondition(lambda self: self.scans)
    @rule(pick=PICK)
    def end_scan(self, pick: int) -> None:
        """Take a reading in, perhaps late; the watch starts behind it."""
        scan = self.scans[pick % len(self.scans)]
        self.replicas[scan.node].take_scan(scan.records, scan.at, scan.read_s)
        self.watched[scan.node] = max(self.watched[scan.node], scan.at)

    @rule(node=NODE, count=st.integers(1, 3))
    def watch(self, node: int, count: int) -> None:
        """Deliver the next changes to a relay that has scanned."""
        if not self.watched[node]:
            return
        coming = [held for _, held in self.log if held.revision > self.watched[node]]
        for held in coming[:count]:
            self.replicas[node].take([held])
            self.watched[node] = held.revision

    @rule(node=NODE)
    def marker(self, node: int) -> None:
        """Write a marker; when it has come through the watch nothing older is missing."""
        if not self.watched[node]:
            return
        began_s = self.now
        self.revision += 1
        self.watch(node, len(self.log))
        self.watched[node] = self.revision
        self.replicas[node].take_scan((), Revision(self.revision), began_s)

    @rule(peer=NODE, to=NODE)
    def tell(self, peer: int, to: int) -> None:
        """Send a mark."""
        self.told.append(Told(to, peer, self.replicas[peer].mark(self.now), self.now))

    @precondition(lambda self: self.told)
    @rule(pick=PICK)
    def hear(self, pick: int) -> None:
        """Take in a mark; ask its sender, as it is by now, for what is missing."""
        told = self.told[pick % len(self.told)]
        replica = self.replicas[told.to]
        if replica.hear(told.mark, told.sent_s):
            peer = self.replicas[told.peer]
            since = replica.complete
            update = Update(
                told.to, peer.since(since), since, peer.mark(self.now), asked_s=self.now
            )
            self.updates.append(update)

    @precondition(lambda self: self.updates)
    @rule(pick=PICK)
    def fetch(self, pick: int) -> None:
        """Take in an answer, perhaps late or twice."""
        update = self.updates[pick % len(self.updates)]
        replica = self.replicas[update.to]
        replica.take_update(update.records, update.since, update.mark, update.asked_s)

    @rule(node=NODE)
    def restart(self, node: int) -> None:
        """Lose all that a node holds and all that was on its way to it."""
        self.replicas[node] = SettingsReplica()
        self.watched[node] = 0
        self.seen[node] = {}
        self.scans = [scan for scan in self.scans if scan.node != node]
        self.told = [told for told in self.told if told.to != node]
        self.updates = [update for update in self.updates if update.to != node]

    @invariant()
    def never_back(self) -> None:
        """Check that no subtree went back on any node."""
        for node, replica in enumerate(self.replicas):
            held = {name: record.revision for name, record in replica.records.items()}
            for subtree, before in self.seen[node].items():
                assert held.get(subtree, 0) >= before, (node, subtree)
            self.seen[node] = held

    @invariant()
    def complete_is_true(self) -> None:
        """Check that nothing is missing up to the revision that a node calls complete."""
        for replica in self.replicas:
            for subtree, record in self.standing(replica.complete).items():
                assert subtree in replica.records
                assert replica.records[subtree].revision >= record.revision

    @invariant()
    def proof_is_true(self) -> None:
        """Check that nothing accepted before the time of a proof is missing."""
        for replica in self.replicas:
            for accepted_s, record in self.log:
                if accepted_s < replica.proved_s:
                    assert record.subtree in replica.records
                    assert replica.records[record.subtree].revision >= record.revision

    def teardown(self) -> None:
        """Spread all there is and check that every node ends with the newest of each subtree."""
        self.begin_scan(0)
        scan = self.scans[-1]
        self.replicas[0].take_scan(scan.records, scan.at, scan.read_s)
        for node in range(1, NODES):
            mark: Any = self.replicas[0].mark(self.now)
            replica = self.replicas[node]
            if replica.hear(mark, self.now):
                since = replica.complete
                replica.take_update(self.replicas[0].since(since), since, mark, self.now)
        for replica in self.replicas:
            assert replica.records == self.standing(self.revision)
            assert replica.complete == self.revision
