"""Share the weight store: at most so many loads at a time over the whole fleet."""

from dataclasses import dataclass

from parsleyrouter.connection.key_value import ABSENT, KeyValue, KeyValueFailure, WriteApplied
from parsleyrouter.connection.swap_retry import compare_and_swap_with_retry

__all__ = ["WeightSlot", "WeightSlots"]

SLOT_PREFIX = "/parsley/weight-loads/"


@dataclass(frozen=True)
class WeightSlot:
    """Leave to load one model; it lapses after the longest order."""

    key: str
    lease: int


class WeightSlots:
    """Take one of the numbered slots under a lease that outlives the longest order."""

    def __init__(self, key_value: KeyValue, longest_order_s: float) -> None:
        self.key_value = key_value
        self.ttl_s = 2 * longest_order_s

    async def take(self, slots: int, holder: str) -> WeightSlot | None:
        """Return a free slot, ``None`` when all are taken or the service gives no answer."""
        lease = await self.key_value.grant(self.ttl_s)
        if isinstance(lease, KeyValueFailure):
            return None
        value = f"{holder} {lease.id}".encode()
        for number in range(slots):
            key = f"{SLOT_PREFIX}{number}"
            taken = await compare_and_swap_with_retry(
                self.key_value, key, value, ABSENT, lease=lease.id
            )
            if isinstance(taken, WriteApplied):
                return WeightSlot(key, lease.id)
            if isinstance(taken, KeyValueFailure):
                break
        await self.key_value.revoke(lease.id)
        return None

    async def give_back(self, slot: WeightSlot) -> None:
        """Free a slot."""
        await self.key_value.revoke(slot.lease)
