"""Grant permits from the shares that this process holds; performs no I/O."""

import itertools
from collections.abc import Callable, Collection
from dataclasses import dataclass

from parsleyrouter.customers import Customers
from parsleyrouter.ids import CustomerName, ShareId
from parsleyrouter.limits.authority import SETTLE_S
from parsleyrouter.limits.bucket import ShareBucket
from parsleyrouter.limits.shares import capacity_of, group_of, rate_of, shares_of

__all__ = ["Denied", "Granted", "NotHolder", "ShareAnswer", "ShareHolder"]

KEEP_S = 60.0
"""How long the bucket of a customer that has no limit any more is kept: it may get one again."""


@dataclass(frozen=True)
class Granted:
    """A permit was taken."""

    number: int
    usage: float


@dataclass(frozen=True)
class Denied:
    """The share is empty.

    ``wait_s`` is the time until there is room for this caller, ``room_s`` until there may be some
    for another one.
    """

    wait_s: float
    room_s: float
    usage: float


@dataclass(frozen=True)
class NotHolder:
    """This process may not grant from the share, or does not know the customer's limit yet."""


ShareAnswer = Granted | Denied | NotHolder


class ShareHolder:
    """The buckets of the shares that this process holds.

    ``may_grant`` decides at each permit whether the process still may. ``first_number`` differs
    between the processes of a node, so that no permit of a former one can be given back here.
    """

    def __init__(self, may_grant: Callable[[ShareId, float], bool], first_number: int = 1) -> None:
        self.may_grant = may_grant
        self.customers = Customers()
        self.buckets: dict[ShareId, dict[CustomerName, ShareBucket]] = {}
        self.unlimited_since_s: dict[CustomerName, float] = {}
        """Customers without a limit whose buckets are kept."""
        self.generous_from_s: dict[ShareId, float] = {}
        """When a customer that is new in a share begins with a permit."""
        self.numbers = itertools.count(first_number)

    def begin(self, share: ShareId, now: float, *, generous: bool) -> None:
        """Begin with new buckets, which earn from ``now`` on."""
        self.generous_from_s[share] = now if generous else now + SETTLE_S
        level = 1.0 if generous else 0.0
        self.buckets[share] = {
            name: ShareBucket(rate_of(one), capacity_of(one), level, now)
            for name, one in self.customers.by_name.items()
            if one.limited and share in shares_of(group_of(name))
        }

    def end(self, share: ShareId) -> None:
        """Forget the buckets of a share."""
        self.buckets.pop(share, None)
        self.generous_from_s.pop(share, None)

    def set_customers(self, customers: Customers, now: float) -> None:
        """Apply the limits of a new version at once.

        A customer that is new begins with a permit in each share, unless the share has just been
        claimed; one that returns begins with what it had left.
        """
        self.customers = customers
        limited = {name: one for name, one in customers.by_name.items() if one.limited}
        for name, one in limited.items():
            self.unlimited_since_s.pop(name, None)
            for share in shares_of(group_of(name)):
                buckets = self.buckets.get(share)
                if buckets is None:
                    continue
                if name in buckets:
                    buckets[name].set_limit(rate_of(one), capacity_of(one), now)
                else:
                    level = 1.0 if now >= self.generous_from_s[share] else 0.0
                    buckets[name] = ShareBucket(rate_of(one), capacity_of(one), level, now)
        self._drop_unlimited(limited.keys(), now)

    def _drop_unlimited(self, limited: Collection[CustomerName], now: float) -> None:
        """Let the buckets of customers without a limit earn nothing, and forget them later."""
        for buckets in self.buckets.values():
            for name in [one for one in buckets if one not in limited]:
                buckets[name].set_limit(0.0, buckets[name].capacity, now)
                since_s = self.unlimited_since_s.setdefault(name, now)
                if now - since_s > KEEP_S:
                    del buckets[name]
        kept = {name for buckets in self.buckets.values() for name in buckets}
        self.unlimited_since_s = {
            name: since_s for name, since_s in self.unlimited_since_s.items() if name in kept
        }

    def take(
        self,
        share: ShareId,
        customer: CustomerName,
        now: float,
        *,
        returning: bool,
        longest_s: float,
    ) -> ShareAnswer:
        """Take a permit, or promise room to a caller that would wait up to ``longest_s``.

        Nothing is promised if that is negative.
        """
        bucket = self._bucket(share, customer, now)
        if bucket is None:
            return NotHolder()
        number = next(self.numbers)
        if bucket.take(number, now, returning=returning):
            return Granted(number, bucket.usage(now))
        wait_s = bucket.wait_s(now) if longest_s < 0 else bucket.promise(now, longest_s)
        return Denied(wait_s, bucket.room_s(now), bucket.usage(now))

    def give_back(self, share: ShareId, customer: CustomerName, number: int, now: float) -> bool:
        """Take back a permit that was granted recently; return whether it was one."""
        bucket = self.buckets.get(share, {}).get(customer)
        return bucket is not None and bucket.give_back(number, now)

    def _bucket(self, share: ShareId, customer: CustomerName, now: float) -> ShareBucket | None:
        known = self.customers.by_name.get(customer)
        bucket = self.buckets.get(share, {}).get(customer)
        if known is None or not known.limited or bucket is None:
            return None
        return bucket if self.may_grant(share, now) else None
