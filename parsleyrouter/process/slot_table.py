"""Decide who uses the slots of one endpoint: the core of a home scheduler, without I/O.

Own grants determine which slots are used, corrected by load reports. Methods take the current time
as monotonic seconds and return the actions for the scheduler to execute.
"""

from dataclasses import dataclass, field

from parsleyrouter.ids import AttemptId, EndpointId, GrantId
from parsleyrouter.process.burst_meter import BurstMeter
from parsleyrouter.process.service_times import ServiceTimes
from parsleyrouter.process.sharing_policies import Occupancy, SharingPolicy
from parsleyrouter.process.slot_events import (
    Action,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    Revoke,
    SlotRequest,
    SlotUsage,
)
from parsleyrouter.process.slot_queue import BatchQueue, OnlineQueue, Waiting

__all__ = ["SlotTable", "SlotTableOptions"]


@dataclass(frozen=True)
class SlotTableOptions:
    """Times of a slot table in seconds, and the maximum length of each queue.

    For ``remember_s`` after its end, a grant cannot be renewed or adopted again.
    """

    online_lease_s: float = 6.0
    batch_lease_s: float = 2.0
    remember_s: float = 30.0
    queue_limit: int = 1024


@dataclass
class SlotTable:
    """Hold the grants and queues of one endpoint.

    Batch work gets no slots until ``finish_recovery`` is called, because grants of a previous home
    may still be in use.
    """

    endpoint: EndpointId
    slots: int
    policy: SharingPolicy
    prefix: str = ""
    options: SlotTableOptions = SlotTableOptions()
    recovered: bool = True
    closed: bool = False
    foreign: int = 0
    held: dict[GrantId, HeldSlot] = field(default_factory=dict)
    grant_by_attempt: dict[AttemptId, GrantId] = field(default_factory=dict)
    online_queue: OnlineQueue = field(default_factory=OnlineQueue)
    batch_queue: BatchQueue = field(default_factory=BatchQueue)
    burst_meter: BurstMeter = field(default_factory=BurstMeter)
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    ended_grants: dict[GrantId, float] = field(default_factory=dict)
    batch_held: int = 0
    revoking: int = 0
    sequence: int = 0

    def submit(self, request: SlotRequest, now: float) -> list[Action]:
        """Submit an attempt; a repeated request returns the attempt's current state."""
        known = self._current_action(request, now)
        if known is not None:
            return [known]
        if self.closed:
            return [Refused(request, RefusalReason.LEAVING)]
        if not request.batch:
            self.burst_meter.record_arrival(now)
        refused = self._check_admission(request, now)
        if refused is not None:
            return [refused]
        self.sequence += 1
        entry = Waiting(request, now, self.sequence)
        if request.batch:
            self.batch_queue.add(entry)
        else:
            self.online_queue.add(entry)
        actions = self._assign_slots(now)
        if self._is_waiting(request.attempt):
            actions.append(Queued(request))
        return actions

    def withdraw(self, attempt: AttemptId, now: float) -> list[Action]:
        """Withdraw an attempt and release the grant it may have received meanwhile."""
        self._stop_waiting(attempt)
        grant = self.grant_by_attempt.get(attempt)
        return [] if grant is None else self.release(grant, SlotUsage(ok=False), now)

    def release(self, grant: GrantId, usage: SlotUsage, now: float) -> list[Action]:
        """Release a slot."""
        held = self._end_grant(grant, now)
        if held is None:
            return []
        self.service_times.record_use(held.request, now - held.granted_s, usage)
        if held.revoking and not usage.ok:
            self.batch_queue.refund(held.request, held.cost_s)
        return self._assign_slots(now)

    def renew(self, grant: GrantId, request: SlotRequest, now: float) -> bool:
        """Renew a grant, or adopt one of a previous home; return whether it is valid."""
        held = self.held.get(grant)
        if held is None:
            if grant in self.ended_grants:
                return False
            held = self._adopt(grant, request, now)
        if held.revoking:
            return True
        held.expires_s = now + self._lease_s(request)
        return True

    def finish_recovery(self, now: float) -> list[Action]:
        """Start to serve batch work: all grants of a previous home are known or have expired."""
        self.recovered = True
        return self._assign_slots(now)

    def resize(self, slots: int, policy: SharingPolicy, now: float) -> list[Action]:
        """Apply the number of slots and the policy of new settings."""
        self.slots = slots
        self.policy = policy
        return self._assign_slots(now)

    def set_foreign(self, foreign: int, now: float) -> list[Action]:
        """Set the number of slots that others use, according to load reports."""
        self.foreign = foreign
        return self._assign_slots(now)

    def close(self, reason: RefusalReason) -> list[Action]:
        """Stop granting slots and refuse the waiting attempts; existing grants stay valid."""
        self.closed = True
        waiting = [*self.online_queue, *self.batch_queue]
        for entry in waiting:
            self._stop_waiting(entry.request.attempt)
        return [Refused(entry.request, reason) for entry in waiting]

    def reopen(self) -> None:
        """Accept new attempts again."""
        self.closed = False

    def tick(self, now: float) -> list[Action]:
        """Expire grants, waiting attempts past their deadlines, and the ids of ended grants."""
        for grant in [grant for grant, held in self.held.items() if held.expires_s <= now]:
            self._end_grant(grant, now)
        self._forget_ended(now)
        return self._refuse_late(now) + self._assign_slots(now)

    def occupancy(self, now: float) -> Occupancy:
        """Return the current use of the slots."""
        return Occupancy(
            slots=self.slots - self.foreign,
            online=len(self.held) - self.batch_held,
            batch=self.batch_held,
            revoking=self.revoking,
            online_waiting=len(self.online_queue),
            batch_waiting=len(self.batch_queue),
            burst=self.burst_meter.expected_burst(now),
        )

    def online_load(self, now: float) -> float:
        """Return running and waiting online attempts per slot."""
        use = self.occupancy(now)
        return (use.online + use.online_waiting) / max(1, use.slots)

    def total_load(self, now: float) -> float:
        """Return running and waiting attempts of both classes per slot."""
        use = self.occupancy(now)
        return (use.online + use.batch + use.online_waiting + use.batch_waiting) / max(1, use.slots)

    def expected_wait_s(self, request: SlotRequest, now: float) -> float:
        """Return the expected queueing time of an online attempt."""
        use = self.occupancy(now)
        entry = Waiting(request, now, self.sequence + 1)
        ahead = [other for other in self.online_queue if other.urgency < entry.urgency]
        limit = max(1, self.policy.online_limit(use))
        if use.online + len(ahead) < limit:
            return 0.0
        running = [held for held in self.held.values() if not held.request.batch]
        work_s = sum(self._left_s(held, now) for held in running)
        work_s += sum(self.service_times.estimate_s(other.request) for other in ahead)
        return work_s / limit

    def _left_s(self, held: HeldSlot, now: float) -> float:
        return max(0.0, self.service_times.estimate_s(held.request) - (now - held.granted_s))

    def _check_admission(self, request: SlotRequest, now: float) -> Refused | None:
        queue: OnlineQueue | BatchQueue = self.batch_queue if request.batch else self.online_queue
        if len(queue) >= self.options.queue_limit:
            return Refused(request, RefusalReason.OVERLOADED, retry_after_s=1.0)
        if request.batch:
            return None
        wait_s = self.expected_wait_s(request, now)
        if wait_s + self.service_times.estimate_s(request) <= request.deadline_in_s:
            return None
        return Refused(request, RefusalReason.DEADLINE, retry_after_s=wait_s)

    def _refuse_late(self, now: float) -> list[Action]:
        overdue = [
            entry
            for entry in (*self.online_queue, *self.batch_queue)
            if self._is_overdue(entry, now)
        ]
        for entry in overdue:
            self._stop_waiting(entry.request.attempt)
        return [Refused(entry.request, RefusalReason.DEADLINE) for entry in overdue]

    def _is_overdue(self, entry: Waiting, now: float) -> bool:
        needed_s = 0.0 if entry.request.batch else self.service_times.estimate_s(entry.request)
        return now + needed_s > entry.deadline_s

    def _current_action(self, request: SlotRequest, now: float) -> Action | None:
        grant = self.grant_by_attempt.get(request.attempt)
        if grant is not None:
            return Granted(request, grant, self.held[grant].expires_s - now)
        return Queued(request) if self._is_waiting(request.attempt) else None

    def _is_waiting(self, attempt: AttemptId) -> bool:
        return attempt in self.online_queue or attempt in self.batch_queue

    def _stop_waiting(self, attempt: AttemptId) -> None:
        self.online_queue.remove(attempt)
        self.batch_queue.remove(attempt)

    def _lease_s(self, request: SlotRequest) -> float:
        return self.options.batch_lease_s if request.batch else self.options.online_lease_s

    def _assign_slots(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while (entry := self._next_waiting(self.occupancy(now))) is not None:
            actions.append(self._grant(entry.request, now))
        count = self.policy.revocations_needed(self.occupancy(now))
        return actions + self._revoke(count, now)

    def _next_waiting(self, use: Occupancy) -> Waiting | None:
        online = self.online_queue.first() if self.policy.admits_online(use) else None
        batch = None
        if self.recovered and self.policy.admits_batch(use):
            batch = self.batch_queue.first()
        if online is None or batch is None:
            return online or batch
        return batch if self.policy.serves_batch_first(online.sequence, batch.sequence) else online

    def _grant(self, request: SlotRequest, now: float) -> Granted:
        self._stop_waiting(request.attempt)
        self.sequence += 1
        held = self._add_held(GrantId(f"{self.prefix}{self.sequence}"), request, now)
        if request.batch:
            held.cost_s = self.service_times.cost_s(request)
            self.batch_queue.charge(request, held.cost_s)
        return Granted(request, held.grant, self._lease_s(request))

    def _add_held(self, grant: GrantId, request: SlotRequest, now: float) -> HeldSlot:
        held = HeldSlot(grant, request, now, now + self._lease_s(request))
        self.held[grant] = held
        self.batch_held += request.batch
        self.grant_by_attempt[request.attempt] = grant
        return held

    def _adopt(self, grant: GrantId, request: SlotRequest, now: float) -> HeldSlot:
        self._stop_waiting(request.attempt)
        return self._add_held(grant, request, now)

    def _revoke(self, count: int, now: float) -> list[Action]:
        """Revoke the most recent batch grants, which lose the least work."""
        if count <= 0:
            return []
        candidates = [
            held for held in self.held.values() if held.request.batch and not held.revoking
        ]
        candidates.sort(key=lambda held: held.granted_s, reverse=True)
        for held in candidates[:count]:
            held.revoking = True
            self.revoking += 1
            held.expires_s = min(held.expires_s, now + self.options.batch_lease_s)
        return [Revoke(held) for held in candidates[:count]]

    def _forget_ended(self, now: float) -> None:
        while self.ended_grants:
            grant, until_s = next(iter(self.ended_grants.items()))
            if until_s > now:
                break
            del self.ended_grants[grant]

    def _end_grant(self, grant: GrantId, now: float) -> HeldSlot | None:
        held = self.held.pop(grant, None)
        if held is None:
            return None
        self.batch_held -= held.request.batch
        self.revoking -= held.revoking
        if self.grant_by_attempt.get(held.request.attempt) == grant:
            del self.grant_by_attempt[held.request.attempt]
        self.ended_grants[grant] = now + self.options.remember_s
        return held
