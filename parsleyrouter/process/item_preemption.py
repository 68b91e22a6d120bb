"""Cancel batch items where online requests wait for their slots."""

from collections.abc import Callable

from parsleyrouter.ids import EndpointId, NodeId
from parsleyrouter.process.batch_placement import count_preemptions
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.process.item_run import ItemEnd, ItemRun
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.load_exchange import LoadExchange

__all__ = ["ItemPreemption"]

REPORT_DEBOUNCE_S = 0.01
"""Time over which load reports of other nodes are gathered; large fleets send hundreds a second."""


class ItemPreemption:
    """Preempt items of this node whenever loads change; ``rank`` orders them, the highest first."""

    def __init__(
        self,
        context: ForwardContext,
        owner: JobOwner,
        exchange: LoadExchange,
        metrics: JobMetrics,
        rank: Callable[[ItemRun, float], tuple[bool, int, float]],
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.owner = owner
        self.exchange = exchange
        self.metrics = metrics
        self.rank = rank
        self.check_scheduled = self.report_check_scheduled = False
        context.loads.on_own_change.append(self._schedule_check)

    def preempt_items(self) -> None:
        """Cancel items where online requests wait for their slots."""
        now = self.loop.now()
        by_endpoint: dict[EndpointId, list[ItemRun]] = {}
        for job_run in self.owner.runs.values():
            for item_run in job_run.running.values():
                if item_run.cancelled_as is None and not item_run.is_undecided_trial:
                    by_endpoint.setdefault(item_run.entry.endpoint, []).append(item_run)
        for endpoint, runs in by_endpoint.items():
            use = self.context.loads.total_use(endpoint, now)
            excess = use.online + use.batch - runs[0].entry.slots
            if excess <= 0:
                continue
            count = count_preemptions(
                self.owner.registry.own.node,
                excess,
                self._counts_at(endpoint, now),
                cell=self.exchange.members.cell,
                cells=self.context.loads.fleet.batch_by_cell(endpoint, now),
            )
            runs.sort(key=lambda item_run: self.rank(item_run, now), reverse=True)
            for item_run in runs[:count]:
                item_run.cancel(ItemEnd.YIELDED)
                self.metrics.preemptions.inc()

    def on_load_report(self) -> None:
        """Schedule a check for waiting online requests of other nodes, one for several reports."""
        if self.owner.runs and not self.report_check_scheduled:
            self.report_check_scheduled = True
            self.loop.call_later(REPORT_DEBOUNCE_S, self._check)

    def _schedule_check(self) -> None:
        """Schedule a check for waiting online requests after the load change in progress."""
        if self.owner.runs and not self.check_scheduled:
            self.check_scheduled = True
            self.loop.call_later(0.0, self._check)

    def _check(self) -> None:
        self.check_scheduled = self.report_check_scheduled = False
        self.preempt_items()

    def _counts_at(self, endpoint: EndpointId, now: float) -> dict[NodeId, RequestCounts]:
        loads = self.context.loads
        counts = {
            report.node: report.uses[endpoint]
            for report in loads.fleet.live_nodes(now)
            if endpoint in report.uses
        }
        counts[self.owner.registry.own.node] = loads.own.get(endpoint, RequestCounts())
        return counts
