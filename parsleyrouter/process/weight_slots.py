"""Share the weight store: at most so many loads at a time over the whole fleet."""

from dataclasses import dataclass

from parsleyrouter.connection.checked_swap import swap_checked
from parsleyrouter.connection.key_value import ABSENT, KeyValue, KeyValueFailure, Swapped

__all__ = ["WeightLoadPermit", "WeightLoadSemaphore"]

KEY_PREFIX = "/parsley/weight-loads/"


@dataclass(frozen=True)
class WeightLoadPermit:
    """Leave to load one model; it lapses after the longest order."""

    key: str
    lease: int


class WeightLoadSemaphore:
    """Take one of the numbered slots under a lease that outlives the longest order."""

    def __init__(self, key_value: KeyValue, max_command_s: float) -> None:
        self.key_value = key_value
        self.ttl_s = 2 * max_command_s

    async def acquire(self, permits: int, holder: str) -> WeightLoadPermit | None:
        """Return a free slot, ``None`` when all are taken or the service gives no answer."""
        lease = await self.key_value.grant(self.ttl_s)
        if isinstance(lease, KeyValueFailure):
            return None
        value = f"{holder} {lease.id}".encode()
        for number in range(permits):
            key = f"{KEY_PREFIX}{number}"
            swapped = await swap_checked(self.key_value, key, value, ABSENT, lease=lease.id)
            if isinstance(swapped, Swapped):
                return WeightLoadPermit(key, lease.id)
            if isinstance(swapped, KeyValueFailure):
                break
        await self.key_value.revoke(lease.id)
        return None

    async def release(self, permit: WeightLoadPermit) -> None:
        """Free a slot."""
        await self.key_value.revoke(permit.lease)
