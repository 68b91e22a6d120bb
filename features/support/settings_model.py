"""Stateful model of settings replication: any order of messages, restarts, pauses, outages."""

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
    """A scan of the key-value service, on its way to a node."""

    node: int
    records: tuple[StoredRecord, ...]
    at: Revision
    read_s: float


@dataclass
class SentWatermark:
    """A watermark on its way to a node."""

    to: int
    peer: int
    watermark: Watermark
    sent_s: float


@dataclass
class Update:
    """A peer's answer on its way to a node."""

    to: int
    records: tuple[StoredRecord, ...]
    since: Revision
    watermark: Watermark
    requested_s: float


class ReplicationModel(RuleBasedStateMachine):
    """Drive replicas; messages may be late, repeated, lost and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.log: list[tuple[float, StoredRecord]] = []
        self.replicas = [SettingsReplica() for _ in range(NODES)]
        self.watched = [0] * NODES
        self.seen: list[dict[str, Revision]] = [{} for _ in range(NODES)]
        self.scans: list[Scan] = []
        self.sent_watermarks: list[SentWatermark] = []
        self.updates: list[Update] = []
        self.lives = [0] * NODES

    def stored_at(self, at: int) -> dict[str, StoredRecord]:
        """Return the records stored at a revision of the service."""
        return {record.subtree: record for _, record in self.log if record.revision <= at}

    @rule(subtree=st.sampled_from(SUBTREES), node=NODE, heard=st.booleans())
    def accept(self, subtree: str, node: int, heard: bool) -> None:
        """Commit a change; the node that requested it may not get the reply."""
        self.revision += 1
        record = StoredRecord(subtree, Revision(self.revision), str(self.revision).encode())
        self.log.append((self.now, record))
        if heard:
            self.replicas[node].merge([record])

    @rule(by=st.floats(0.1, 30).map(lambda seconds: round(seconds * 1024) / 1024))
    def wait(self, by: float) -> None:
        """Let time pass."""
        self.now += by

    @rule(node=NODE)
    def begin_scan(self, node: int) -> None:
        """Scan the service; the result may arrive later."""
        records = tuple(self.stored_at(self.revision).values())
        self.scans.append(Scan(node, records, Revision(self.revision), self.now))

    @precondition(lambda self: self.scans)
    @rule(pick=PICK)
    def end_scan(self, pick: int) -> None:
        """Merge a scan, perhaps late; the watch starts after its revision."""
        scan = self.scans[pick % len(self.scans)]
        self.replicas[scan.node].merge_scan(scan.records, scan.at, scan.read_s)
        self.watched[scan.node] = max(self.watched[scan.node], scan.at)

    @rule(node=NODE, count=st.integers(1, 3))
    def watch(self, node: int, count: int) -> None:
        """Deliver the next changes to a relay that has scanned."""
        if not self.watched[node]:
            return
        coming = [record for _, record in self.log if record.revision > self.watched[node]]
        for record in coming[:count]:
            self.replicas[node].merge([record])
            self.watched[node] = record.revision

    @rule(node=NODE)
    def marker(self, node: int) -> None:
        """Write a marker; once the watch has delivered it, nothing older is missing."""
        if not self.watched[node]:
            return
        started_s = self.now
        self.revision += 1
        self.watch(node, len(self.log))
        self.watched[node] = self.revision
        self.replicas[node].merge_scan((), Revision(self.revision), started_s)

    @rule(peer=NODE, to=NODE)
    def tell(self, peer: int, to: int) -> None:
        """Send a watermark."""
        self.sent_watermarks.append(
            SentWatermark(to, peer, self.replicas[peer].watermark(self.now), self.now)
        )

    @precondition(lambda self: self.sent_watermarks)
    @rule(pick=PICK)
    def hear(self, pick: int) -> None:
        """Receive a watermark; request what is missing from its sender in its current state."""
        sent = self.sent_watermarks[pick % len(self.sent_watermarks)]
        replica = self.replicas[sent.to]
        if replica.receive_watermark(sent.watermark, sent.sent_s):
            peer = self.replicas[sent.peer]
            since = replica.complete
            update = Update(
                sent.to,
                peer.records_after(since),
                since,
                peer.watermark(self.now),
                requested_s=self.now,
            )
            self.updates.append(update)

    @precondition(lambda self: self.updates)
    @rule(pick=PICK)
    def fetch(self, pick: int) -> None:
        """Merge an answer, perhaps late or twice."""
        update = self.updates[pick % len(self.updates)]
        replica = self.replicas[update.to]
        replica.merge_update(update.records, update.since, update.watermark, update.requested_s)

    @rule(node=NODE)
    def restart(self, node: int) -> None:
        """Lose the state of a node and all messages on their way to it."""
        self.replicas[node] = SettingsReplica()
        self.watched[node] = 0
        self.seen[node] = {}
        self.scans = [scan for scan in self.scans if scan.node != node]
        self.sent_watermarks = [sent for sent in self.sent_watermarks if sent.to != node]
        self.updates = [update for update in self.updates if update.to != node]

    @invariant()
    def never_back(self) -> None:
        """Check that no subtree went back to an older revision on any node."""
        for node, replica in enumerate(self.replicas):
            revisions = {name: record.revision for name, record in replica.records.items()}
            for subtree, before in self.seen[node].items():
                assert revisions.get(subtree, 0) >= before, (node, subtree)
            self.seen[node] = revisions

    @invariant()
    def complete_is_true(self) -> None:
        """Check that nothing is missing up to the revision that a node considers complete."""
        for replica in self.replicas:
            for subtree, record in self.stored_at(replica.complete).items():
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
        """Replicate everything and check that every node has the newest record of each subtree."""
        self.begin_scan(0)
        scan = self.scans[-1]
        self.replicas[0].merge_scan(scan.records, scan.at, scan.read_s)
        for node in range(1, NODES):
            watermark: Any = self.replicas[0].watermark(self.now)
            replica = self.replicas[node]
            if replica.receive_watermark(watermark, self.now):
                since = replica.complete
                replica.merge_update(
                    self.replicas[0].records_after(since), since, watermark, self.now
                )
        for replica in self.replicas:
            assert replica.records == self.stored_at(self.revision)
            assert replica.complete == self.revision
