"""Run the items of the batch jobs that this node owns, beside online requests."""

import logging
import time
from random import Random

from h11 import LocalProtocolError

from parsleyrouter.ids import EndpointId, ItemIndex, NodeId, RouteName
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.batch_placement import (
    batch_item_rank,
    count_preemptions,
    pick_batch_endpoint,
)
from parsleyrouter.process.endpoint_directory import EndpointDirectory
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.process.item_run import ItemEnd, ItemRun, item_prompt
from parsleyrouter.process.item_states import ItemStates
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.request.item_state import WaitReason
from parsleyrouter.request.item_time import ItemTimes
from parsleyrouter.request.placement import PlacementCandidate
from parsleyrouter.request.shared_job import ItemResult, ItemState, JobRecord
from parsleyrouter.version.route_table import Route, RouteKind

__all__ = ["JobWorker"]

PLACEMENT_INTERVAL_S = 0.05
"""Pause between placements; short compared with the seconds that an item takes."""

REPORT_DEBOUNCE_S = 0.01
"""Time over which load reports of other nodes are gathered; large fleets send hundreds a second."""

IDLE_INTERVAL_S = 0.2
"""Pause between placements while the node owns no job."""

ITEM_RETRY_PAUSE_S = 0.25
"""Pause before an item that failed, was refused or was preempted is run again."""

QUARANTINED_PAUSE_S = 5.0
"""Pause between checks whether an item's prompt may be run again."""

CLOCK_SKEW_MARGIN_S = 3.0
"""Items are given up this long after their time ends, since clocks of nodes differ."""

log = logging.getLogger(__name__)


class JobWorker:
    """Place items of the node's jobs on endpoints, and preempt them for online requests."""

    def __init__(
        self,
        context: ForwardContext,
        owner: JobOwner,
        exchange: LoadExchange,
        routes: ActiveRoutes,
        directory: EndpointDirectory,
        metrics: JobMetrics,
        rng: Random,
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.owner = owner
        self.exchange = exchange
        self.routes = routes
        self.directory = directory
        self.metrics = metrics
        self.rng = rng
        self.item_times = ItemTimes()
        self.states = ItemStates(owner, context.crashes.keeper.quarantine, metrics)
        self.check_scheduled = self.report_check_scheduled = False
        context.loads.on_own_change.append(self._schedule_check)

    def start(self) -> None:
        """Start placing items."""
        self.loop.spawn(self._place_periodically(), "run batch items")

    def preempt_items(self) -> None:
        """Cancel items where online requests wait for their slots."""
        now = self.loop.now()
        running = [
            item_run
            for job_run in self.owner.runs.values()
            for item_run in job_run.running.values()
        ]
        by_endpoint: dict[EndpointId, list[ItemRun]] = {}
        for item_run in running:
            if item_run.cancelled_as is None:
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
            runs.sort(key=lambda item_run: self._running_rank(item_run, now), reverse=True)
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

    async def _place_periodically(self) -> None:
        while True:
            await self.loop.sleep(PLACEMENT_INTERVAL_S if self.owner.runs else IDLE_INTERVAL_S)
            if not self.owner.runs:
                self.context.loads.waiting_items = 0
                continue
            try:
                self.preempt_items()
                self._place_items()
                self.owner.saver.save_when_due(self.owner.runs.values())
                self.states.end_turn()
            except Exception:
                log.exception("turn of batch work failed")

    def _place_items(self) -> None:
        if self.owner.leaving:
            return
        now, wall_ms = self.loop.now(), time.time() * 1000
        waiting = [
            (self._waiting_rank(job_run, index, wall_ms), job_run, index)
            for job_run in self.owner.runs.values()
            for index in job_run.pending(now)
        ]
        waiting.sort(key=lambda entry: (entry[0], entry[1].job, entry[2]))
        self.context.loads.waiting_items = len(waiting)
        full: dict[RouteName, WaitReason] = {}
        for _, job_run, index in waiting:
            if self._give_up_expired(job_run, index, wall_ms):
                self.context.loads.waiting_items -= 1
                continue
            route = job_run.versioned.record.route
            if route in full:
                self.states.pass_over(job_run, index, full[route])
                continue
            reason = self._try_start_item(job_run, index, wall_ms)
            if reason.fills_route:
                full[route] = reason
            else:
                self.context.loads.waiting_items -= 1

    def _waiting_rank(
        self, job_run: JobRun, index: ItemIndex, wall_ms: float
    ) -> tuple[bool, int, float]:
        spent_s = job_run.progress[index].spent_s if index in job_run.progress else 0.0
        record = job_run.versioned.record
        return self._rank(record.route, spent_s, (record.due_ms - wall_ms) / 1000)

    def _running_rank(self, item_run: ItemRun, now: float) -> tuple[bool, int, float]:
        spent_s = item_run.progress.spent_s + now - item_run.started_s
        return self._rank(item_run.job_route, spent_s, item_run.due_s - now)

    def _rank(self, route: RouteName, spent_s: float, left_s: float) -> tuple[bool, int, float]:
        return batch_item_rank(
            left_s=left_s,
            needed_s=self.item_times.left_s(route, spent_s),
            expected_s=self.item_times.expected_s(route),
        )

    def _try_start_item(self, job_run: JobRun, index: ItemIndex, wall_ms: float) -> WaitReason:
        """Start an item; one that cannot be started delays no other."""
        try:
            reason = self._start_item(job_run, index, wall_ms)
        except Exception as error:
            self._handle_item_error(job_run, index, error)
            return WaitReason.PAUSED
        if reason is not WaitReason.HELD:
            self.states.note(job_run, index, reason)
        return reason

    def _handle_item_error(self, job_run: JobRun, index: ItemIndex, error: Exception) -> None:
        """Give up an item that cannot be sent; after any other error, try it again later."""
        item = job_run.items[index].item
        log.exception("item failed to run", extra={"job": job_run.job, "request": item})
        if isinstance(error, UnicodeEncodeError | LocalProtocolError):
            self._finish(job_run, index, ItemState.GIVEN_UP)
        else:
            self._pause(job_run, index)

    def _finish(
        self, job_run: JobRun, index: ItemIndex, state: ItemState, output: str = ""
    ) -> None:
        job_run.finish(index, ItemResult(job_run.items[index].item, state, output))
        self.states.note(job_run, index, WaitReason.NOT_LISTED)

    def _pause(self, job_run: JobRun, index: ItemIndex) -> None:
        job_run.not_before_s[index] = self.loop.now() + ITEM_RETRY_PAUSE_S
        self.states.note(job_run, index, WaitReason.PAUSED)

    def _start_item(self, job_run: JobRun, index: ItemIndex, wall_ms: float) -> WaitReason:
        """Start an item; return what it waits for."""
        record, item = job_run.versioned.record, job_run.items[index]
        route = self._route(record, item.path)
        if route is None:
            job_run.not_before_s[index] = self.loop.now() + ITEM_RETRY_PAUSE_S
            return WaitReason.NO_ROUTE
        now, keeper = self.loop.now(), self.context.crashes.keeper
        prompt = item_prompt(self.context, item)
        if keeper.refusal(prompt) is not None:
            job_run.not_before_s[index] = now + QUARANTINED_PAUSE_S
            self.states.note(job_run, index, WaitReason.HELD, keeper.quarantine.find(prompt))
            return WaitReason.HELD
        service = route.pick_service(self.rng)
        entries = {entry.endpoint: entry for entry in self.directory.available_for(service)}
        candidates: list[PlacementCandidate] = self.context.loads.candidates(entries.values(), now)
        waiting_nodes = self.context.loads.fleet.count_waiting_nodes(now) + 1
        best = pick_batch_endpoint(candidates, waiting_nodes=waiting_nodes, draw=self.rng.random())
        if best is None:
            return WaitReason.NO_ROOM if entries else WaitReason.NO_ENDPOINT
        progress = job_run.progress_of(index)
        left_s = max(1.0, (record.kept_until_ms - wall_ms) / 1000)
        item_run = ItemRun(
            self.context, route, service, item, entries[best.endpoint], progress, left_s
        )
        item_run.due_s = now + (record.due_ms - wall_ms) / 1000
        item_run.job_route = record.route
        job_run.running[index] = item_run
        self.loop.spawn(self._run_item(job_run, index, item_run, route), f"item {item.item}")
        return WaitReason.RUNNING

    def _route(self, record: JobRecord, path: str) -> Route | None:
        """Return the batch route of an item, which no other kind of route may replace."""
        table = self.routes.table
        route = table.find(record.host, path) if table is not None else None
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _give_up_expired(self, job_run: JobRun, index: ItemIndex, wall_ms: float) -> bool:
        """Give an item up if its retention, or its route, has ended; return whether it did.

        Until its job is due, the operator may restore a route that was removed by mistake.
        """
        record, item = job_run.versioned.record, job_run.items[index]
        now_ms = wall_ms - CLOCK_SKEW_MARGIN_S * 1000
        expired = now_ms > record.kept_until_ms
        if not expired and now_ms > record.due_ms:
            known = self.routes.version >= record.routes_version
            expired = known and self._route(record, item.path) is None
        if expired:
            self._finish(job_run, index, ItemState.GIVEN_UP)
        return expired

    async def _run_item(
        self, job_run: JobRun, index: ItemIndex, item_run: ItemRun, route: Route
    ) -> None:
        try:
            end, reason = await item_run.run()
        except Exception as error:
            self._handle_item_error(job_run, index, error)
            return
        finally:
            job_run.running.pop(index, None)
        progress = item_run.progress
        self.metrics.runs.labels(end.value).inc()
        fields = {"job": job_run.job, "end": end.value, "reason": reason}
        log.info("item run ended", extra=fields | item_run.fields())
        if end is ItemEnd.COMPLETED:
            self.item_times.record(item_run.job_route, progress.spent_s)
            self._finish(job_run, index, ItemState.COMPLETED, progress.output)
        elif end is ItemEnd.IMPOSSIBLE or progress.failures >= route.max_executions:
            self._finish(job_run, index, ItemState.GIVEN_UP)
        else:
            self._pause(job_run, index)
