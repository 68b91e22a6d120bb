"""The ways to share an endpoint's slots between online and batch work."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from parsleyrouter.version.schema import PolicyProfile

__all__ = [
    "POLICIES",
    "PROFILES",
    "Occupancy",
    "SharingProfile",
    "SharingPolicy",
    "policy",
]


@dataclass(frozen=True)
class SharingProfile:
    """Settings of a sharing policy.

    ``headroom_share`` is the part of a learnt burst that is kept free of batch work,
    ``headroom_limit`` the part of all slots that it never exceeds. ``restore_headroom`` revokes
    batch grants when online work has taken the headroom. ``batch_share`` is the part of the slots
    that a fixed split gives to batch.
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
    """How the slots of one endpoint are used; ``burst`` is the online burst to be ready for."""

    slots: int
    online: int
    batch: int
    revoking: int
    online_waiting: int
    batch_waiting: int
    burst: float = 0.0

    @property
    def free(self) -> int:
        """Return the slots that nobody uses."""
        return self.slots - self.online - self.batch


class SharingPolicy(Protocol):
    """Decide who may take a free slot and who must give one back."""

    def admits_online(self, use: Occupancy) -> bool:
        """Tell whether a waiting online attempt may take a slot."""

    def admits_batch(self, use: Occupancy) -> bool:
        """Tell whether a waiting batch attempt may take a slot."""

    def to_revoke(self, use: Occupancy) -> int:
        """Return how many more batch grants to revoke."""

    def online_limit(self, use: Occupancy) -> int:
        """Return how many slots online work can have as things stand."""

    def batch_first(self, online_order: int, batch_order: int) -> bool:
        """Tell whether batch goes first when both wait and may take a slot."""


PolicyFactory = Callable[[SharingProfile], SharingPolicy]
POLICIES: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register a policy under the name that settings use."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return register


@policy("online-first")
class OnlineFirst:
    """Give batch what online leaves idle and take it back at once."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def headroom(self, use: Occupancy) -> int:
        """Return the slots to keep free of batch work beyond those online uses."""
        limit = math.floor(use.slots * self.profile.headroom_limit)
        return min(limit, round(use.burst * self.profile.headroom_share))

    def admits_online(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit when a slot is free beyond the headroom and no online attempt waits."""
        return use.online_waiting == 0 and use.free > self.headroom(use)

    def to_revoke(self, use: Occupancy) -> int:
        """Revoke one batch grant for each online attempt that no slot is free for."""
        kept = self.headroom(use) if self.profile.restore_headroom else 0
        missing = use.online_waiting + kept - use.free - use.revoking
        return max(0, min(use.batch - use.revoking, missing))

    def online_limit(self, use: Occupancy) -> int:
        """Count all slots."""
        return use.slots

    def batch_first(self, online_order: int, batch_order: int) -> bool:
        """Let online go first."""
        return False


@policy("first-come")
class FirstCome:
    """Serve in order of arrival and never take a slot back."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def admits_online(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit whenever a slot is free."""
        return use.free > 0

    def to_revoke(self, use: Occupancy) -> int:
        """Revoke nothing."""
        return 0

    def online_limit(self, use: Occupancy) -> int:
        """Leave out the slots that batch holds."""
        return use.slots - use.batch

    def batch_first(self, online_order: int, batch_order: int) -> bool:
        """Let the earlier go first."""
        return batch_order < online_order


@policy("fixed-split")
class FixedSplit:
    """Give each class a fixed part of the slots."""

    def __init__(self, profile: SharingProfile) -> None:
        self.profile = profile

    def batch_slots(self, use: Occupancy) -> int:
        """Return the slots set apart for batch."""
        return min(use.slots - 1, max(1, round(use.slots * self.profile.batch_share)))

    def admits_online(self, use: Occupancy) -> bool:
        """Admit within the online part."""
        return use.free > 0 and use.online < use.slots - self.batch_slots(use)

    def admits_batch(self, use: Occupancy) -> bool:
        """Admit within the batch part."""
        return use.free > 0 and use.batch < self.batch_slots(use)

    def to_revoke(self, use: Occupancy) -> int:
        """Revoke nothing."""
        return 0

    def online_limit(self, use: Occupancy) -> int:
        """Count the online part."""
        return use.slots - self.batch_slots(use)

    def batch_first(self, online_order: int, batch_order: int) -> bool:
        """Let online go first; the parts do not meet."""
        return False
