"""Decide who uses the slots of one endpoint: the pure core of a home scheduler.

Own grants are the truth about the slots; load reports correct it. Every method takes the time as
monotonic seconds and returns the actions that the shell carries out.
"""

from dataclasses import dataclass, field

from parsleyrouter.ids import AttemptId, EndpointId, GrantId
from parsleyrouter.process.burst_meter import BurstMeter
from parsleyrouter.process.service_times import ServiceTimes
from parsleyrouter.process.sharing_policies import Occupancy, SharingPolicy
from parsleyrouter.process.slot_events import (
    Action,
    Granted,
    Held,
    Queued,
    RefusalReason,
    Refused,
    Revoke,
    SlotAsk,
    Usage,
)
from parsleyrouter.process.slot_queue import BatchQueue, OnlineQueue, Waiting

__all__ = ["SlotTable", "TableOptions"]


@dataclass(frozen=True)
class TableOptions:
    """Times of a slot table, in seconds, and its longest queue."""

    online_lease_s: float = 6.0
    batch_lease_s: float = 2.0
    remember_s: float = 30.0
    queue_limit: int = 1024


@dataclass
class SlotTable:
    """Hold the grants and queues of one endpoint.

    Until ``settle`` is called it gives batch nothing, because grants of an earlier home may live.
    """

    endpoint: EndpointId
    slots: int
    policy: SharingPolicy
    prefix: str = ""
    options: TableOptions = TableOptions()
    settled: bool = True
    closed: bool = False
    foreign: int = 0
    held: dict[GrantId, Held] = field(default_factory=dict)
    by_attempt: dict[AttemptId, GrantId] = field(default_factory=dict)
    online: OnlineQueue = field(default_factory=OnlineQueue)
    batch: BatchQueue = field(default_factory=BatchQueue)
    bursts: BurstMeter = field(default_factory=BurstMeter)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    ended: dict[GrantId, float] = field(default_factory=dict)
    batch_held: int = 0
    revoking: int = 0
    order: int = 0

    def ask(self, ask: SlotAsk, now: float) -> list[Action]:
        """Take in an attempt; asked again, tell where it stands."""
        known = self._standing(ask, now)
        if known is not None:
            return [known]
        if self.closed:
            return [Refused(ask, RefusalReason.LEAVING)]
        if not ask.batch:
            self.bursts.arrived(now)
        refused = self._admission(ask, now)
        if refused is not None:
            return [refused]
        self.order += 1
        entry = Waiting(ask, now, self.order)
        if ask.batch:
            self.batch.add(entry)
        else:
            self.online.add(entry)
        actions = self._pump(now)
        if self._is_waiting(ask.attempt):
            actions.append(Queued(ask))
        return actions

    def withdraw(self, attempt: AttemptId, now: float) -> list[Action]:
        """Forget an attempt; a grant that it got meanwhile is given back."""
        self._stop_waiting(attempt)
        grant = self.by_attempt.get(attempt)
        return [] if grant is None else self.release(grant, Usage(ok=False), now)

    def release(self, grant: GrantId, usage: Usage, now: float) -> list[Action]:
        """Take a slot back."""
        held = self._end(grant, now)
        if held is None:
            return []
        self.times.learn(held.ask, now - held.granted_s, usage)
        if held.revoking and not usage.ok:
            self.batch.refund(held.ask, held.cost_s)
        return self._pump(now)

    def renew(self, grant: GrantId, ask: SlotAsk, now: float) -> bool:
        """Prolong a grant; one of an earlier home is adopted; return whether it lives."""
        held = self.held.get(grant)
        if held is None:
            if grant in self.ended:
                return False
            held = self._adopt(grant, ask, now)
        if held.revoking:
            return True
        held.expires_s = now + self._lease_s(ask)
        return True

    def settle(self, now: float) -> list[Action]:
        """Start giving to batch: all grants of an earlier home are known or have expired."""
        self.settled = True
        return self._pump(now)

    def resize(self, slots: int, policy: SharingPolicy, now: float) -> list[Action]:
        """Take new settings."""
        self.slots = slots
        self.policy = policy
        return self._pump(now)

    def correct(self, foreign: int, now: float) -> list[Action]:
        """Count slots that others use, as load reports show them."""
        self.foreign = foreign
        return self._pump(now)

    def close(self, reason: RefusalReason) -> list[Action]:
        """Give nothing new and turn the waiting away; grants live on."""
        self.closed = True
        waiting = [*self.online, *self.batch]
        for entry in waiting:
            self._stop_waiting(entry.ask.attempt)
        return [Refused(entry.ask, reason) for entry in waiting]

    def reopen(self) -> None:
        """Give to new attempts again."""
        self.closed = False

    def tick(self, now: float) -> list[Action]:
        """Let grants, deadlines and memories expire."""
        for grant in [grant for grant, held in self.held.items() if held.expires_s <= now]:
            self._end(grant, now)
        self._forget_ended(now)
        return self._hopeless(now) + self._pump(now)

    def occupancy(self, now: float) -> Occupancy:
        """Return how the slots are used."""
        return Occupancy(
            slots=self.slots - self.foreign,
            online=len(self.held) - self.batch_held,
            batch=self.batch_held,
            revoking=self.revoking,
            online_waiting=len(self.online),
            batch_waiting=len(self.batch),
            burst=self.bursts.level(now),
        )

    def load(self, now: float) -> float:
        """Return online work per slot, waiting included."""
        use = self.occupancy(now)
        return (use.online + use.online_waiting) / max(1, use.slots)

    def batch_load(self, now: float) -> float:
        """Return all work per slot, waiting included."""
        use = self.occupancy(now)
        return (use.online + use.batch + use.online_waiting + use.batch_waiting) / max(1, use.slots)

    def wait_s(self, ask: SlotAsk, now: float) -> float:
        """Return the expected time in the queue of an online attempt."""
        use = self.occupancy(now)
        entry = Waiting(ask, now, self.order + 1)
        ahead = [other for other in self.online if other.urgency < entry.urgency]
        limit = max(1, self.policy.online_limit(use))
        if use.online + len(ahead) < limit:
            return 0.0
        running = [held for held in self.held.values() if not held.ask.batch]
        work_s = sum(self._left_s(held, now) for held in running)
        work_s += sum(self.times.estimate_s(other.ask) for other in ahead)
        return work_s / limit

    def _left_s(self, held: Held, now: float) -> float:
        return max(0.0, self.times.estimate_s(held.ask) - (now - held.granted_s))

    def _admission(self, ask: SlotAsk, now: float) -> Refused | None:
        queue: OnlineQueue | BatchQueue = self.batch if ask.batch else self.online
        if len(queue) >= self.options.queue_limit:
            return Refused(ask, RefusalReason.OVERLOADED, retry_after_s=1.0)
        if ask.batch:
            return None
        wait_s = self.wait_s(ask, now)
        if wait_s + self.times.estimate_s(ask) <= ask.deadline_in_s:
            return None
        return Refused(ask, RefusalReason.DEADLINE, retry_after_s=wait_s)

    def _hopeless(self, now: float) -> list[Action]:
        late = [entry for entry in (*self.online, *self.batch) if self._is_late(entry, now)]
        for entry in late:
            self._stop_waiting(entry.ask.attempt)
        return [Refused(entry.ask, RefusalReason.DEADLINE) for entry in late]

    def _is_late(self, entry: Waiting, now: float) -> bool:
        needed_s = 0.0 if entry.ask.batch else self.times.estimate_s(entry.ask)
        return now + needed_s > entry.deadline_s

    def _standing(self, ask: SlotAsk, now: float) -> Action | None:
        grant = self.by_attempt.get(ask.attempt)
        if grant is not None:
            return Granted(ask, grant, self.held[grant].expires_s - now)
        return Queued(ask) if self._is_waiting(ask.attempt) else None

    def _is_waiting(self, attempt: AttemptId) -> bool:
        return attempt in self.online or attempt in self.batch

    def _stop_waiting(self, attempt: AttemptId) -> None:
        self.online.remove(attempt)
        self.batch.remove(attempt)

    def _lease_s(self, ask: SlotAsk) -> float:
        return self.options.batch_lease_s if ask.batch else self.options.online_lease_s

    def _pump(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while (entry := self._next(self.occupancy(now))) is not None:
            actions.append(self._grant(entry.ask, now))
        count = self.policy.to_revoke(self.occupancy(now))
        return actions + self._revoke(count, now)

    def _next(self, use: Occupancy) -> Waiting | None:
        online = self.online.first() if self.policy.admits_online(use) else None
        batch = None
        if self.settled and self.policy.admits_batch(use):
            batch = self.batch.first()
        if online is None or batch is None:
            return online or batch
        return batch if self.policy.batch_first(online.order, batch.order) else online

    def _grant(self, ask: SlotAsk, now: float) -> Granted:
        self._stop_waiting(ask.attempt)
        self.order += 1
        held = self._hold(GrantId(f"{self.prefix}{self.order}"), ask, now)
        if ask.batch:
            held.cost_s = self.times.cost_s(ask)
            self.batch.charge(ask, held.cost_s)
        return Granted(ask, held.grant, self._lease_s(ask))

    def _hold(self, grant: GrantId, ask: SlotAsk, now: float) -> Held:
        held = Held(grant, ask, now, now + self._lease_s(ask))
        self.held[grant] = held
        self.batch_held += ask.batch
        self.by_attempt[ask.attempt] = grant
        return held

    def _adopt(self, grant: GrantId, ask: SlotAsk, now: float) -> Held:
        self._stop_waiting(ask.attempt)
        return self._hold(grant, ask, now)

    def _revoke(self, count: int, now: float) -> list[Action]:
        """Revoke the youngest batch grants, which lose the least work."""
        if count <= 0:
            return []
        candidates = [held for held in self.held.values() if held.ask.batch and not held.revoking]
        candidates.sort(key=lambda held: held.granted_s, reverse=True)
        for held in candidates[:count]:
            held.revoking = True
            self.revoking += 1
            held.expires_s = min(held.expires_s, now + self.options.batch_lease_s)
        return [Revoke(held) for held in candidates[:count]]

    def _forget_ended(self, now: float) -> None:
        while self.ended:
            grant, until_s = next(iter(self.ended.items()))
            if until_s > now:
                break
            del self.ended[grant]

    def _end(self, grant: GrantId, now: float) -> Held | None:
        held = self.held.pop(grant, None)
        if held is None:
            return None
        self.batch_held -= held.ask.batch
        self.revoking -= held.revoking
        if self.by_attempt.get(held.ask.attempt) == grant:
            del self.by_attempt[held.ask.attempt]
        self.ended[grant] = now + self.options.remember_s
        return held
