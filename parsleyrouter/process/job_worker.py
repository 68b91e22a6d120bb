"""Run the items of the batch jobs that this node owns, beside online requests."""

import logging
import time
from random import Random

from parsleyrouter.ids import EndpointId, ItemIndex, NodeId
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.batch_placement import (
    batch_item_rank,
    count_preemptions,
    pick_batch_endpoint,
)
from parsleyrouter.process.endpoint_directory import EndpointDirectory
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.process.forward_attempt import ForwardContext
from parsleyrouter.process.item_run import ItemEnd, ItemRun
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.request.placement import PlacementCandidate
from parsleyrouter.request.shared_job import ItemResult, ItemState, JobRecord
from parsleyrouter.version.route_table import Route

__all__ = ["JobWorker"]

TURN_S = 0.05
"""Pause between looks for room; short against an item's seconds."""

NEWS_GATHER_S = 0.01
"""How long news of other nodes are gathered; a large fleet sends hundreds a second."""

IDLE_TURN_S = 0.2
"""The same while the node owns no job."""

RERUN_S = 0.25
"""Pause before an item that failed, was refused or gave way is run again."""

ITEM_S = 5.0
"""Time that an item is expected to take."""

GIVE_UP_MARGIN_S = 3.0
"""Items are given up this long after they may be, since clocks of nodes differ."""

log = logging.getLogger(__name__)


class JobWorker:
    """Place items of the node's jobs, give way to online requests and list results."""

    def __init__(
        self,
        calls: ForwardContext,
        owner: JobOwner,
        exchange: LoadExchange,
        routes: ActiveRoutes,
        directory: EndpointDirectory,
        metrics: JobMetrics,
        random: Random,
    ) -> None:
        self.calls = calls
        self.loop = calls.loop
        self.owner = owner
        self.exchange = exchange
        self.routes = routes
        self.directory = directory
        self.metrics = metrics
        self.random = random
        self.checking = self.news_waits = False
        calls.loads.on_own_change.append(self._check_soon)

    def start(self) -> None:
        """Begin to look for work."""
        self.loop.spawn(self._turns(), "run batch items")

    def give_way(self) -> None:
        """Cancel items where online requests wait for their slots."""
        now = self.loop.now()
        running = [run for job in self.owner.runs.values() for run in job.running.values()]
        by_endpoint: dict[EndpointId, list[ItemRun]] = {}
        for run in running:
            if not run.yielding:
                by_endpoint.setdefault(run.entry.endpoint, []).append(run)
        for endpoint, runs in by_endpoint.items():
            present = self.calls.loads.total_use(endpoint, now)
            over = present.online + present.batch - runs[0].entry.slots
            if over <= 0:
                continue
            count = count_preemptions(
                self.owner.registry.own.node,
                over,
                self._uses(endpoint, now),
                cell=self.exchange.cell,
                cells=self.calls.loads.fleet.batch_by_cell(endpoint, now),
            )
            runs.sort(key=lambda run: self._rank_of(run, now), reverse=True)
            for run in runs[:count]:
                run.cancel()
                self.metrics.yielded.inc()

    def on_news(self) -> None:
        """Look for online requests of other nodes that wait, for several news together."""
        if self.owner.runs and not self.news_waits:
            self.news_waits = True
            self.loop.call_later(NEWS_GATHER_S, self._check)

    def _check_soon(self) -> None:
        """Look for online requests that wait, once what is under way has been counted."""
        if self.owner.runs and not self.checking:
            self.checking = True
            self.loop.call_later(0.0, self._check)

    def _check(self) -> None:
        self.checking = self.news_waits = False
        self.give_way()

    def _uses(self, endpoint: EndpointId, now: float) -> dict[NodeId, RequestCounts]:
        loads = self.calls.loads
        uses = {
            news.node: news.uses[endpoint]
            for news in loads.fleet.live_nodes(now)
            if endpoint in news.uses
        }
        uses[self.owner.registry.own.node] = loads.own.get(endpoint, RequestCounts())
        return uses

    async def _turns(self) -> None:
        while True:
            await self.loop.sleep(TURN_S if self.owner.runs else IDLE_TURN_S)
            if not self.owner.runs:
                self.calls.loads.waiting_items = 0
                continue
            try:
                self.give_way()
                self._place_items()
                for run in self.owner.runs.values():
                    run.save_when_due()
            except Exception:
                log.exception("turn of batch work failed")

    def _place_items(self) -> None:
        if self.owner.leaving:
            return
        now, wall_ms = self.loop.now(), time.time() * 1000
        waiting = [
            (self._rank(run, index, wall_ms), run, index)
            for run in self.owner.runs.values()
            for index in run.pending(now)
        ]
        waiting.sort(key=lambda one: (one[0], one[1].job, one[2]))
        self.calls.loads.waiting_items = len(waiting)
        for _, run, index in waiting:
            if not self._start(run, index, wall_ms):
                return
            self.calls.loads.waiting_items -= 1

    def _rank(self, run: JobRun, index: ItemIndex, wall_ms: float) -> tuple[bool, int, float]:
        spent_s = run.progress[index].spent_s if index in run.progress else 0.0
        left_s = (run.kept.record.due_ms - wall_ms) / 1000
        return batch_item_rank(left_s=left_s, needed_s=max(0.0, ITEM_S - spent_s))

    def _rank_of(self, one: ItemRun, now: float) -> tuple[bool, int, float]:
        """Return the rank of an item that runs."""
        spent_s = one.progress.spent_s + now - one.started_s
        left_s = one.due_s - now
        return batch_item_rank(left_s=left_s, needed_s=max(0.0, ITEM_S - spent_s))

    def _start(self, run: JobRun, index: ItemIndex, wall_ms: float) -> bool:
        """Start an item; return whether there may be room for another one."""
        record, item = run.kept.record, run.items[index]
        route = self._route(record, item.path)
        kept_s = (record.kept_until_ms - wall_ms) / 1000
        if kept_s < -GIVE_UP_MARGIN_S:
            run.finish(index, ItemResult(item.item, ItemState.GIVEN_UP, ""))
            return True
        if route is None:
            run.retry_s[index] = self.loop.now() + RERUN_S
            return True
        service = route.pick_service(self.random)
        now = self.loop.now()
        entries = {entry.endpoint: entry for entry in self.directory.available_for(service)}
        candidates: list[PlacementCandidate] = self.calls.loads.candidates(entries.values(), now)
        contenders = self.calls.loads.fleet.count_waiting_nodes(now) + 1
        best = pick_batch_endpoint(candidates, contenders=contenders, chance=self.random.random())
        if best is None:
            return False
        progress = run.progress_of(index)
        left_s = max(1.0, kept_s)
        one = ItemRun(self.calls, route, service, item, entries[best.endpoint], progress, left_s)
        one.due_s = now + (record.due_ms - wall_ms) / 1000
        run.running[index] = one
        self.loop.spawn(self._run_item(run, index, one, route), f"item {item.item}")
        return True

    def _route(self, record: JobRecord, path: str) -> Route | None:
        table = self.routes.table
        return table.find(record.host, path) if table is not None else None

    async def _run_item(self, run: JobRun, index: ItemIndex, one: ItemRun, route: Route) -> None:
        try:
            end, reason = await one.run()
        finally:
            run.running.pop(index, None)
        progress = one.progress
        self.metrics.runs.labels(end.value).inc()
        log.info(
            "item run ended",
            extra={
                "job": run.job,
                "request": one.item.item,
                "endpoint": one.entry.endpoint,
                "end": "yielded" if one.yielding and end is ItemEnd.STOPPED else end.value,
                "reason": reason,
                "run": progress.runs,
                "failures": progress.failures,
                "last_event": progress.last_event,
                "took_s": round(self.loop.now() - one.started_s, 3),
            },
        )
        if end is ItemEnd.WHOLE:
            run.finish(index, ItemResult(one.item.item, ItemState.COMPLETED, progress.output))
        elif end is ItemEnd.IMPOSSIBLE or progress.failures >= route.max_executions:
            run.finish(index, ItemResult(one.item.item, ItemState.GIVEN_UP, ""))
        else:
            run.retry_s[index] = self.loop.now() + RERUN_S
