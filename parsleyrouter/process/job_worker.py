"""Run the items of the batch jobs that this node owns, beside online requests."""

import logging
import time
from random import Random

from h11 import LocalProtocolError

from parsleyrouter.ids import EndpointId, ItemIndex, RouteName
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.batch_placement import pick_batch_endpoint, pick_trial_endpoint
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.process.held_items import HeldItems
from parsleyrouter.process.item_order import ItemOrder
from parsleyrouter.process.item_preemption import ItemPreemption
from parsleyrouter.process.item_run import ItemEnd, ItemRun, item_prompt
from parsleyrouter.process.item_states import ItemStates
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.request.item_state import WaitReason
from parsleyrouter.request.item_time import ItemTimes
from parsleyrouter.request.shared_job import ItemResult, ItemState, JobRecord
from parsleyrouter.version.route_table import Route, RouteKind

__all__ = ["JobWorker"]

PLACEMENT_INTERVAL_S = 0.05
"""Pause between placements; short compared with the seconds that an item takes."""

IDLE_INTERVAL_S = 0.2
"""Pause between placements while the node owns no job."""

ITEM_RETRY_PAUSE_S = 0.25
"""Pause before an item that failed, was refused or was preempted is run again."""

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
        self.order = ItemOrder(owner, routes, self.item_times)
        self.states = ItemStates(owner, context.crashes.keeper.quarantine, metrics)
        self.preemption = ItemPreemption(context, owner, exchange, metrics, self.order.running_rank)
        self.held = HeldItems(self.loop, context.crashes.keeper)
        owner.on_release.append(self.held.forget_job)
        self.held.choose_endpoint, self.held.start_at = self._trial_endpoint, self._start_trial

    def start(self) -> None:
        """Start placing items."""
        self.loop.spawn(self._place_periodically(), "run batch items")

    async def _place_periodically(self) -> None:
        while True:
            await self.loop.sleep(PLACEMENT_INTERVAL_S if self.owner.runs else IDLE_INTERVAL_S)
            if not self.owner.runs:
                self.context.loads.waiting_items = 0
                continue
            try:
                self.preemption.preempt_items()
                self._place_items()
                self.owner.saver.save_when_due(self.owner.runs.values())
                self.states.end_turn()
            except Exception:
                log.exception("turn of batch work failed")

    def _place_items(self) -> None:
        if self.owner.leaving:
            return
        self.held.claim_due_trials()
        now, wall_ms = self.loop.now(), time.time() * 1000
        waiting = self.order.waiting(now, wall_ms)
        self.context.loads.waiting_items = len(waiting)
        full: dict[RouteName, WaitReason] = {}
        for job_run, index in waiting:
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
        now, quarantine = self.loop.now(), self.context.crashes.keeper.quarantine
        prompt = item_prompt(self.context, item)
        groups = quarantine.find(prompt)
        if not all(one.can_try(now) for one in groups):
            self.held.hold(job_run, index, prompt, groups)
            self.states.note(job_run, index, WaitReason.HELD, groups)
            return WaitReason.HELD
        service = route.pick_service(self.rng)
        entries = {entry.endpoint: entry for entry in self.directory.available_for(service)}
        candidates = self.context.loads.candidates(entries.values(), now)
        waiting_nodes = self.context.loads.fleet.count_waiting_nodes(now) + 1
        best = pick_batch_endpoint(
            candidates,
            waiting_nodes=self.order.claiming_nodes(waiting_nodes),
            draw=self.rng.random(),
        )
        if best is None:
            return WaitReason.NO_ROOM if entries else WaitReason.NO_ENDPOINT
        if groups:
            self.context.crashes.keeper.take_trial(groups)
        else:
            self.held.release(job_run, index)
        self._begin_run(job_run, index, route, entries[best.endpoint], is_trial=bool(groups))
        return WaitReason.RUNNING

    def _begin_run(
        self,
        job_run: JobRun,
        index: ItemIndex,
        route: Route,
        entry: RegisteredEndpoint,
        *,
        is_trial: bool,
    ) -> None:
        record, item = job_run.versioned.record, job_run.items[index]
        now, wall_ms = self.loop.now(), time.time() * 1000
        left_s = max(1.0, (record.kept_until_ms - wall_ms) / 1000)
        progress = job_run.progress_of(index)
        table = self.routes.table
        item_run = ItemRun(
            self.context,
            route,
            entry.service,
            item,
            entry,
            progress,
            left_s,
            is_trial=is_trial,
            customer=record.customer or None,
            has_customers=bool(record.customer or (table and table.customers)),
        )
        item_run.due_s = now + (record.due_ms - wall_ms) / 1000
        item_run.job_route = record.route
        job_run.running[index] = item_run
        self.loop.spawn(self._run_item(job_run, index, item_run, route), f"item {item.item}")

    def _trial_endpoint(self, job_run: JobRun, index: ItemIndex) -> EndpointId | None:
        """Return where a held item may be tried now, ``None`` if nowhere."""
        route = self._route(job_run.versioned.record, job_run.items[index].path)
        if route is None or index in job_run.running or self.owner.leaving:
            return None
        entries = self.directory.available_for(route.pick_service(self.rng))
        best = pick_trial_endpoint(self.context.loads.candidates(entries, self.loop.now()))
        return best.endpoint if best is not None else None

    def _start_trial(self, job_run: JobRun, index: ItemIndex, endpoint: EndpointId) -> bool:
        """Start a held item at the endpoint where its group is tried, unless it is full of them."""
        route = self._route(job_run.versioned.record, job_run.items[index].path)
        entry = self.directory.endpoints.get(endpoint)
        if route is None or entry is None or index in job_run.running or self.owner.leaving:
            return False
        is_allowed = entry.service in {target.service for target in route.targets}
        (candidate,) = self.context.loads.candidates([entry], self.loop.now())
        if not is_allowed or self.directory.is_leaving(entry) or candidate.limited:
            return False
        tried = sum(
            item_run.is_trial and item_run.entry.endpoint == endpoint
            for run in self.owner.runs.values()
            for item_run in run.running.values()
        )
        if tried >= entry.slots:
            return False
        try:
            self._begin_run(job_run, index, route, entry, is_trial=True)
        except Exception as error:
            self._handle_item_error(job_run, index, error)
            return False
        self.states.note(job_run, index, WaitReason.RUNNING)
        return True

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
