"""Model of a store, a network and processes that grant permits by the real authority and holder.

Any process may claim any share at any time: the bound must not depend on when a claim is made.
"""

from dataclasses import dataclass, field

from features.support.limit_bounds import MAX_DRIFT, most_in_window, share_bound
from parsleyrouter.customers import Customer, Customers
from parsleyrouter.ids import Address, CustomerName, DomainName, NodeId, Revision, ShareId
from parsleyrouter.limits.authority import Claim, ShareAuthority, ShareChange
from parsleyrouter.limits.holder import Granted, ShareHolder
from parsleyrouter.limits.permit_calls import PERMIT_VALID_S
from parsleyrouter.limits.shares import ShareRecord, group_of, shares_of

CUSTOMER = CustomerName("ant")
SHARES = shares_of(group_of(CUSTOMER))


@dataclass
class ModelStore:
    """What the store holds."""

    revision: int = 0
    records: dict[ShareId, tuple[ShareRecord, int]] = field(default_factory=dict)

    def apply(self, claim: Claim) -> int:
        """Apply a conditional write; return its revision, 0 if a condition did not hold."""
        current = self.records.get(claim.share)
        if (current[1] if current else 0) != claim.expected:
            return 0
        self.revision += 1
        self.records[claim.share] = (claim.record, self.revision)
        return self.revision


@dataclass
class ModelProcess:
    """One process with its own clock; ``drift`` is how much faster the clock runs."""

    authority: ShareAuthority
    offset_s: float
    drift: float
    holder: ShareHolder = field(init=False)
    ended: bool = False

    def __post_init__(self) -> None:
        self.holder = ShareHolder(self.authority.may_grant)

    def clock(self, true_s: float) -> float:
        """Return what the clock of this process shows."""
        return self.offset_s + true_s * (1 + self.drift)

    def note(self, share: ShareId, change: ShareChange) -> None:
        """Begin or end the buckets of a share, as the keeper does."""
        view = self.authority.views[share]
        if change is ShareChange.BEGUN:
            self.holder.begin(share, view.grants_from_s, generous=view.generous)
        elif change is ShareChange.LOST:
            self.holder.end(share)


@dataclass
class LateRead:
    """A read of all records that was answered; it is delivered later or never."""

    process: ModelProcess
    records: dict[ShareId, tuple[ShareRecord, int]]
    proved_s: float
    """Of the clock of the reader."""


@dataclass
class LatePermit:
    """A permit under way to the node that asked."""

    holder: ModelProcess
    share: ShareId
    number: int
    asked_s: float


class LimitModel:
    """Nodes, of which each runs one process and may have left others behind."""

    def __init__(self, nodes: int, rate_per_s: float, burst: float) -> None:
        self.now = 0.0
        self.store = ModelStore()
        self.boots = 0
        self.table = self._table(rate_per_s, burst)
        self.limits: list[tuple[float, Customer]] = []
        self.runs: dict[ShareId, list[float]] = {share: [] for share in SHARES}
        self.writes: list[tuple[ModelProcess, Claim, float]] = []
        self.reads: list[LateRead] = []
        self.permits: list[LatePermit] = []
        self.processes: list[ModelProcess] = []
        self.left_behind: list[ModelProcess] = []
        self._note_limit()
        for number in range(nodes):
            self.processes.append(self._process(number, address=number))

    @staticmethod
    def _table(rate_per_s: float, burst: float) -> Customers:
        if not rate_per_s:
            return Customers()
        return Customers.of([(Customer(CUSTOMER, rate_per_s, burst), [])])

    def _note_limit(self) -> None:
        known = self.table.by_name.get(CUSTOMER)
        if known is not None:
            self.limits.append((self.now, known))

    def _process(self, number: int, address: int) -> ModelProcess:
        self.boots += 1
        own = ShareRecord(
            NodeId(f"n{number}"),
            self.boots,
            Address(f"10.0.0.{address}:1"),
            DomainName("z"),
            claims=0,
        )
        drift = MAX_DRIFT * (-1, 0, 1)[self.boots % 3]
        process = ModelProcess(ShareAuthority(own), 1000.0 * self.boots, drift)
        process.holder.set_customers(self.table, process.clock(self.now))
        return process

    # What may happen; ``index`` chooses a node or something under way, ``share`` a share.

    def wait(self, time_s: float) -> None:
        """Let time pass while callers take whatever they are given."""
        until_s = self.now + time_s
        while self.now < until_s:
            self.now = min(until_s, self.now + max(0.1, time_s / 20))
            self.take_all()

    def take_all(self) -> None:
        """Send requests for as many permits as all processes grant now."""
        for process in [*self.processes, *self.left_behind]:
            for share in SHARES:
                while self._take(process, share) is not None:
                    self.runs[share].append(self.now)

    def _take(self, process: ModelProcess, share: ShareId) -> int | None:
        now = process.clock(self.now)
        answer = process.holder.take(share, CUSTOMER, now, returning=True, longest_s=-1.0)
        return answer.number if isinstance(answer, Granted) else None

    def claim(self, index: int, share: int) -> None:
        """Send a claim, a settlement or nothing, whatever the record says."""
        process = self.processes[index % len(self.processes)]
        one = SHARES[share % len(SHARES)]
        now = process.clock(self.now)
        claim = process.authority.settlement(one, now)
        if claim is None and not process.authority.holds(one):
            claim = process.authority.new_claim(one)
        if claim is not None:
            self.writes.append((process, claim, now))

    def claim_now(self, index: int, share: int) -> None:
        """Let a node read the records, claim or settle a share and get the answer at once."""
        self.read_now(index)
        before = len(self.writes)
        self.claim(index, share)
        if len(self.writes) > before:
            self.write(before, answered=True)

    def read_now(self, index: int) -> None:
        """Let a node read all records at once."""
        now_known = LateRead(
            self.processes[index % len(self.processes)], dict(self.store.records), 0
        )
        now_known.proved_s = now_known.process.clock(self.now)
        self.reads.append(now_known)
        self.deliver(len(self.reads) - 1)

    def release(self, index: int, share: int) -> None:
        """Stop granting at a node and send a release of a share."""
        process = self.processes[index % len(self.processes)]
        process.authority.closed = True
        claim = process.authority.release(SHARES[share % len(SHARES)])
        if claim is not None:
            self.writes.append((process, claim, process.clock(self.now)))

    def write(self, index: int, answered: bool) -> None:
        """Let the store apply a write under way; its answer may be lost."""
        if not self.writes:
            return
        process, claim, sent_s = self.writes.pop(index % len(self.writes))
        revision = self.store.apply(claim)
        if revision and answered and not process.ended:
            now = process.clock(self.now)
            change = process.authority.applied(claim, Revision(revision), sent_s, now)
            process.note(claim.share, change)

    def read(self, index: int, behind: int) -> None:
        """Let a node read all records, here or as another node knows them."""
        process = self.processes[index % len(self.processes)]
        self._read(process, behind)
        for other in self.left_behind:
            self._read(other, behind)

    def _read(self, process: ModelProcess, behind: int) -> None:
        now = process.clock(self.now)
        if behind % 2 == 0:
            self.reads.append(LateRead(process, dict(self.store.records), now))
            return
        leader = self.processes[behind % len(self.processes)]
        known = {
            share: (view.record, int(view.revision))
            for share, view in leader.authority.views.items()
            if view.record is not None
        }
        age_s = leader.clock(self.now) - leader.authority.proved_s
        self.reads.append(LateRead(process, known, now - age_s))

    def deliver(self, index: int) -> None:
        """Deliver the answer to a read."""
        if not self.reads:
            return
        read = self.reads.pop(index % len(self.reads))
        process = read.process
        if process.ended:
            return
        now = process.clock(self.now)
        for share, (record, revision) in read.records.items():
            change = process.authority.observe(share, record, Revision(revision), now)
            process.note(share, change)
        process.authority.prove(read.proved_s)

    def restart(self, index: int) -> None:
        """End the process of a node and start another, which has forgotten all."""
        number = index % len(self.processes)
        self.processes[number].ended = True
        self.processes[number] = self._process(number, address=number)

    def replace(self, index: int) -> None:
        """Start a process of a node at another address, while the former one goes on."""
        number = index % len(self.processes)
        self.left_behind.append(self.processes[number])
        self.processes[number] = self._process(number, address=100 + self.boots)

    def grant_late(self, index: int, share: int) -> None:
        """Take a permit whose answer is under way."""
        process = self.processes[index % len(self.processes)]
        one = SHARES[share % len(SHARES)]
        number = self._take(process, one)
        if number is not None:
            self.permits.append(LatePermit(process, one, number, self.now))

    def arrive(self, index: int, twice: bool) -> None:
        """Let a permit arrive: it is used, or given back if it is late."""
        if not self.permits:
            return
        permit = self.permits.pop(index % len(self.permits))
        if self.now - permit.asked_s <= PERMIT_VALID_S:
            self.runs[permit.share].append(self.now)
            return
        if not permit.holder.ended:
            for _ in range(1 + twice):
                now = permit.holder.clock(self.now)
                permit.holder.holder.give_back(permit.share, CUSTOMER, permit.number, now)

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Put another limit in force; nodes learn of it later."""
        self.table = self._table(rate_per_s, burst)
        self._note_limit()

    def learn(self, index: int) -> None:
        """Let a node learn the limit in force."""
        process = self.processes[index % len(self.processes)]
        process.holder.set_customers(self.table, process.clock(self.now))

    def churn(self, index: int) -> None:
        """Take the limit away and put it in force again, both learned at once."""
        table = self.table
        self.table = Customers()
        self.learn(index)
        self.table = table
        self.learn(index)

    def most_over(self, window_s: float) -> float:
        """Return the most runs by permits of one share in any window, less the bound of a share."""
        largest = Customer(
            CUSTOMER,
            max(one.rate_per_s for _, one in self.limits),
            max(one.burst for _, one in self.limits),
        )
        bound = share_bound(largest, window_s)
        return max(most_in_window(times, window_s) for times in self.runs.values()) - bound
