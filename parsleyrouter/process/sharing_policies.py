"""Policies that share an endpoint's slots between online and batch work."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from parsleyrouter.version.schema import PolicyProfile

__all__ = [
    "POLICIES",
    "PROFILES",
    "Occupancy",
    "SharingPolicy",
    "SharingProfile",
    "register_policy",
]


@dataclass(frozen=True)
class SharingProfile:
    """Parameters of a sharing policy.

    ``headroom_share`` is the fraction of the expected burst that is kept free of batch work,
    ``headroom_limit`` the maximum as a fraction of all slots. ``restore_headroom`` revokes batch
    grants when online work has taken the headroom. ``batch_share`` is the fraction of the slots
    that ``fixed-split`` reserves for batch work.
    """

    headroom_share: float = 0.25
    headroom_limit: float = 0.25
    restore_headroom: bool = False
    batch_share: float = 0.5


PROFILES: dict[PolicyProfile, SharingProfile] = {
    PolicyProfile.ONLINE_TAIL: SharingProfile(),
    PolicyProfile.BATCH_THROUGHPUT: SharingProfile(headroom_share=0.0),
}


@dataclass(frozen=True)
class Occupancy:
    """Use of the slots of one endpoint; ``burst`` is the expected online burst, in slots."""

    slots: int
    online: int
    batch: int
    revoking: int
    online_waiting: int
    batch_waiting: int
    burst: float = 0.0

    @property
    def free(self) -> int:
        """Return the number of unused slots."""
        return self.slots - self.online - self.batch


class SharingPolicy(Protocol):
    """Decide which class may take a free slot and how many batch grants to revoke."""

    def admits_online(self, use: Occupancy) -> bool:
        """Return whether a waiting online attempt may take a slot."""

    def admits_batch(self, use: Occupancy) -> bool:
        """Return whether a waiting batch attempt may take a slot."""

    def revocations_needed(self, use: Occupancy) -> int:
        """Return how many more batch grants to revoke."""

    def online_limit(self, use: Occupancy) -> int:
        """Return how many slots online work can use at present."""

    def serves_batch_first(self, online_sequence: int, batch_sequence: int) -> bool:
        """Return whether batch is served first when both classes wait and may take a slot."""


PolicyFactory = Callable[[SharingProfile], SharingPolicy]
POLICIES: dict[str, PolicyFactory] = {}


def register_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under its name in the settings."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return register


@register_policy("online-first")
class OnlineFirst:
    """Lend idle slots to batch work and revoke them when online work needs them."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def headroom(self, use: Occupancy) -> int:
        """Return the number of unused slots to keep free of batch work."""
        limit = math.floor(use.slots * self.profile.headroom_limit)
        return min(limit, round(use.burst * self.profile.headroom_share))

    def admits_online(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit when a slot is free beyond the headroom and no online attempt waits."""
        return use.online_waiting == 0 and use.free > self.headroom(use)

    def revocations_needed(self, use: Occupancy) -> int:
        """Revoke one batch grant for each online attempt without a free slot."""
        reserved = self.headroom(use) if self.profile.restore_headroom else 0
        shortfall = use.online_waiting + reserved - use.free - use.revoking
        return max(0, min(use.batch - use.revoking, shortfall))

    def online_limit(self, use: Occupancy) -> int:
        """Count all slots."""
        return use.slots

    def serves_batch_first(self, online_sequence: int, batch_sequence: int) -> bool:
        """Serve online first."""
        return False


@register_policy("first-come")
class FirstCome:
    """Serve in order of arrival and never revoke a grant."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def admits_online(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def revocations_needed(self, use: Occupancy) -> int:
        """Revoke nothing."""
        return 0

    def online_limit(self, use: Occupancy) -> int:
        """Count all slots except those that batch work holds."""
        return use.slots - use.batch

    def serves_batch_first(self, online_sequence: int, batch_sequence: int) -> bool:
        """Serve the earlier arrival first."""
        return batch_sequence < online_sequence


@register_policy("fixed-split")
class FixedSplit:
    """Reserve a fixed fraction of the slots for each class."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def batch_slots(self, use: Occupancy) -> int:
        """Return the number of slots reserved for batch work."""
        return min(use.slots - 1, max(1, round(use.slots * self.profile.batch_share)))

    def admits_online(self, use: Occupancy) -> bool:
        """Admit within the online reservation."""
        return use.free > 0 and use.online < use.slots - self.batch_slots(use)

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit within the batch reservation."""
        return use.free > 0 and use.batch < self.batch_slots(use)

    def revocations_needed(self, use: Occupancy) -> int:
        """Revoke nothing."""
        return 0

    def online_limit(self, use: Occupancy) -> int:
        """Count the slots reserved for online work."""
        return use.slots - self.batch_slots(use)

    def serves_batch_first(self, online_sequence: int, batch_sequence: int) -> bool:
        """Serve online first; the reservations do not overlap."""
        return False
