"""Read from the key-value service through the leader of the cell.

Bounds the load of many watching nodes: each read of changes is billed, and all nodes need the same
changes. One node per cell, the leader, reads from the service. The others ask the leader and read
directly when it is lost or gets no answers itself.
"""

import logging
import math
from collections.abc import Callable, Mapping
from random import Random

from parsleyrouter.connection.key_value import (
    ChangePage,
    EntryPage,
    HistoryCompacted,
    KeyValueFailure,
    KeyValueFailureKind,
    TransactionalKeyValue,
)
from parsleyrouter.connection.peer import PeerClient, PeerFailure
from parsleyrouter.customers import SuspendedTime
from parsleyrouter.ids import Address, NodeId, Revision
from parsleyrouter.process.boot_clock import boot_now_s
from parsleyrouter.process.caller_identity import suspended_s
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.changes_elsewhere import BEHIND_GRACE_S, ChangesElsewhere
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.direct_reads import DirectReads
from parsleyrouter.process.followed_keys import to_change, to_entry
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.read_times import (
    ANSWER_MAX_AGE_S,
    CALL_MARGIN_S,
    CHANGES_WAIT_S,
    DIRECT_PAUSE_JITTER,
    DIRECT_READS_PER_S,
    DIRECT_RETRY_S,
    DIRECT_WAIT_S,
    DISCOVERY_S,
    FAILURE_RETENTION_S,
    LEADER_RETRY_S,
    PROOF_WAIT_S,
    READ_PAUSE_S,
    STANDBY_ANSWER_MAX_AGE_S,
    STANDBY_PAUSE_S,
)
from parsleyrouter.process.watched_prefix import WatchedPrefix
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed

__all__ = [
    "CHANGES_WAIT_S",
    "FAILURE_RETENTION_S",
    "READ_PAUSE_S",
    "STANDBY_ANSWER_MAX_AGE_S",
    "CellReader",
]

SERVICE = "service"
"""Source of the changes while they are read directly."""

log = logging.getLogger(__name__)


class CellReader:
    """Read keys and changes, from the leader of the cell if there is one."""

    def __init__(
        self,
        loop: Loop,
        store: TransactionalKeyValue,
        members: CellMembers,
        peers: PeerClient,
        random: Random,
    ) -> None:
        self.loop = loop
        self.store = store
        self.members = members
        self.peers = peers
        self.random = random
        self.prefixes: dict[str, WatchedPrefix] = {}
        """State of the watched prefixes of this process."""
        self.answered_s: dict[str, float] = {}
        """When the service last answered this process or the one that it asks; monotonic."""
        self.proofs_s: dict[str, float] = {}
        """A time before which the latest read misses no change; counts suspensions."""
        self.proof_wanted: dict[str, Callable[[], bool]] = {}
        self.wait_bounds: dict[str, Callable[[], float]] = {}
        """Longest long-poll time of direct reads, where the age of answers matters."""
        self.last_failure_s = self.own_failure_s = -FAILURE_RETENTION_S
        self.leader_retry_at_s = 0.0
        self.direct_retry_at_s: dict[str, float] = {}
        self.source = ""
        self.started_s = loop.now()
        self.suspended = SuspendedTime()
        self.direct = DirectReads(loop, store)
        self.elsewhere = ChangesElsewhere()
        store.on_lost.append(lambda _: self._end_pauses())
        store.on_failure.append(self._record_own_failure)
        self.on_failure: list[Callable[[float], object]] = []
        """Called with the time of each failed call of the node that reads from the service."""

    def watched_prefix(self, prefix: str) -> WatchedPrefix:
        """Return the state of a watched prefix, created on first use."""
        return self.prefixes.setdefault(prefix, WatchedPrefix(Condition(self.loop)))

    def answered_recently(self, prefix: str) -> bool:
        """Return whether the service answered about a prefix within the maximum age."""
        max_age_s = STANDBY_ANSWER_MAX_AGE_S if self.members.on_standby else ANSWER_MAX_AGE_S
        return self.answer_age_s(prefix) < max_age_s

    def answer_age_s(self, prefix: str) -> float:
        """Return the time since the service answered about a prefix, infinite if it never did."""
        now = self.loop.now()
        self.suspended.note(now, suspended_s())
        return self.suspended.age_s(now, self.answered_s.get(prefix, -math.inf))

    async def scan(self, prefix: str, *, after: str = "") -> EntryPage | KeyValueFailure:
        """Read the keys of a prefix: all from the leader, or one page from the service."""
        leader = None if after else self._leader_address()
        if leader is not None:
            answer = await self._ask_leader(leader, AskFollowed(prefix=prefix, wait_ms=0))
            if answer is not None:
                entries = [to_entry(key) for key in answer.keys if key.value is not None]
                return EntryPage(tuple(entries), False, Revision(answer.revision))
        refused = self._refuse_direct_read(prefix)
        if refused is not None:
            return refused
        self.proofs_s[prefix] = boot_now_s()
        page = await self.store.scan(prefix, after=after)
        self._record_answer(prefix, page)
        return page

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> ChangePage | HistoryCompacted | KeyValueFailure:
        """Read the changes after a revision, waiting up to ``wait_s`` for the first one."""
        leader = self._leader_address()
        if leader is not None:
            query = AskFollowed(prefix=prefix, after=after, wait_ms=int(CHANGES_WAIT_S * 1000))
            answer = await self._ask_leader(leader, query)
            if answer is not None:
                if answer.lost:
                    return HistoryCompacted()
                changes = tuple(to_change(key) for key in answer.keys)
                return ChangePage(changes, Revision(answer.revision))
        refused = self._refuse_direct_read(prefix)
        if refused is not None:
            return refused
        wait_s = self._direct_wait_s(prefix, wait_s)
        if prefix in self.wait_bounds:
            wait_s = min(wait_s, self.wait_bounds[prefix]())
        self.proofs_s[prefix] = boot_now_s()
        page = await self.direct.changes(prefix, after, wait_s)
        self._record_answer(prefix, page)
        return page

    def known_changes(self) -> dict[str, Revision]:
        """Return the revision of the latest change known here, by watched prefix."""
        return {prefix: watched.changed_revision for prefix, watched in self.prefixes.items()}

    def record_changes_elsewhere(self, changed: Mapping[str, Revision]) -> None:
        """Read again what another node has known for a while and this one has not."""
        for prefix, revision in changed.items():
            watched = self.prefixes.get(prefix)
            if watched is None or watched.revision is None:
                continue
            now, grace_s = self.loop.now(), BEHIND_GRACE_S + self.pause_s(READ_PAUSE_S)
            if self.elsewhere.is_behind(prefix, watched.revision, revision, now, grace_s):
                self.distrust_leader()
                self.direct.abandon(prefix, f"another node knows revision {revision}")

    def _leader_address(self) -> tuple[NodeId, Address] | None:
        """Return the node to ask unless it has failed recently: the leader of this cell.

        The leader of a cell on standby asks the leader of the active one, which asks the service.
        """
        members = self.members
        if not members.divided or self.loop.now() < self.leader_retry_at_s:
            return None
        node: NodeId | None = members.leader()
        if node == members.registry.own.node:
            node = members.active_leader() if members.on_standby else None
        info = members.known_nodes.get(node) if node is not None else None
        return None if info is None else (info.node, info.nodes)

    async def _ask_leader(
        self, leader: tuple[NodeId, Address], query: AskFollowed
    ) -> Followed | None:
        node, address = leader
        timeout_s = query.wait_ms / 1000 + CALL_MARGIN_S
        sent_s = boot_now_s()
        answer = await self.peers.call(address, "cell.followed", query, Followed, timeout_s)
        reason = answer.message if isinstance(answer, PeerFailure) else answer.refusal
        if reason:
            if isinstance(answer, PeerFailure):
                self.peers.close(address)
            self.distrust_leader()
            self._set_source(SERVICE, reason)
            return None
        assert isinstance(answer, Followed)
        self._set_source(node, "")
        proof_ms = math.inf if answer.proof_ms is None else answer.proof_ms
        self.proofs_s[query.prefix] = sent_s - proof_ms / 1000
        if answer.age_ms is not None:
            self.answered_s[query.prefix] = self.loop.now() - answer.age_ms / 1000
        if answer.failed_ms is not None:
            self._record_failure(self.loop.now() - answer.failed_ms / 1000)
        return answer

    def distrust_leader(self) -> None:
        """Read directly for a while."""
        self.leader_retry_at_s = self.loop.now() + LEADER_RETRY_S * self.random.uniform(0.7, 1.3)

    def pause_s(self, usual_s: float) -> float:
        """Return the pause between reads of a prefix: longer on standby, where few callers come.

        The leader of a cell on standby makes no longer pauses, as the others read from it.
        """
        longer = usual_s and self.members.on_standby and not self._leads()
        return max(usual_s, STANDBY_PAUSE_S) if longer else usual_s

    def pause_after_s(self, usual_s: float) -> float:
        """Return the pause after a read: in proportion to the fleet while all read directly."""
        pause_s = self.pause_s(usual_s)
        if not self._reads_beside_others():
            return pause_s
        jitter = self.random.uniform(1 - DIRECT_PAUSE_JITTER, 1 + DIRECT_PAUSE_JITTER)
        return max(pause_s, len(self.members.registry.nodes) * jitter / DIRECT_READS_PER_S)

    def _reads_beside_others(self) -> bool:
        """Return whether many nodes may be reading the same changes directly."""
        discovers = self.loop.now() - self.started_s < DISCOVERY_S
        may_lead = not self.members.divided or self._leads()
        return self.source in ("", SERVICE) and (discovers or not may_lead)

    def _leads(self) -> bool:
        return self.members.leader() == self.members.registry.own.node

    def _direct_wait_s(self, prefix: str, usual_s: float) -> float:
        """Return the long-poll time of a direct read: short if other nodes depend on it.

        The many others wait long, also after failures: renewals tell when the service is back.
        """
        members = self.members
        if self.proof_wanted.get(prefix, bool)():
            usual_s = min(usual_s, PROOF_WAIT_S)
        if self.loop.now() - self.started_s < DISCOVERY_S:
            return min(usual_s, CHANGES_WAIT_S)
        if not members.divided:
            return usual_s
        return min(usual_s, CHANGES_WAIT_S) if self._leads() else DIRECT_WAIT_S

    def _end_pauses(self) -> None:
        """Read again at once, now that the service answers again."""
        self.direct_retry_at_s.clear()
        self.leader_retry_at_s = 0.0

    def _refuse_direct_read(self, prefix: str) -> KeyValueFailure | None:
        """Keep the many nodes of a large fleet from calling a service that does not answer."""
        if not self.members.divided or self.loop.now() >= self.direct_retry_at_s.get(prefix, 0.0):
            return None
        message = "neither the leader of the cell nor the service has answered; retrying"
        return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, message)

    def _record_answer(self, prefix: str, page: object) -> None:
        now = self.loop.now()
        if not isinstance(page, KeyValueFailure):
            self.answered_s[prefix] = now
            return
        if not self._leads():
            self.direct_retry_at_s[prefix] = now + DIRECT_RETRY_S * self.random.uniform(0.7, 1.3)
            self.leader_retry_at_s = 0.0

    def _record_own_failure(self) -> None:
        """Record a failed call of this node unless another node reads from the service for it.

        The service may turn this node away and serve the other, which tells of its own failures.
        """
        self.own_failure_s = self.loop.now()
        if self.source in ("", SERVICE) or self._leader_address() is None:
            self._record_failure(self.own_failure_s)

    def _record_failure(self, at_s: float) -> None:
        if at_s > self.last_failure_s:
            self.last_failure_s = at_s
            for callback in self.on_failure:
                callback(at_s)

    def _set_source(self, source: str, reason: str) -> None:
        if source != self.source:
            self.source = source
            if source == SERVICE:
                self._record_failure(self.own_failure_s)
            log.info("changes read from", extra={"source": source, "reason": reason})
