"""Run a non-idempotent request with an idempotency key at most once across all entries."""

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
    StillRunning,
    claim_key,
    content_hash,
    decode_claim,
    encode_claim,
    finished_claim,
    resolve_claim,
)
from parsleyrouter.request.deadline import Deadline

__all__ = ["IdempotencyClaims"]

CLAIM_TTL_S = 24 * 3600.0
LEASE_REUSE_S = 3600.0
GRACE_S = 5.0
MAX_CREATE_ATTEMPTS = 3
MIN_POLL_S = 0.05
MAX_POLL_S = 1.0
CLAIMS_PER_S = 9.0
CLAIMS_BURST = 40.0
MAX_SETTLE_ATTEMPTS = 12
MAX_UNSETTLED = 1000

log = logging.getLogger(__name__)

_STORE_UNAVAILABLE = Refusal(
    RefusalKind.PLATFORM_UNAVAILABLE,
    "the request was not run because the key-value service does not answer: retry with the"
    " same Idempotency-Key",
    ExecutionStatus.NOT_RUN,
    retry_after_s=2.0,
)
_TOO_MANY_CLAIMS = Refusal(
    RefusalKind.OVERLOADED,
    "too many keyed requests at this entry: retry later or use another entry",
    ExecutionStatus.NOT_RUN,
    retry_after_s=1.0,
)


class IdempotencyClaims:
    """Claim, run and record keyed requests; construct one per entry process."""

    def __init__(
        self, loop: Loop, key_value: KeyValue, entry: NodeId, *, grace_s: float = GRACE_S
    ) -> None:
        self.loop = loop
        self.key_value = key_value
        self.entry = entry
        self.grace_s = grace_s
        self.running: dict[str, tuple[str, Task[Reply | Refusal]]] = {}
        self.lease: Lease | None = None
        self.lease_granted_s = 0.0
        self.tokens = CLAIMS_BURST
        self.refilled_s = loop.now()
        self.unsettled = 0

    async def run_once(self, call: Call, key: str, calls: CallExecutor) -> Reply | Refusal:
        """Run the call, or return the outcome of the earlier run with the same key.

        The run continues after the caller disconnects, so that a resend gets its outcome.
        """
        claim_path = claim_key(call.team, call.application, key)
        content = content_hash(call)
        local_run = self.running.get(claim_path)
        if local_run is None:
            task = self.loop.spawn(self._claim_and_run(claim_path, content, call, calls), "claim")
            local_run = self.running[claim_path] = (content, task)
            task.on_done(lambda _: self.running.pop(claim_path, None))
        elif local_run[0] != content:
            return CONTENT_CONFLICT
        return await local_run[1]

    async def _claim_and_run(
        self, claim_path: str, content: str, call: Call, calls: CallExecutor
    ) -> Reply | Refusal:
        if not self._take_token() or self.unsettled >= MAX_UNSETTLED:
            return _TOO_MANY_CLAIMS
        lease = await self._lease()
        if lease is None:
            return _STORE_UNAVAILABLE
        record = ClaimRecord(
            nonce=secrets.token_hex(8),
            entry=self.entry,
            content=content,
            until_s=time.time() + call.deadline_in_s + self.grace_s,
        )
        created = await self._create(claim_path, record, lease)
        if isinstance(created, Entry):
            return await self._await_other_run(claim_path, content, call, created)
        if created is None:
            self._settle(claim_path, record, None, lease, ABSENT)
            return _STORE_UNAVAILABLE
        outcome = await calls.run(call)
        if isinstance(outcome, Preempted):
            outcome = Refusal(
                RefusalKind.OVERLOADED, "the slot was preempted: try again", ExecutionStatus.UNKNOWN
            )
        self._settle(claim_path, record, outcome, lease, created)
        return outcome

    async def _create(
        self, claim_path: str, record: ClaimRecord, lease: int
    ) -> Revision | Entry | None:
        """Return the revision of the new claim, the existing claim, or ``None`` if unknown."""
        value = encode_claim(record)
        for attempt in range(MAX_CREATE_ATTEMPTS):
            result = await self.key_value.compare_and_swap(claim_path, value, ABSENT, lease=lease)
            if isinstance(result, WriteApplied):
                return result.revision
            if isinstance(result, Conflict) and result.current is not None:
                return _own_revision(result.current, record) or result.current
            if isinstance(result, KeyValueFailure):
                self._drop_refused_lease(result)
            await self.loop.sleep(MIN_POLL_S * 2**attempt)
        found = await self.key_value.get(claim_path)
        if isinstance(found, Entry):
            return _own_revision(found, record) or found
        return None

    async def _await_other_run(
        self, claim_path: str, content: str, call: Call, found: Entry
    ) -> Reply | Refusal:
        deadline = Deadline(self.loop.now() + call.deadline_in_s)
        pause_s = MIN_POLL_S
        current: Entry | None = found
        while current is not None:
            resolution = resolve_claim(decode_claim(current.value), content, time.time())
            if not isinstance(resolution, StillRunning):
                return resolution
            if deadline.remaining_s(self.loop.now()) <= pause_s:
                return _still_running()
            await self.loop.sleep(pause_s)
            pause_s = min(MAX_POLL_S, pause_s * 2)
            read = await self.key_value.get(claim_path)
            if not isinstance(read, KeyValueFailure):
                current = read
        message = "the earlier request with this key was not run: send it again"
        return Refusal(RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, retry_after_s=1.0)

    def _settle(
        self,
        claim_path: str,
        record: ClaimRecord,
        outcome: Reply | Refusal | None,
        lease: int,
        revision: Revision,
    ) -> None:
        """Record the outcome in the background; remove the claim of a call that was not run."""
        self.unsettled += 1
        work = self._write_outcome(claim_path, record, outcome, lease, revision)
        task = self.loop.spawn(work, "settle claim")
        task.on_done(self._on_settled)

    def _on_settled(self, _: object) -> None:
        self.unsettled -= 1

    async def _write_outcome(
        self,
        claim_path: str,
        record: ClaimRecord,
        outcome: Reply | Refusal | None,
        lease: int,
        revision: Revision,
    ) -> None:
        not_run = outcome is None or (
            isinstance(outcome, Refusal) and outcome.ran is ExecutionStatus.NOT_RUN
        )
        if outcome is None or not_run:
            await self._write_with_retries(lambda: self._remove(claim_path, record, revision))
            return
        value = encode_claim(finished_claim(record, outcome))
        await self._write_with_retries(
            lambda: self.key_value.compare_and_swap(claim_path, value, revision, lease=lease)
        )

    async def _write_with_retries(
        self, write: Callable[[], Awaitable[WriteApplied | Conflict | KeyValueFailure]]
    ) -> None:
        pause_s = MIN_POLL_S
        for _ in range(MAX_SETTLE_ATTEMPTS):
            result = await write()
            if not isinstance(result, KeyValueFailure):
                return
            await self.loop.sleep(pause_s)
            pause_s *= 2
        log.warning("claim outcome could not be stored; resends of its key get 'unknown'")

    async def _remove(
        self, claim_path: str, record: ClaimRecord, revision: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        if revision != ABSENT:
            return await self.key_value.delete(claim_path, revision)
        found = await self.key_value.get(claim_path)
        if isinstance(found, KeyValueFailure):
            return found
        own_revision = found is not None and _own_revision(found, record)
        return (
            await self.key_value.delete(claim_path, own_revision)
            if own_revision
            else Conflict(found)
        )

    async def _lease(self) -> int | None:
        """Return a lease that expires claims about a day later; one lease is reused for an hour."""
        now = self.loop.now()
        if self.lease is None or now - self.lease_granted_s > LEASE_REUSE_S:
            granted = await self.key_value.grant(CLAIM_TTL_S)
            if not isinstance(granted, Lease):
                return None
            self.lease, self.lease_granted_s = granted, now
        return self.lease.id

    def _drop_refused_lease(self, failure: KeyValueFailure) -> None:
        if failure.kind is KeyValueFailureKind.REFUSED:
            self.lease = None

    def _take_token(self) -> bool:
        now = self.loop.now()
        self.tokens = min(CLAIMS_BURST, self.tokens + (now - self.refilled_s) * CLAIMS_PER_S)
        self.refilled_s = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def _own_revision(found: Entry, record: ClaimRecord) -> Revision | None:
    try:
        existing = decode_claim(found.value)
    except msgspec.MsgspecError:
        return None
    return found.revision if existing.nonce == record.nonce else None


def _still_running() -> Refusal:
    message = "the earlier request with this key is still running: send it again for its outcome"
    return Refusal(RefusalKind.DEADLINE, message, ExecutionStatus.UNKNOWN, retry_after_s=1.0)
