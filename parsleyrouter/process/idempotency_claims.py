"""Run a keyed request that must not be repeated at most once, whichever entry it is sent to."""

import logging
import secrets
import time
from collections.abc import Awaitable, Callable

import msgspec

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    Lease,
    WriteApplied,
)
from parsleyrouter.ids import NodeId, Revision
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call, CallExecutor, Preempted, Reply
from parsleyrouter.process.loop import Loop, Task
from parsleyrouter.request.claim_record import (
    CONTENT_CONFLICT,
    ClaimRecord,
    Wait,
    claim_key,
    content_hash,
    decode_claim,
    encode_claim,
    finished_claim,
    judge,
)
from parsleyrouter.request.deadline import Deadline

__all__ = ["IdempotencyClaims"]

KEEP_S = 24 * 3600.0
LEASE_REUSE_S = 3600.0
GRACE_S = 5.0
CREATE_TRIES = 3
FIRST_POLL_S = 0.05
LONGEST_POLL_S = 1.0
CLAIMS_PER_S = 9.0
CLAIMS_BURST = 40.0
SETTLE_TRIES = 12
MOST_UNSETTLED = 1000

log = logging.getLogger(__name__)

_DOWN = Refusal(
    RefusalKind.PLATFORM_UNAVAILABLE,
    "this sending was not run, as the key-value service does not answer: send it again with the"
    " same Idempotency-Key",
    ExecutionStatus.NOT_RUN,
    retry_after_s=2.0,
)
_BUSY = Refusal(
    RefusalKind.OVERLOADED,
    "too many requests are being claimed here: try again or ask another entry",
    ExecutionStatus.NOT_RUN,
    retry_after_s=1.0,
)


class IdempotencyClaims:
    """Claim, run and remember keyed requests; construct one per entry process."""

    def __init__(
        self, loop: Loop, key_value: KeyValue, entry: NodeId, *, grace_s: float = GRACE_S
    ) -> None:
        self.loop = loop
        self.key_value = key_value
        self.entry = entry
        self.grace_s = grace_s
        self.running: dict[str, tuple[str, Task[Reply | Refusal]]] = {}
        self.lease: Lease | None = None
        self.lease_taken_s = 0.0
        self.tokens = CLAIMS_BURST
        self.filled_s = loop.now()
        self.unsettled = 0

    async def run_once(self, call: Call, key: str, calls: CallExecutor) -> Reply | Refusal:
        """Run the call unless its key was claimed before; then return what came of that run.

        The run goes on when the caller leaves, so that a resend finds its answer.
        """
        where = claim_key(call.team, call.application, key)
        content = content_hash(call)
        here = self.running.get(where)
        if here is None:
            task = self.loop.spawn(self._claim_and_run(where, content, call, calls), "claim")
            here = self.running[where] = (content, task)
            task.on_done(lambda _: self.running.pop(where, None))
        elif here[0] != content:
            return CONTENT_CONFLICT
        return await here[1]

    async def _claim_and_run(
        self, where: str, content: str, call: Call, calls: CallExecutor
    ) -> Reply | Refusal:
        if not self._take_token() or self.unsettled >= MOST_UNSETTLED:
            return _BUSY
        lease = await self._lease()
        if lease is None:
            return _DOWN
        record = ClaimRecord(
            nonce=secrets.token_hex(8),
            entry=self.entry,
            content=content,
            until_s=time.time() + call.deadline_in_s + self.grace_s,
        )
        held = await self._create(where, record, lease)
        if isinstance(held, Entry):
            return await self._follow(where, content, call, held)
        if held is None:
            self._settle(where, record, None, lease, ABSENT)
            return _DOWN
        outcome = await calls.run(call)
        if isinstance(outcome, Preempted):
            outcome = Refusal(
                RefusalKind.OVERLOADED, "the slot was taken: try again", ExecutionStatus.UNKNOWN
            )
        self._settle(where, record, outcome, lease, held)
        return outcome

    async def _create(self, where: str, record: ClaimRecord, lease: int) -> Revision | Entry | None:
        """Return the revision of our claim, another's claim, or ``None`` without an answer."""
        value = encode_claim(record)
        for attempt in range(CREATE_TRIES):
            written = await self.key_value.compare_and_swap(where, value, ABSENT, lease=lease)
            if isinstance(written, WriteApplied):
                return written.revision
            if isinstance(written, Conflict) and written.current is not None:
                return _ours(written.current, record) or written.current
            if isinstance(written, KeyValueFailure):
                self._renew_if_refused(written)
            await self.loop.sleep(FIRST_POLL_S * 2**attempt)
        found = await self.key_value.get(where)
        if isinstance(found, Entry):
            return _ours(found, record) or found
        return None

    async def _follow(self, where: str, content: str, call: Call, found: Entry) -> Reply | Refusal:
        deadline = Deadline(self.loop.now() + call.deadline_in_s)
        pause_s = FIRST_POLL_S
        current: Entry | None = found
        while current is not None:
            verdict = judge(decode_claim(current.value), content, time.time())
            if not isinstance(verdict, Wait):
                return verdict
            if deadline.remaining_s(self.loop.now()) <= pause_s:
                return _still_running()
            await self.loop.sleep(pause_s)
            pause_s = min(LONGEST_POLL_S, pause_s * 2)
            read = await self.key_value.get(where)
            if not isinstance(read, KeyValueFailure):
                current = read
        message = "the first sending of this request ended without being run: send it again"
        return Refusal(RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, retry_after_s=1.0)

    def _settle(
        self,
        where: str,
        record: ClaimRecord,
        outcome: Reply | Refusal | None,
        lease: int,
        revision: Revision,
    ) -> None:
        """Record in the background how the claim ended; remove one that was never run."""
        self.unsettled += 1
        work = self._settle_in_time(where, record, outcome, lease, revision)
        task = self.loop.spawn(work, "settle claim")
        task.on_done(self._settled)

    def _settled(self, _: object) -> None:
        self.unsettled -= 1

    async def _settle_in_time(
        self,
        where: str,
        record: ClaimRecord,
        outcome: Reply | Refusal | None,
        lease: int,
        revision: Revision,
    ) -> None:
        not_run = outcome is None or (
            isinstance(outcome, Refusal) and outcome.ran is ExecutionStatus.NOT_RUN
        )
        if outcome is None or not_run:
            await self._persist(lambda: self._remove(where, record, revision))
            return
        value = encode_claim(finished_claim(record, outcome))
        await self._persist(
            lambda: self.key_value.compare_and_swap(where, value, revision, lease=lease)
        )

    async def _persist(
        self, write: Callable[[], Awaitable[WriteApplied | Conflict | KeyValueFailure]]
    ) -> None:
        pause_s = FIRST_POLL_S
        for _ in range(SETTLE_TRIES):
            written = await write()
            if not isinstance(written, KeyValueFailure):
                return
            await self.loop.sleep(pause_s)
            pause_s *= 2
        log.warning("a claim could not be settled; resends of its key will learn 'unknown'")

    async def _remove(
        self, where: str, record: ClaimRecord, revision: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        if revision != ABSENT:
            return await self.key_value.delete(where, revision)
        found = await self.key_value.get(where)
        if isinstance(found, KeyValueFailure):
            return found
        mine = found is not None and _ours(found, record)
        return await self.key_value.delete(where, mine) if mine else Conflict(found)

    async def _lease(self) -> int | None:
        """Return a lease under which claims lapse about a day later, shared for an hour."""
        now = self.loop.now()
        if self.lease is None or now - self.lease_taken_s > LEASE_REUSE_S:
            taken = await self.key_value.grant(KEEP_S)
            if not isinstance(taken, Lease):
                return None
            self.lease, self.lease_taken_s = taken, now
        return self.lease.id

    def _renew_if_refused(self, failure: KeyValueFailure) -> None:
        if failure.kind is KeyValueFailureKind.REFUSED:
            self.lease = None

    def _take_token(self) -> bool:
        now = self.loop.now()
        self.tokens = min(CLAIMS_BURST, self.tokens + (now - self.filled_s) * CLAIMS_PER_S)
        self.filled_s = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def _ours(found: Entry, record: ClaimRecord) -> Revision | None:
    try:
        known = decode_claim(found.value)
    except msgspec.MsgspecError:
        return None
    return found.revision if known.nonce == record.nonce else None


def _still_running() -> Refusal:
    message = "the first sending of this request is still running: send it again to learn more"
    return Refusal(RefusalKind.DEADLINE, message, ExecutionStatus.UNKNOWN, retry_after_s=1.0)
