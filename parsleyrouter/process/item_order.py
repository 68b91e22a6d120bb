"""Order the waiting items of a node's batch jobs."""

from collections import Counter
from dataclasses import dataclass, field

from parsleyrouter.contention import WaitingItem, claiming_nodes, fair_order
from parsleyrouter.ids import CustomerName, ItemIndex, JobId, NodeId, RouteName
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.batch_placement import batch_item_rank
from parsleyrouter.process.item_run import ItemRun
from parsleyrouter.process.job_directory import JobView
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.request.item_time import ItemTimes

__all__ = ["CustomerNodes", "ItemOrder"]


@dataclass
class CustomerNodes:
    """Count the nodes that own open jobs of each customer, by the watched records."""

    jobs: dict[JobId, tuple[CustomerName, NodeId]] = field(default_factory=dict)
    owned: dict[CustomerName, Counter[NodeId]] = field(default_factory=dict)

    def update_job(self, view: JobView) -> None:
        """Apply a job that has changed."""
        known = self.jobs.pop(view.job, None)
        if known is not None:
            counts = self.owned[known[0]]
            counts[known[1]] -= 1
            if not counts[known[1]]:
                del counts[known[1]]
            if not counts:
                del self.owned[known[0]]
        if view.open and view.versioned is not None and view.owner is not None:
            customer = view.versioned.record.customer
            self.jobs[view.job] = customer, view.owner
            self.owned.setdefault(customer, Counter())[view.owner] += 1

    def counts(self) -> dict[CustomerName, int]:
        """Return the number of nodes by customer."""
        return {customer: len(nodes) for customer, nodes in self.owned.items()}


@dataclass
class ItemOrder:
    """Rank items by their due time and the work that is left, and customers by what they run."""

    owner: JobOwner
    routes: ActiveRoutes
    item_times: ItemTimes
    nodes: CustomerNodes = field(default_factory=CustomerNodes)
    customers_here: frozenset[CustomerName] = frozenset()
    """The customers with jobs at this node when items were ordered last."""

    def waiting(self, now: float, wall_ms: float) -> list[tuple[JobRun, ItemIndex]]:
        """Return the items that may be run now, in the order in which they are started."""
        ranked = [
            (self._waiting_rank(job_run, index, wall_ms), job_run, index)
            for job_run in self.owner.runs.values()
            for index in job_run.pending(now)
        ]
        if not self._has_customers:
            ranked.sort(key=lambda entry: (entry[0], entry[1].job, entry[2]))
            return [(job_run, index) for _, job_run, index in ranked]
        items = [
            WaitingItem(_customer(job_run), rank[0], (rank, job_run.job, index), (job_run, index))
            for rank, job_run, index in ranked
        ]
        running: Counter[CustomerName] = Counter()
        for job_run in self.owner.runs.values():
            running[_customer(job_run)] += len(job_run.running)
        nodes = self.nodes.counts()
        self.customers_here = frozenset(running)
        return fair_order(items, running, nodes)

    def claiming_nodes(self, waiting_nodes: int) -> float:
        """Return how many nodes like this one compete for free slots.

        ``waiting_nodes`` have waiting items, this one included.
        """
        if not self._has_customers:
            return waiting_nodes
        return claiming_nodes(self.customers_here, self.nodes.counts(), waiting_nodes)

    def running_rank(self, item_run: ItemRun, now: float) -> tuple[bool, int, float]:
        """Return the rank of an item that runs; the highest is preempted first."""
        spent_s = item_run.progress.spent_s + now - item_run.started_s
        return self._rank(item_run.job_route, spent_s, item_run.due_s - now)

    @property
    def _has_customers(self) -> bool:
        table = self.routes.table
        return table is not None and bool(table.customers)

    def _waiting_rank(
        self, job_run: JobRun, index: ItemIndex, wall_ms: float
    ) -> tuple[bool, int, float]:
        spent_s = job_run.progress[index].spent_s if index in job_run.progress else 0.0
        record = job_run.versioned.record
        return self._rank(record.route, spent_s, (record.due_ms - wall_ms) / 1000)

    def _rank(self, route: RouteName, spent_s: float, left_s: float) -> tuple[bool, int, float]:
        return batch_item_rank(
            left_s=left_s,
            needed_s=self.item_times.left_s(route, spent_s),
            expected_s=self.item_times.expected_s(route),
        )


def _customer(job_run: JobRun) -> CustomerName:
    return job_run.versioned.record.customer
