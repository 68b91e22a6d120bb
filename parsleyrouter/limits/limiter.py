"""Get permits for customers' requests from the holders of their shares."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from parsleyrouter.customers import Customer
from parsleyrouter.ids import Address, CustomerName, DomainName, NodeId, ShareId
from parsleyrouter.limits.holder import Denied, Granted, NotHolder
from parsleyrouter.limits.metrics import LimitMetrics
from parsleyrouter.limits.permit_calls import PermitCalls
from parsleyrouter.limits.port import RequestPermit
from parsleyrouter.limits.shares import ShareRecord, group_of
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = ["FleetLimiter", "HolderView"]

HONOURED_SHARE = 1 / 3
"""Share of its remaining time that a caller waits at most before it returns."""

UNANSWERED_RETRY_S = 0.5
"""Delay of callers for whom no holder has answered: some time-outs, or a claim of the shares."""

SUSPECT_S = 1.0
"""Time for which a holder that gave no answer is asked last."""

USAGE_KEPT_S = 5.0

OTHER_FIRST_SHARE = 0.25
"""Share of the requests that ask any share first, so that the use of all shares is known."""

MAX_REMEMBERED = 10_000


class HolderView(Protocol):
    """Tells who holds the shares, as far as this node knows."""

    def holders(self, group: int) -> dict[ShareId, ShareRecord]:
        """Return the holders of the shares of a group."""

    def proof_age_s(self) -> float:
        """Return the age of what this node knows of the holders."""


@dataclass
class _FreePermit:
    usage: float = 0.0

    def give_back(self) -> None:
        """Do nothing: the request needed no permit."""


@dataclass
class _Permit:
    calls: PermitCalls
    address: Address
    share: ShareId
    customer: CustomerName
    number: int
    usage: float
    returned: bool = False

    def give_back(self) -> None:
        """Return the permit to its share, once."""
        if not self.returned:
            self.returned = True
            self.calls.give_back(self.address, self.share, self.customer, self.number)


@dataclass
class _Asking:
    """One request that asks for a permit."""

    customer: CustomerName
    longest_s: float
    returning: bool
    empty: dict[ShareId, float] = field(default_factory=dict)
    """Waits that were answered, in seconds."""
    unanswered: int = 0


class FleetLimiter:
    """Ask the holders in turn: this node, its failure domain, the others."""

    def __init__(
        self,
        node: NodeId,
        domain: DomainName,
        calls: PermitCalls,
        view: HolderView,
        find: Callable[[CustomerName], Customer | None],
        metrics: LimitMetrics,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self.node = node
        self.domain = domain
        self.calls = calls
        self.view = view
        self.find = find
        self.metrics = metrics
        self.clock = clock
        self.random = random
        self.empty_until_s: dict[tuple[ShareId, CustomerName], float] = {}
        """Until when shares have no room that nobody was told of, as their holders said."""
        self.suspects: dict[Address, float] = {}
        self.usages: dict[CustomerName, dict[ShareId, tuple[float, float]]] = {}

    async def acquire(
        self, customer: CustomerName, *, left_s: float, returning: bool
    ) -> RequestPermit | Refusal:
        """Return a permit, or a refusal with the time at which there is room for this caller."""
        known = self.find(customer)
        if known is None or not known.limited:
            return _FreePermit()
        asking = _Asking(customer, max(0.0, left_s * HONOURED_SHARE), returning)
        holders = self.view.holders(group_of(customer))
        permit = await self._ask_in_turn(asking, holders)
        if permit is None and asking.empty:
            permit = await self._ask_for_promise(asking, holders)
        if permit is not None:
            self.metrics.count("granted", customer)
            return permit
        if asking.empty:
            return self._refuse_over_limit(asking, known)
        return self._refuse_unanswered(asking, len(holders))

    async def _ask_in_turn(
        self, asking: _Asking, holders: dict[ShareId, ShareRecord]
    ) -> RequestPermit | None:
        now = self.clock()
        for share in self._order(asking.customer, holders, now):
            empty_until_s = self.empty_until_s.get((share, asking.customer), 0.0)
            if empty_until_s > now and not asking.returning:
                asking.empty[share] = empty_until_s - now
                continue
            if asking.empty and self.suspects.get(holders[share].address, 0.0) > now:
                asking.unanswered += 1
                continue
            permit = await self._ask(asking, share, holders[share], longest_s=-1.0)
            if permit is not None:
                return permit
        return None

    async def _ask_for_promise(
        self, asking: _Asking, holders: dict[ShareId, ShareRecord]
    ) -> RequestPermit | None:
        """Ask the shares that have room soonest, until one answers with a time for the caller.

        A little chance lets all shares be asked, also when their times are the same.
        """

        def expected_s(share: ShareId) -> float:
            return asking.empty[share] * self.random.uniform(0.5, 1.0)

        for share in sorted(asking.empty, key=expected_s):
            unanswered = asking.unanswered
            permit = await self._ask(asking, share, holders[share], longest_s=asking.longest_s)
            if permit is not None:
                return permit
            if asking.unanswered == unanswered:
                asking.empty = {share: asking.empty[share]}
                return None
            del asking.empty[share]
        return None

    async def _ask(
        self, asking: _Asking, share: ShareId, holder: ShareRecord, *, longest_s: float
    ) -> RequestPermit | None:
        customer = asking.customer
        answer = await self.calls.ask(
            holder.address, share, customer, returning=asking.returning, longest_s=longest_s
        )
        if answer is None or isinstance(answer, NotHolder):
            asking.unanswered += 1
            if answer is None:
                self.suspects[holder.address] = self.clock() + SUSPECT_S
            return None
        self.suspects.pop(holder.address, None)
        self._note_usage(customer, share, answer.usage)
        if isinstance(answer, Granted):
            self.empty_until_s.pop((share, customer), None)
            usage = self._usage(customer)
            return _Permit(self.calls, holder.address, share, customer, answer.number, usage)
        self._note_empty(asking, share, answer)
        return None

    def _note_empty(self, asking: _Asking, share: ShareId, answer: Denied) -> None:
        asking.empty[share] = answer.wait_s
        if len(self.empty_until_s) >= MAX_REMEMBERED:
            now = self.clock()
            kept = {key: until_s for key, until_s in self.empty_until_s.items() if until_s > now}
            self.empty_until_s = kept if len(kept) < MAX_REMEMBERED else {}
        self.empty_until_s[share, asking.customer] = self.clock() + answer.room_s

    def _order(
        self, customer: CustomerName, holders: dict[ShareId, ShareRecord], now: float
    ) -> list[ShareId]:
        def place(share: ShareId) -> tuple[bool, bool, bool, float, int]:
            one = holders[share]
            return (
                self.suspects.get(one.address, 0.0) > now,
                one.node != self.node,
                one.domain != self.domain,
                self.empty_until_s.get((share, customer), 0.0),
                share,
            )

        ordered = sorted(holders, key=place)
        if ordered and self.random.random() < OTHER_FIRST_SHARE:
            chosen = self.random.choice(ordered)
            if self.suspects.get(holders[chosen].address, 0.0) <= now:
                ordered.remove(chosen)
                ordered.insert(0, chosen)
        return ordered

    def _note_usage(self, customer: CustomerName, share: ShareId, usage: float) -> None:
        if customer not in self.usages and len(self.usages) >= MAX_REMEMBERED:
            self.usages.clear()
        self.usages.setdefault(customer, {})[share] = (usage, self.clock())

    def _usage(self, customer: CustomerName) -> float:
        since_s = self.clock() - USAGE_KEPT_S
        known = self.usages.get(customer, {}).values()
        recent = [usage for usage, at_s in known if at_s >= since_s]
        return min(1.0, math.fsum(recent) / len(recent)) if recent else 0.0

    def _refuse_over_limit(self, asking: _Asking, known: Customer) -> Refusal:
        self.metrics.count("over_limit", asking.customer)
        wait_s = min(asking.empty.values())
        message = (
            f"{asking.customer} is at its limit of {known.rate_per_s:g} requests a second"
            f" (burst {known.burst:g}): share {min(asking.empty)} has room in {wait_s:.3f} s,"
            f" holders known as of {self.view.proof_age_s():.1f} s ago; retry after the delay"
        )
        after_s = min(wait_s, asking.longest_s)
        return Refusal(RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, after_s)

    def _refuse_unanswered(self, asking: _Asking, holder_count: int) -> Refusal:
        self.metrics.count("unanswered", asking.customer)
        message = (
            f"no holder of the limit of {asking.customer} has answered: {asking.unanswered} of"
            f" {holder_count} asked, known as of {self.view.proof_age_s():.1f} s ago;"
            " retry at another node"
        )
        after_s = min(UNANSWERED_RETRY_S, asking.longest_s)
        return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, after_s)
