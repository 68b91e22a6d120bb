"""Follow the key-value service through the node that speaks for the cell.

Answers the load of many followers: each read of changes is paid for, and every node needs the same
ones. One node of a cell reads from the service; the others ask that node, and read for themselves
when it is lost or gets no answers.
"""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from parsleyrouter.connection.key_value import (
    ChangePage,
    Entry,
    EntryPage,
    HistoryCompacted,
    KeyChange,
    KeyValueFailure,
    KeyValueFailureKind,
    TransactionalKeyValue,
)
from parsleyrouter.connection.peer import PeerClient, PeerFailure, PeerMethods
from parsleyrouter.ids import Address, NodeId, Revision
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.watched_prefix import WatchedPrefix
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed, FollowedKey

__all__ = ["CellReader", "add_cell_methods"]

WAIT_S = 0.6
"""How long a read of changes is held back within a cell, and by the service for a speaker: it
bounds how late the loss of either is noticed."""

FRESH_S = 1.25
"""Age of the service's last answer up to which a speaker's word counts: a held-back read, one
answer of a slow service and some slack."""

ANSWER_S = 0.3
"""Time beyond the wait in which a speaker must answer; a call takes a millisecond."""

AGAIN_S = 3.0
"""How long a node reads for itself after its speaker has failed."""

OWN_TRY_S = 1.5
"""Pause between own reads that fail while the speaker fails too."""

FAILED_KEPT_S = 10.0
"""How long a failed call to the service is told of; registrations are in doubt for less."""

log = logging.getLogger(__name__)


class CellReader:
    """The reads of a follower: from the speaker of the cell where there is one."""

    def __init__(
        self,
        loop: Loop,
        store: TransactionalKeyValue,
        exchange: LoadExchange,
        peers: PeerClient,
        random: Random,
    ) -> None:
        self.loop = loop
        self.store = store
        self.exchange = exchange
        self.peers = peers
        self.random = random
        self.kept: dict[str, WatchedPrefix] = {}
        """What each follower of this process knows."""
        self.answered_s: dict[str, float] = {}
        """When the service itself last answered, by prefix."""
        self.failed_s = -FAILED_KEPT_S
        self.speaker_again_s = 0.0
        self.own_again_s: dict[str, float] = {}
        self.source = ""
        store.on_failure.append(lambda: self._failed(loop.now()))
        self.on_failure: list[Callable[[float], object]] = []
        """Hear when the service failed, here or at the speaker."""

    def keep(self, prefix: str) -> WatchedPrefix:
        """Return where the follower of a prefix keeps what it knows."""
        return self.kept.setdefault(prefix, WatchedPrefix(Condition(self.loop)))

    def fresh(self, prefix: str) -> bool:
        """Tell whether the service has answered this process itself lately."""
        return self.loop.now() - self.answered_s.get(prefix, -FRESH_S) < FRESH_S

    async def scan(self, prefix: str, *, after: str = "") -> EntryPage | KeyValueFailure:
        """Read the keys under a prefix: all from the speaker, or a page from the service."""
        speaker = None if after else self._speaker()
        if speaker is not None:
            answer = await self._ask(speaker, AskFollowed(prefix=prefix, wait_ms=0))
            if answer is not None:
                entries = [_entry(key) for key in answer.keys if key.value is not None]
                return EntryPage(tuple(entries), False, Revision(answer.revision))
        refused = self._refuse_own(prefix)
        if refused is not None:
            return refused
        page = await self.store.scan(prefix, after=after)
        self._note(prefix, page)
        return page

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> ChangePage | HistoryCompacted | KeyValueFailure:
        """Read the changes behind a revision, waiting up to ``wait_s`` for the first one."""
        speaker = self._speaker()
        if speaker is not None:
            ask = AskFollowed(prefix=prefix, after=after, wait_ms=int(WAIT_S * 1000))
            answer = await self._ask(speaker, ask)
            if answer is not None:
                if answer.lost:
                    return HistoryCompacted()
                changes = tuple(_changed(key) for key in answer.keys)
                return ChangePage(changes, Revision(answer.revision))
        refused = self._refuse_own(prefix)
        if refused is not None:
            return refused
        if self.exchange.remote_peers:
            wait_s = min(wait_s, WAIT_S)
        page = await self.store.changes(prefix, after, wait_s)
        self._note(prefix, page)
        return page

    def _speaker(self) -> tuple[NodeId, Address] | None:
        """Return the node to ask, if it is another one and has not just failed."""
        node = self.exchange.leader() if self.exchange.remote_peers else None
        address = self.exchange.cell_peers.get(node) if node is not None else None
        if node is None or address is None or self.loop.now() < self.speaker_again_s:
            return None
        return node, address

    async def _ask(self, speaker: tuple[NodeId, Address], ask: AskFollowed) -> Followed | None:
        node, address = speaker
        limit_s = ask.wait_ms / 1000 + ANSWER_S
        answer = await self.peers.call(address, "cell.followed", ask, Followed, limit_s)
        reason = answer.message if isinstance(answer, PeerFailure) else answer.refusal
        if reason:
            if isinstance(answer, PeerFailure):
                self.peers.close(address)
            self.speaker_again_s = self.loop.now() + AGAIN_S * self.random.uniform(0.7, 1.3)
            self._read_from("service", reason)
            return None
        assert isinstance(answer, Followed)
        self._read_from(node, "")
        if answer.failed_ms is not None:
            self._failed(self.loop.now() - answer.failed_ms / 1000)
        return answer

    def _refuse_own(self, prefix: str) -> KeyValueFailure | None:
        """Keep the nodes of a large fleet from all asking a service that does not answer."""
        if not self.exchange.remote_peers or self.loop.now() >= self.own_again_s.get(prefix, 0.0):
            return None
        message = "neither the speaker of the cell nor the service has answered; trying again"
        return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, message)

    def _note(self, prefix: str, page: object) -> None:
        now = self.loop.now()
        if not isinstance(page, KeyValueFailure):
            self.answered_s[prefix] = now
            return
        if self.exchange.leader() != self.exchange.registry.own.node:
            self.own_again_s[prefix] = now + OWN_TRY_S * self.random.uniform(0.7, 1.3)
            self.speaker_again_s = 0.0

    def _failed(self, at_s: float) -> None:
        if at_s > self.failed_s:
            self.failed_s = at_s
            for callback in self.on_failure:
                callback(at_s)

    def _read_from(self, source: str, reason: str) -> None:
        if source != self.source:
            self.source = source
            log.info("changes read from", extra={"source": source, "reason": reason})


def add_cell_methods(methods: PeerMethods, reads: CellReader) -> None:
    """Answer the other nodes of the cell."""

    @methods.add("cell.followed", AskFollowed)
    async def followed(_: Any, ask: AskFollowed) -> Followed:
        kept = reads.kept.get(ask.prefix)
        if kept is None or kept.revision is None or not reads.fresh(ask.prefix):
            return _refused(reads, ask.prefix)
        if ask.after is None:
            keys = [_wire(entry.key, entry.revision, entry) for entry in kept.entries.values()]
            return _answer(reads, kept.revision, keys)
        if ask.after < kept.base:
            return Followed(refusal="", lost=True, revision=kept.revision, keys=[])
        until_s = reads.loop.now() + ask.wait_ms / 1000
        while not (changes := kept.behind(Revision(ask.after))):
            left_s = until_s - reads.loop.now()
            if left_s <= 0 or kept.base > ask.after:
                break
            await kept.changed.wait(left_s)
        if not reads.fresh(ask.prefix) or kept.base > ask.after:
            return _refused(reads, ask.prefix)
        keys = [_wire(change.key, change.revision, change.entry) for change in changes]
        return _answer(reads, kept.revision, keys)


def _answer(reads: CellReader, revision: Revision, keys: list[FollowedKey]) -> Followed:
    failed_s = reads.loop.now() - reads.failed_s
    failed_ms = int(failed_s * 1000) if failed_s < FAILED_KEPT_S else None
    return Followed(refusal="", lost=False, revision=revision, keys=keys, failed_ms=failed_ms)


def _refused(reads: CellReader, prefix: str) -> Followed:
    age_s = reads.loop.now() - reads.answered_s.get(prefix, 0.0)
    message = f"the service last answered this node {age_s:.1f} s ago: read for yourself"
    return Followed(refusal=message, lost=False, revision=0, keys=[])


def _wire(key: str, revision: Revision, entry: Entry | None) -> FollowedKey:
    return FollowedKey(key=key, revision=revision, value=None if entry is None else entry.value)


def _entry(key: FollowedKey) -> Entry:
    return Entry(key.key, key.value, Revision(key.revision))


def _changed(key: FollowedKey) -> KeyChange:
    entry = None if key.value is None else _entry(key)
    return KeyChange(key.key, Revision(key.revision), entry)
