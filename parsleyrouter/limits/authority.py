"""Decide which shares a process may grant from and which it may claim; performs no I/O.

Times are seconds of a clock that counts suspensions. A process grants from a share only while the
store is known to have named it less than ``AUTHORITY_S`` ago. Whoever claims a share from a
process that may live waits longer than that before its first grant.
"""

import math
from dataclasses import dataclass, field, replace
from enum import Enum

from parsleyrouter.ids import Revision, ShareId
from parsleyrouter.limits.shares import ShareRecord, all_shares

__all__ = [
    "AUTHORITY_S",
    "CLAIM_WAIT_S",
    "SETTLE_S",
    "Claim",
    "ShareAuthority",
    "ShareChange",
    "ShareView",
]

AUTHORITY_S = 14.0
"""Age of the proof up to which a holder grants: an outage of the store of nine seconds, the reads
before it and the pauses after it."""

CLAIM_WAIT_S = AUTHORITY_S + 1.0
"""Time from a claim to the first grant while the former holder may live; clocks may differ."""

SETTLE_S = 10.0
"""Time for which a share is held before its next holder may begin with a permit; as long as the
longest span in which a share gives a permit more than it earned."""


class ShareChange(Enum):
    """What a process has learned about a share."""

    NONE = "none"
    BEGUN = "begun"
    LOST = "lost"


@dataclass(frozen=True)
class Claim:
    """A conditional write that makes this process the holder."""

    share: ShareId
    expected: Revision
    record: ShareRecord
    generous: bool
    """Whether the buckets begin with a permit."""


@dataclass
class ShareView:
    """What a process knows of one share."""

    record: ShareRecord | None = None
    revision: Revision = Revision(0)
    claim: Claim | None = None
    """The latest claim by this process; it may have taken effect without an answer."""
    grants_from_s: float = math.inf
    generous: bool = False
    begun: bool = False
    named_s: float = -math.inf
    """When a claim that took effect was sent."""


@dataclass
class ShareAuthority:
    """The shares as one process knows them."""

    own: ShareRecord
    """The process; its count of claims is not used."""
    views: dict[ShareId, ShareView] = field(
        default_factory=lambda: {share: ShareView() for share in all_shares()}
    )
    listed: bool = False
    """Whether the shares in the store are known, also those that nobody has held."""
    proved_s: float = -math.inf
    """A time at which the store held what is known here, or something later that is known too."""
    closed: bool = False
    """Whether this process has given up all shares for good."""

    def prove(self, at_s: float) -> None:
        """Note that the latest state read includes all changes before a time."""
        self.proved_s = max(self.proved_s, at_s)

    def observe(
        self, share: ShareId, record: ShareRecord | None, revision: Revision, now: float
    ) -> ShareChange:
        """Apply what the store holds at a revision, unless something later is known."""
        view = self.views[share]
        if revision <= view.revision:
            return ShareChange.NONE
        held = self._names_this(view.record)
        former = view.record
        view.record, view.revision = record, revision
        if not self._names_this(record):
            view.grants_from_s, view.begun, view.claim = math.inf, False, None
            return ShareChange.LOST if held else ShareChange.NONE
        assert record is not None
        if held and former is not None and former.claims == record.claims:
            return ShareChange.NONE
        claim = view.claim
        known = claim is not None and claim.record.claims == record.claims
        view.grants_from_s = now if record.clear else now + CLAIM_WAIT_S
        view.generous = known and claim is not None and claim.generous
        view.begun = False
        return ShareChange.BEGUN

    def applied(self, claim: Claim, revision: Revision, sent_s: float, now: float) -> ShareChange:
        """Note that the store has applied a write of this process, sent at a time."""
        change = self.observe(claim.share, claim.record, revision, now)
        view = self.views[claim.share]
        if view.record == claim.record:
            view.named_s = max(view.named_s, sent_s)
        return change

    def holds(self, share: ShareId) -> bool:
        """Return whether the store names this process as far as is known."""
        return self._names_this(self.views[share].record)

    def proof_age_s(self, share: ShareId, now: float) -> float:
        """Return the time since the store is known to have named the holder of a share."""
        return now - max(self.proved_s, self.views[share].named_s)

    def may_grant(self, share: ShareId, now: float) -> bool:
        """Return whether no other process can grant from a share that this one holds."""
        return (
            not self.closed
            and self.holds(share)
            and now >= self.views[share].grants_from_s
            and self.proof_age_s(share, now) < AUTHORITY_S
        )

    def former_process_ended(self, record: ShareRecord) -> bool:
        """Return whether the holder was an earlier process of this node.

        Only one process can have its address, and this one has it.
        """
        own = self.own
        return (record.node, record.address) == (own.node, own.address) and not (
            record.same_process(own)
        )

    def may_claim_at_once(self, share: ShareId) -> bool:
        """Return whether a claim needs no reason beyond what the share's record says."""
        record = self.views[share].record
        return record is None or record.released or self.former_process_ended(record)

    def new_claim(self, share: ShareId) -> Claim:
        """Return the write that makes this process the holder, and note it."""
        view = self.views[share]
        former = view.record
        ended = former is None or former.released or self.former_process_ended(former)
        record = replace(
            self.own,
            claims=1 if former is None else former.claims + 1,
            clear=ended and (former is None or former.clear),
            settled=False,
            released=False,
        )
        generous = former is None or former.settled
        claim = Claim(share, view.revision, record, generous)
        view.claim = claim
        return claim

    def settlement(self, share: ShareId, now: float) -> Claim | None:
        """Return the write that notes that a share is held for long, if it is due."""
        view = self.views[share]
        record = view.record
        if record is None or record.settled or not self.may_grant(share, now):
            return None
        if now < view.grants_from_s + SETTLE_S:
            return None
        settled = replace(record, clear=True, settled=True)
        return Claim(share, view.revision, settled, view.generous)

    def release(self, share: ShareId) -> Claim | None:
        """Return the write that gives up a share, ``None`` if this process does not hold it."""
        view = self.views[share]
        record = view.record
        if record is None or not self.holds(share):
            return None
        return Claim(share, view.revision, replace(record, released=True), False)

    def _names_this(self, record: ShareRecord | None) -> bool:
        return record is not None and record.same_process(self.own) and not record.released
