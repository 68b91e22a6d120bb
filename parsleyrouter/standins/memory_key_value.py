"""The key-value port in process memory, with faults set by tests."""

from collections.abc import Callable
from typing import TypeVar

from parsleyrouter.connection.key_value import (
    Conflict,
    Entry,
    EntryPage,
    KeyChange,
    KeyValueFailure,
    KeyValueFailureKind,
    Lease,
    WriteApplied,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.loop import Loop, Timer
from parsleyrouter.standins.key_value_faults import CallFault, CallKind, KeyValueFaults
from parsleyrouter.standins.key_value_store import Compacted, KeyValueStore, NoSuchLease

__all__ = ["LeaseTimer", "MemoryKeyValue"]

MAX_VALUE_BYTES = 1_000_000
OUTAGE_POLL_S = 0.02

T = TypeVar("T")


class LeaseTimer:
    """Expire leases when they are due."""

    def __init__(self, loop: Loop, store: KeyValueStore) -> None:
        self.loop = loop
        self.store = store
        self.timer: Timer | None = None

    def arm(self) -> None:
        """Schedule the expiry of the next lease."""
        due_s = self.store.next_expiry_s()
        if self.timer is not None:
            self.timer.cancel()
        if due_s is not None:
            delay_s = max(0.0, due_s - self.loop.now())
            self.timer = self.loop.call_later(delay_s, self._expire_due)

    def _expire_due(self) -> None:
        self.store.expire(self.loop.now())
        self.arm()


class MemoryWatch:
    """Deliver changes in order; an outage of the service delays them."""

    def __init__(
        self,
        owner: "MemoryKeyValue",
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.owner = owner
        self.prefix = prefix
        self.next_revision = start or Revision(owner.store.revision + 1)
        self.on_change = on_change
        self.on_lost = on_lost
        self.ended = False
        self.delivery_scheduled = False
        owner.store.listeners.append(self.schedule_delivery)
        self.schedule_delivery()

    def cancel(self) -> None:
        """Stop watching."""
        if not self.ended:
            self.ended = True
            self.owner.store.listeners.remove(self.schedule_delivery)

    def schedule_delivery(self) -> None:
        """Schedule the delivery of pending changes."""
        if not self.delivery_scheduled and not self.ended:
            self.delivery_scheduled = True
            self.owner.loop.call_later(self.owner.faults.delay_s, self._deliver)

    def _deliver(self) -> None:
        self.delivery_scheduled = False
        if self.ended:
            return
        if self.owner.faults.outage:
            self.delivery_scheduled = True
            self.owner.loop.call_later(OUTAGE_POLL_S, self._deliver)
            return
        try:
            changes = self.owner.store.changes(self.next_revision, self.prefix)
        except Compacted as error:
            self.cancel()
            self.on_lost(str(error))
            return
        self.next_revision = Revision(max(self.next_revision, self.owner.store.revision + 1))
        for change in changes:
            if not self.ended:
                self.on_change(change)


class MemoryKeyValue:
    """Implement the key-value port; several may share one ``store``, each with its own faults.

    ``watch`` starts with the change of revision ``start`` itself; 0 means from now on.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        store: KeyValueStore | None = None,
        faults: KeyValueFaults | None = None,
    ) -> None:
        self.loop = loop
        self.store = store or KeyValueStore()
        self.faults = faults or KeyValueFaults()
        self.lease_timer = LeaseTimer(loop, self.store)

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""
        return await self._call(CallKind.GET, key, lambda: self.store.get(key))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> EntryPage | KeyValueFailure:
        """Read keys under a prefix in order, starting after the key ``after``."""
        return await self._call(
            CallKind.SCAN, prefix, lambda: self.store.scan_prefix(prefix, after, limit)
        )

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, *, lease: int = 0
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Write a key if its revision is ``expected``; ``ABSENT`` creates it."""
        if len(value) > MAX_VALUE_BYTES:
            message = f"{key}: {len(value)} bytes; split it, at most {MAX_VALUE_BYTES} are kept"
            return KeyValueFailure(KeyValueFailureKind.REFUSED, message)
        return await self._call(
            CallKind.SWAP, key, lambda: self.store.compare_and_swap(key, value, expected, lease)
        )

    async def delete(
        self, key: str, expected: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Delete a key if its revision is ``expected``."""
        return await self._call(CallKind.DELETE, key, lambda: self.store.delete(key, expected))

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Grant a lease."""
        outcome = await self._call(
            CallKind.GRANT, "", lambda: self.store.grant(ttl_s, self.loop.now())
        )
        self.lease_timer.arm()
        return outcome

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` if it has expired."""
        outcome = await self._call(
            CallKind.RENEW, "", lambda: self.store.renew(lease, self.loop.now())
        )
        self.lease_timer.arm()
        return outcome

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Revoke a lease and delete its keys."""
        outcome = await self._call(CallKind.REVOKE, "", lambda: self.store.revoke(lease))
        return outcome if isinstance(outcome, KeyValueFailure) else None

    def watch(
        self,
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> MemoryWatch:
        """Report changes from a revision on; after ``on_lost``, scan and watch again."""
        self.faults.counts[CallKind.WATCH] += 1
        return MemoryWatch(self, prefix, start, on_change, on_lost)

    async def _call(self, kind: CallKind, key: str, apply: Callable[[], T]) -> T | KeyValueFailure:
        fault = self.faults.next_fault(kind, key)
        await self.loop.sleep(self.faults.delay_s)
        if fault is CallFault.UNAVAILABLE:
            return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, "key-value service is down")
        if fault is CallFault.LOST_BEFORE:
            return _reply_lost()
        self.store.expire(self.loop.now())
        try:
            outcome = apply()
        except NoSuchLease as error:
            return KeyValueFailure(KeyValueFailureKind.REFUSED, f"{error}; take a new lease")
        return _reply_lost() if fault is CallFault.LOST_AFTER else outcome


def _reply_lost() -> KeyValueFailure:
    message = "no reply from the key-value service; read the key back"
    return KeyValueFailure(KeyValueFailureKind.TIMEOUT, message, maybe_applied=True)
