"""Answer for the slots of the endpoints that this node is home for: the shell of the slot tables.

``Scheduler(runtime, bind, view)`` opens a peer server of its own; ``bound_address`` is what the
node's ``NodeInfo`` gives for ``Service.SCHEDULER``. Further methods may be added to ``methods``.
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
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.grant_metrics import SchedulerMetrics
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.process.load_reports import LoadCorrector, LoadReport, LoadReports
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.scheduler_messages import not_home, read_ask, read_live, write_answer
from parsleyrouter.process.sharing_policies import POLICIES, PROFILES, SharingPolicy, SharingProfile
from parsleyrouter.process.slot_events import (
    Action,
    Granted,
    Holder,
    RefusalReason,
    Refused,
    Revoke,
    Usage,
)
from parsleyrouter.process.slot_table import SlotTable, TableOptions
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

HOLDER_SERVICES = (Service.AGENT, Service.BATCH)
"""Services whose addresses answer ``grant.live``."""

_channels = itertools.count(1)


@dataclass(frozen=True)
class SchedulerOptions:
    """Times of the shell in seconds, and of its tables."""

    tick_s: float = 0.1
    query_limit_s: float = 0.5
    table: TableOptions = TableOptions()
    profiles: Mapping[PolicyProfile, SharingProfile] = field(default_factory=lambda: PROFILES)


class Scheduler:
    """Give out grants for the endpoints that hash to this node."""

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
        self.correctors: dict[EndpointId, LoadCorrector] = {}
        self.reports = LoadReports(runtime, self._engines, self._on_report)
        self.metrics = SchedulerMetrics.of(runtime.metrics)
        self.methods = PeerMethods()
        self._add_methods(self.methods)
        channel = f"scheduler-{next(_channels)}"
        self.server = PeerServer(self.loop, bind, self.methods, None, channel).register(runtime)
        self.homes = HomeMap(view)
        view.on_change(self.follow_view)
        self.loop.call_soon(self.follow_view)
        self.loop.spawn(self._keep_ticking(), "scheduler ticks")

    def bound_address(self) -> Address:
        """Return the address that peers call."""
        return self.server.bound_address()

    def follow_view(self) -> None:
        """Take up the endpoints that this node is home for and drop the others."""
        me = self.view.self_node().node
        fleet = self.view.settings().fleet
        now = self.loop.now()
        for name, settings in fleet.endpoints.items():
            endpoint = EndpointId(name)
            if self.homes.home(endpoint) != me:
                self._drop(endpoint, RefusalReason.NOT_HOME)
                continue
            table = self.tables.get(endpoint) or self._open(endpoint, settings.slots)
            if settings.state is EndpointState.LEAVING:
                self._carry_out(table.close(RefusalReason.LEAVING), table)
            else:
                table.reopen()
                self._carry_out(table.resize(settings.slots, self._policy(), now), table)
        for endpoint in [name for name in self.tables if name not in fleet.endpoints]:
            self._drop(endpoint, RefusalReason.LEAVING)

    def _policy(self) -> SharingPolicy:
        settings = self.view.settings().fleet.policy
        factory = POLICIES.get(settings.sharing) or POLICIES["online-first"]
        return factory(self.options.profiles[settings.profile])

    def _open(self, endpoint: EndpointId, slots: int) -> SlotTable:
        prefix = f"{self.view.self_node().node}.{self.boot}.{endpoint}."
        table = SlotTable(
            endpoint,
            slots,
            self._policy(),
            prefix=prefix,
            options=self.options.table,
            settled=False,
        )
        self.tables[endpoint] = table
        self.correctors[endpoint] = LoadCorrector()
        self.loop.spawn(self._learn_live_grants(table), "learn live grants")
        return table

    def _drop(self, endpoint: EndpointId, reason: RefusalReason) -> None:
        table = self.tables.pop(endpoint, None)
        self.correctors.pop(endpoint, None)
        if table is not None:
            self._carry_out(table.close(reason), table)

    async def _learn_live_grants(self, table: SlotTable) -> None:
        """Adopt what nodes hold; a node that does not answer is waited out for a batch lease."""
        started_s = self.loop.now()
        addresses = {
            node.addresses[service]
            for node in self.view.nodes()
            for service in HOLDER_SERVICES
            if service in node.addresses
        }
        tasks = [self.loop.spawn(self._learn_from(table, address)) for address in addresses]
        if not all(await self.loop.gather(tasks)) or not tasks:
            left_s = started_s + self.options.table.batch_lease_s - self.loop.now()
            await self.loop.sleep(max(0.0, left_s))
        self._carry_out(table.settle(self.loop.now()), table)

    async def _learn_from(self, table: SlotTable, address: Address) -> bool:
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
            table.renew(GrantId(live.grant), read_live(live, holder), self.loop.now())
        return True

    def _add_methods(self, methods: PeerMethods) -> None:
        @methods.add("grant.ask", AskGrant)
        async def ask(_: Any, message: AskGrant) -> GrantAnswer:
            return self._on_ask(message)

        @methods.add("grant.release", ReleaseGrant)
        async def release(_: Any, message: ReleaseGrant) -> None:
            self._on_release(message)

        @methods.add("grant.renew", RenewGrants)
        async def renew(_: Any, message: RenewGrants) -> RenewAnswer:
            return self._on_renew(message)

    def _on_ask(self, message: AskGrant) -> GrantAnswer:
        table = self.tables.get(EndpointId(message.endpoint))
        if table is None:
            return not_home(message)
        team = self.view.settings().teams.get(TeamName(message.team))
        ask = read_ask(message, team.weight if team else 1.0)
        now = self.loop.now()
        own: GrantAnswer | None = None
        others: list[Action] = []
        for action in table.ask(ask, now):
            self._tally(action)
            if not isinstance(action, Revoke) and action.ask.attempt == ask.attempt:
                own = write_answer(table, action, self.loop.now())
            else:
                others.append(action)
        self._carry_out(others, table)
        assert own is not None
        return own

    def _on_release(self, message: ReleaseGrant) -> None:
        table = self.tables.get(EndpointId(message.endpoint))
        if table is None:
            return
        now = self.loop.now()
        if message.grant:
            usage = Usage(message.ok, message.ttft_s, message.output_tokens)
            self._carry_out(table.release(GrantId(message.grant), usage, now), table)
        else:
            self._carry_out(table.withdraw(AttemptId(message.attempt), now), table)

    def _on_renew(self, message: RenewGrants) -> RenewAnswer:
        holder = Holder(NodeId(message.node), Address(message.reply_to))
        answer = RenewAnswer(lapsed=[], renewed=[])
        now = self.loop.now()
        for live in message.grants:
            table = self.tables.get(EndpointId(live.endpoint))
            if table is not None:
                lives = table.renew(GrantId(live.grant), read_live(live, holder), now)
                (answer.renewed if lives else answer.lapsed).append(live.grant)
        return answer

    def _carry_out(self, actions: list[Action], table: SlotTable) -> None:
        for action in actions:
            self._tally(action)
            if isinstance(action, Revoke):
                holder = action.held.ask.holder
                message = RevokeGrant(action.held.grant, action.held.ask.attempt)
                self.peers.send_oneway(holder.reply_to, "grant.revoke", message)
            else:
                holder = action.ask.holder
                answer = write_answer(table, action, self.loop.now())
                self.peers.send_oneway(holder.reply_to, "grant.answer", answer)

    async def _keep_ticking(self) -> None:
        while True:
            await self.loop.sleep(self.options.tick_s)
            now = self.loop.now()
            for table in list(self.tables.values()):
                self.correctors[table.endpoint].note_own(len(table.held), now)
                self._carry_out(table.tick(now), table)
                self._show(table, now)

    def _show(self, table: SlotTable, now: float) -> None:
        use = table.occupancy(now)
        held, waiting = self.metrics.held, self.metrics.waiting
        held.labels(table.endpoint, "online").set(use.online)
        held.labels(table.endpoint, "batch").set(use.batch)
        waiting.labels(table.endpoint, "online").set(use.online_waiting)
        waiting.labels(table.endpoint, "batch").set(use.batch_waiting)
        self.metrics.foreign.labels(table.endpoint).set(table.foreign)

    def _tally(self, action: Action) -> None:
        if isinstance(action, Revoke):
            self.metrics.revoked.inc()
        elif isinstance(action, Refused):
            self.metrics.refused.labels(action.reason.value).inc()
        elif isinstance(action, Granted):
            kind_class = KindClass.BATCH if action.ask.batch else KindClass.ONLINE
            self.metrics.granted.labels(kind_class.value).inc()

    def _engines(self) -> dict[EndpointId, Address]:
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
        corrector = self.correctors[endpoint]
        corrector.note_own(len(table.held), now)
        corrector.report(report, now)
        self._carry_out(table.correct(corrector.foreign(now), now), table)
