"""Distributed semaphore that limits concurrent loads from the weight store across the fleet."""

from dataclasses import dataclass

from parsleyrouter.connection.key_value import ABSENT, KeyValue, KeyValueFailure, WriteApplied
from parsleyrouter.connection.swap_retry import compare_and_swap_with_retry

__all__ = ["WeightLoadPermit", "WeightLoadSemaphore"]

KEY_PREFIX = "/parsley/weight-loads/"


@dataclass(frozen=True)
class WeightLoadPermit:
    """Permission to load one model; its lease expires some time after the longest command."""

    key: str
    lease: int


class WeightLoadSemaphore:
    """Claim one of the numbered permits under a lease that outlives the longest command."""

    def __init__(self, key_value: KeyValue, max_command_s: float) -> None:
        self.key_value = key_value
        self.ttl_s = 2 * max_command_s

    async def acquire(self, permits: int, holder: str) -> WeightLoadPermit | None:
        """Return a permit, ``None`` when all are taken or the key-value store fails."""
        lease = await self.key_value.grant(self.ttl_s)
        if isinstance(lease, KeyValueFailure):
            return None
        value = f"{holder} {lease.id}".encode()
        for number in range(permits):
            key = f"{KEY_PREFIX}{number}"
            swapped = await compare_and_swap_with_retry(
                self.key_value, key, value, ABSENT, lease=lease.id
            )
            if isinstance(swapped, WriteApplied):
                return WeightLoadPermit(key, lease.id)
            if isinstance(swapped, KeyValueFailure):
                break
        await self.key_value.revoke(lease.id)
        return None

    async def release(self, permit: WeightLoadPermit) -> None:
        """Release a permit."""
        await self.key_value.revoke(permit.lease)
