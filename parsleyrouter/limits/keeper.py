"""Claim and release shares of the customers' limits in the store."""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from parsleyrouter.connection.key_value import (
    Entry,
    KeyChange,
    KeyValueFailure,
    LeaseLost,
    Transaction,
    TransactionalKeyValue,
    TransactionConflict,
    Write,
)
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import DomainName, NodeId, Revision, ShareId
from parsleyrouter.limits.authority import Claim, ShareAuthority, ShareChange
from parsleyrouter.limits.choice import claim_delay_s
from parsleyrouter.limits.holder import ShareHolder
from parsleyrouter.limits.shares import (
    ShareRecord,
    all_shares,
    decode_record,
    encode_record,
    share_key,
    share_of_key,
    shares_of,
)
from parsleyrouter.process.loop import Loop

__all__ = ["NodeViews", "ShareKeeper"]

CHECK_INTERVAL_S = 0.25
START_PAUSE_S = 1.0
"""Time after its registration in which a node learns of the others before it claims free shares."""

GONE_S = 3.0
"""Time for which a holder must be unregistered and silent: it may come back after an outage."""

RETRY_S = 0.5
RELEASE_PAUSE_S = 0.1
MAX_WRITES = 16
"""Shares in one transaction, which holds a condition and a write for each."""

log = logging.getLogger(__name__)


class NodeViews(Protocol):
    """What the keeper needs to know of the nodes."""

    def registered(self) -> bool:
        """Return whether this node is registered and not stopping."""

    def lives(self, record: ShareRecord) -> bool:
        """Return whether a holder is registered or heard of."""

    def active(self) -> Mapping[NodeId, DomainName]:
        """Return the nodes that take callers and do not stop."""

    def all_nodes(self) -> Mapping[NodeId, DomainName]:
        """Return all registered nodes."""


class ShareKeeper:
    """Hold the shares that fall to this node, while some customer has a limit."""

    def __init__(
        self,
        loop: Loop,
        store: TransactionalKeyValue,
        authority: ShareAuthority,
        holder: ShareHolder,
        nodes: NodeViews,
        clock: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.store = store
        self.authority = authority
        self.holder = holder
        self.nodes = nodes
        self.clock = clock
        self.wanted = False
        """Whether some customer has a limit."""
        self.registered_s: float | None = None
        self.free_since_s: dict[ShareId, float] = {}
        self.gone_since_s: dict[ShareId, float] = {}
        self.granting: set[ShareId] = set()
        self.writing = False
        self.retry_at_s = 0.0
        self.read_proof_s: Callable[[], float] = lambda: authority.proved_s
        """Returns the latest time at which the store held what the watch has delivered."""

    def start(self) -> None:
        """Start checking which shares to claim."""
        self._check()
        self.loop.call_later(CHECK_INTERVAL_S, self.start)

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Apply a listing of all shares."""
        for entry in entries:
            self._observe(entry.key, entry, entry.revision)
        self.authority.listed = True
        self._check()

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of one share."""
        self._observe(change.key, change.entry, change.revision)
        self._check()

    def may_grant(self, share: ShareId, now: float) -> bool:
        """Return whether this process may grant from a share now."""
        self.authority.prove(self.read_proof_s())
        return self.authority.may_grant(share, now)

    def holders(self, group: int) -> dict[ShareId, ShareRecord]:
        """Return the holders of the shares of a group."""
        views = self.authority.views
        return {
            share: record
            for share in shares_of(group)
            if (record := views[share].record) is not None and not record.released
        }

    def proof_age_s(self) -> float:
        """Return the age of what is known of the shares."""
        return self.clock() - self.read_proof_s()

    async def release(self, until_s: float) -> None:
        """Stop granting and give up all shares; try until a monotonic time."""
        self.authority.closed = True
        while True:
            releases = [one for share in all_shares() if (one := self.authority.release(share))]
            if not releases or await self._write(releases, "released"):
                return
            if self.loop.now() + RELEASE_PAUSE_S >= until_s:
                log.warning("limit shares not released", extra={"shares": _names(releases)})
                return
            await self.loop.sleep(RELEASE_PAUSE_S)

    def _observe(self, key: str, entry: Entry | None, revision: Revision) -> None:
        share = share_of_key(key)
        if share is None:
            return
        try:
            record = None if entry is None else decode_record(entry.value)
        except InvalidData as error:
            log.error("limit share not read", extra={"key": key, "reason": str(error)})
            return
        now = self.clock()
        self._note(share, self.authority.observe(share, record, revision, now), now)

    def _note(self, share: ShareId, change: ShareChange, now: float) -> None:
        view = self.authority.views[share]
        if change is ShareChange.BEGUN:
            self.holder.begin(share, view.grants_from_s, generous=view.generous)
            fields: dict[str, object] = {"share": share, "revision": view.revision}
            fields["grants_in_s"] = round(max(0.0, view.grants_from_s - now), 1)
            log.info("limit share claimed", extra=fields)
        elif change is ShareChange.LOST:
            self.holder.end(share)
            node = view.record.node if view.record is not None else None
            log.info("limit share given up", extra={"share": share, "holder": node})

    def _check(self) -> None:
        now = self.clock()
        self._log_authority(now)
        if not self.nodes.registered():
            self.registered_s = None
            return
        if self.registered_s is None:
            self.registered_s = now
        if not self.wanted or not self.authority.listed or self.authority.closed:
            return
        if self.writing or now < self.retry_at_s:
            return
        claims = [one for share in all_shares() if (one := self._due_write(share, now))]
        if claims:
            self.writing = True
            self.loop.spawn(self._write_once(claims[:MAX_WRITES]), "claim limit shares")

    def _log_authority(self, now: float) -> None:
        granting = {share for share in all_shares() if self.may_grant(share, now)}
        if granting == self.granting:
            return
        for share in sorted(self.granting - granting):
            if self.authority.holds(share) and not self.authority.closed:
                age_s = round(self.authority.proof_age_s(share, now), 1)
                log.warning("limit share not proved", extra={"share": share, "age_s": age_s})
        for share in sorted(granting - self.granting):
            log.info("limit share in use", extra={"share": share})
        self.granting = granting

    def _due_write(self, share: ShareId, now: float) -> Claim | None:
        """Return the claim or settlement of a share that is due now."""
        authority = self.authority
        if authority.holds(share):
            self.free_since_s.pop(share, None)
            return authority.settlement(share, now)
        if not self._is_free(share, now):
            self.free_since_s.pop(share, None)
            return None
        assert self.registered_s is not None
        earliest_s = max(now, self.registered_s + START_PAUSE_S)
        free_since_s = self.free_since_s.setdefault(share, earliest_s)
        record = authority.views[share].record
        if record is None or not authority.former_process_ended(record):
            nodes, own = self.nodes, authority.own.node
            if now < free_since_s + claim_delay_s(share, own, nodes.active(), nodes.all_nodes()):
                return None
        return authority.new_claim(share)

    def _is_free(self, share: ShareId, now: float) -> bool:
        record = self.authority.views[share].record
        if record is None or self.authority.may_claim_at_once(share):
            return True
        if self.nodes.lives(record):
            self.gone_since_s.pop(share, None)
            return False
        return now >= self.gone_since_s.setdefault(share, now) + GONE_S

    async def _write_once(self, claims: Sequence[Claim]) -> None:
        try:
            if not await self._write(claims, "claimed"):
                self.retry_at_s = self.clock() + RETRY_S
        finally:
            self.writing = False

    async def _write(self, claims: Sequence[Claim], what: str) -> bool:
        """Write records if none has changed; learn what the store holds otherwise."""
        expected = {share_key(one.share): one.expected for one in claims}
        writes = tuple(Write(share_key(one.share), encode_record(one.record)) for one in claims)
        sent_s = self.clock()
        done = await self.store.transact(Transaction(expected, writes))
        if isinstance(done, KeyValueFailure | LeaseLost):
            reason = done.message if isinstance(done, KeyValueFailure) else "lease lost"
            fields = {"shares": _names(claims), "reason": reason}
            log.warning(f"limit shares not {what}", extra=fields)
            return False
        if isinstance(done, TransactionConflict):
            for key, entry in done.current.items():
                self._observe(key, entry, entry.revision)
            return False
        now = self.clock()
        for one in claims:
            self._note(one.share, self.authority.applied(one, done.revision, sent_s, now), now)
        return True


def _names(claims: Sequence[Claim]) -> list[int]:
    return [one.share for one in claims]
