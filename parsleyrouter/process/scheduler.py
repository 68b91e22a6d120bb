"""Grant the slots of the endpoints that this node is home for: the I/O layer of the slot tables.

``Scheduler(runtime, bind, view)`` opens a peer server of its own; the node's ``NodeInfo`` must list
``bound_address`` for ``Service.SCHEDULER``. Further methods may be added to ``methods``.
"""

import itertools
import logging
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from parsleyrouter.connection.peer import PeerFailure, PeerMethods, PeerServer
from parsleyrouter.ids import (
    Address,
    AttemptId,
    EndpointId,
    GrantId,
    NodeId,
    TeamName,
)
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import holder_addresses
from parsleyrouter.process.grant_metrics import SchedulerMetrics
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.process.load_reports import ForeignLoadEstimator, LoadReport, LoadReportPoller
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.scheduler_messages import (
    grant_answer,
    not_home_answer,
    read_live_grant,
    read_request,
)
from parsleyrouter.process.sharing_policies import POLICIES, PROFILES, SharingPolicy, SharingProfile
from parsleyrouter.process.slot_events import (
    Action,
    Granted,
    Holder,
    RefusalReason,
    Refused,
    Revoke,
    SlotUsage,
)
from parsleyrouter.process.slot_table import SlotTable, SlotTableOptions
from parsleyrouter.thrift_gen.grants.ttypes import (
    AskGrant,
    GrantAnswer,
    LiveGrants,
    LiveGrantsQuery,
    ReleaseGrant,
    RenewAnswer,
    RenewGrants,
    RevokeGrant,
)
from parsleyrouter.version.schema import EndpointState, EndpointType, KindClass, PolicyProfile

__all__ = ["Scheduler", "SchedulerOptions"]

log = logging.getLogger(__name__)

_channels = itertools.count(1)


@dataclass(frozen=True)
class SchedulerOptions:
    """Times of the scheduler in seconds, and the options of its slot tables."""

    tick_s: float = 0.1
    query_limit_s: float = 0.5
    table: SlotTableOptions = SlotTableOptions()
    profiles: Mapping[PolicyProfile, SharingProfile] = field(default_factory=lambda: PROFILES)


class Scheduler:
    """Grant slots on the endpoints that hash to this node."""

    def __init__(
        self,
        runtime: Runtime,
        bind: Address,
        view: FleetView,
        options: SchedulerOptions | None = None,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.peers = runtime.peers
        self.view = view
        self.options = options or SchedulerOptions()
        self.boot = secrets.token_hex(4)
        self.tables: dict[EndpointId, SlotTable] = {}
        self.estimators: dict[EndpointId, ForeignLoadEstimator] = {}
        self.poller = LoadReportPoller(runtime, self._engine_addresses, self._on_report)
        self.metrics = SchedulerMetrics.of(runtime.metrics)
        self.methods = PeerMethods()
        self._add_methods(self.methods)
        channel = f"scheduler-{next(_channels)}"
        self.server = PeerServer(self.loop, bind, self.methods, None, channel).register(runtime)
        self.homes = HomeMap(view)
        view.on_change(self.apply_view)
        self.loop.call_soon(self.apply_view)
        self.loop.spawn(self._tick_loop(), "scheduler ticks")

    def bound_address(self) -> Address:
        """Return the address that peers call."""
        return self.server.bound_address()

    def apply_view(self) -> None:
        """Open tables for the endpoints that this node is home for and drop the others."""
        me = self.view.self_node().node
        fleet = self.view.settings().fleet
        now = self.loop.now()
        for name, settings in fleet.endpoints.items():
            endpoint = EndpointId(name)
            if self.homes.home(endpoint) != me:
                self._drop_table(endpoint, RefusalReason.NOT_HOME)
                continue
            table = self.tables.get(endpoint) or self._open_table(endpoint, settings.slots)
            if settings.state is EndpointState.LEAVING:
                self._execute(table.close(RefusalReason.LEAVING), table)
            else:
                table.reopen()
                self._execute(table.resize(settings.slots, self._policy(), now), table)
        for endpoint in [name for name in self.tables if name not in fleet.endpoints]:
            self._drop_table(endpoint, RefusalReason.LEAVING)

    def _policy(self) -> SharingPolicy:
        settings = self.view.settings().fleet.policy
        factory = POLICIES.get(settings.sharing) or POLICIES["online-first"]
        return factory(self.options.profiles[settings.profile])

    def _open_table(self, endpoint: EndpointId, slots: int) -> SlotTable:
        prefix = f"{self.view.self_node().node}.{self.boot}.{endpoint}."
        table = SlotTable(
            endpoint,
            slots,
            self._policy(),
            prefix=prefix,
            options=self.options.table,
            recovered=False,
        )
        self.tables[endpoint] = table
        self.estimators[endpoint] = ForeignLoadEstimator()
        self.loop.spawn(self._recover_grants(table), "recover live grants")
        return table

    def _drop_table(self, endpoint: EndpointId, reason: RefusalReason) -> None:
        table = self.tables.pop(endpoint, None)
        self.estimators.pop(endpoint, None)
        if table is not None:
            self._execute(table.close(reason), table)

    async def _recover_grants(self, table: SlotTable) -> None:
        """Adopt the grants that nodes hold.

        If a node does not answer, wait until its batch grants have expired, one batch lease.
        """
        started_s = self.loop.now()
        addresses = holder_addresses(self.view.nodes())
        tasks = [self.loop.spawn(self._recover_from(table, address)) for address in addresses]
        if not all(await self.loop.gather(tasks)) or not tasks:
            left_s = started_s + self.options.table.batch_lease_s - self.loop.now()
            await self.loop.sleep(max(0.0, left_s))
        self._execute(table.finish_recovery(self.loop.now()), table)

    async def _recover_from(self, table: SlotTable, address: Address) -> bool:
        answer = await self.peers.call(
            address,
            "grant.live",
            LiveGrantsQuery(table.endpoint),
            LiveGrants,
            self.options.query_limit_s,
        )
        if isinstance(answer, PeerFailure):
            return False
        holder = Holder(NodeId(answer.node), Address(answer.reply_to))
        for live in answer.grants:
            table.renew(GrantId(live.grant), read_live_grant(live, holder), self.loop.now())
        return True

    def _add_methods(self, methods: PeerMethods) -> None:
        @methods.add("grant.ask", AskGrant)
        async def request(_: Any, message: AskGrant) -> GrantAnswer:
            return self._on_request(message)

        @methods.add("grant.release", ReleaseGrant)
        async def release(_: Any, message: ReleaseGrant) -> None:
            self._on_release(message)

        @methods.add("grant.renew", RenewGrants)
        async def renew(_: Any, message: RenewGrants) -> RenewAnswer:
            return self._on_renew(message)

    def _on_request(self, message: AskGrant) -> GrantAnswer:
        table = self.tables.get(EndpointId(message.endpoint))
        if table is None:
            return not_home_answer(message)
        team = self.view.settings().teams.get(TeamName(message.team))
        request = read_request(message, team.weight if team else 1.0)
        now = self.loop.now()
        own_answer: GrantAnswer | None = None
        other_actions: list[Action] = []
        for action in table.submit(request, now):
            self._count_action(action)
            if not isinstance(action, Revoke) and action.request.attempt == request.attempt:
                own_answer = grant_answer(table, action, self.loop.now())
            else:
                other_actions.append(action)
        self._execute(other_actions, table)
        assert own_answer is not None
        return own_answer

    def _on_release(self, message: ReleaseGrant) -> None:
        table = self.tables.get(EndpointId(message.endpoint))
        if table is None:
            return
        now = self.loop.now()
        if message.grant:
            usage = SlotUsage(message.ok, message.ttft_s, message.output_tokens)
            self._execute(table.release(GrantId(message.grant), usage, now), table)
        else:
            self._execute(table.withdraw(AttemptId(message.attempt), now), table)

    def _on_renew(self, message: RenewGrants) -> RenewAnswer:
        holder = Holder(NodeId(message.node), Address(message.reply_to))
        answer = RenewAnswer(lapsed=[], renewed=[])
        now = self.loop.now()
        for live in message.grants:
            table = self.tables.get(EndpointId(live.endpoint))
            if table is not None:
                is_live = table.renew(GrantId(live.grant), read_live_grant(live, holder), now)
                (answer.renewed if is_live else answer.lapsed).append(live.grant)
        return answer

    def _execute(self, actions: list[Action], table: SlotTable) -> None:
        for action in actions:
            self._count_action(action)
            if isinstance(action, Revoke):
                holder = action.held.request.holder
                message = RevokeGrant(action.held.grant, action.held.request.attempt)
                self.peers.send_oneway(holder.reply_to, "grant.revoke", message)
            else:
                holder = action.request.holder
                answer = grant_answer(table, action, self.loop.now())
                self.peers.send_oneway(holder.reply_to, "grant.answer", answer)

    async def _tick_loop(self) -> None:
        while True:
            await self.loop.sleep(self.options.tick_s)
            now = self.loop.now()
            for table in list(self.tables.values()):
                self.estimators[table.endpoint].record_own(len(table.held), now)
                self._execute(table.tick(now), table)
                self._export_metrics(table, now)

    def _export_metrics(self, table: SlotTable, now: float) -> None:
        use = table.occupancy(now)
        held, waiting = self.metrics.held, self.metrics.waiting
        held.labels(table.endpoint, "online").set(use.online)
        held.labels(table.endpoint, "batch").set(use.batch)
        waiting.labels(table.endpoint, "online").set(use.online_waiting)
        waiting.labels(table.endpoint, "batch").set(use.batch_waiting)
        self.metrics.foreign.labels(table.endpoint).set(table.foreign)

    def _count_action(self, action: Action) -> None:
        if isinstance(action, Revoke):
            self.metrics.revoked.inc()
        elif isinstance(action, Refused):
            self.metrics.refused.labels(action.reason.value).inc()
        elif isinstance(action, Granted):
            kind_class = KindClass.BATCH if action.request.batch else KindClass.ONLINE
            self.metrics.granted.labels(kind_class.value).inc()

    def _engine_addresses(self) -> dict[EndpointId, Address]:
        endpoints = self.view.settings().fleet.endpoints
        return {
            name: Address(endpoints[name].address)
            for name in self.tables
            if name in endpoints and endpoints[name].type is EndpointType.ENGINE
        }

    def _on_report(self, endpoint: EndpointId, report: LoadReport) -> None:
        table = self.tables.get(endpoint)
        if table is None:
            return
        now = self.loop.now()
        estimator = self.estimators[endpoint]
        estimator.record_own(len(table.held), now)
        estimator.record_report(report, now)
        self._execute(table.set_foreign(estimator.foreign(now), now), table)
