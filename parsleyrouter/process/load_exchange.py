"""Exchange load reports with the other nodes over UDP.

Within the active cell, each node sends the counts that changed to every other node at once, and its
full report as a heartbeat; on standby, to the first nodes of its cell. Between cells, the leader of
a cell sends an aggregate and relays the aggregates that it receives, both less often while they
stay the same. A lost datagram makes loads inaccurate until the next one; no guarantee depends on
it.
"""

import itertools
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import replace

from parsleyrouter.connection.datagram import DatagramSocket
from parsleyrouter.ids import EndpointId, PromptPart, Revision
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_limits import LimitReport
from parsleyrouter.process.fleet_loads import (
    CellLoadReport,
    NodeLoadChanges,
    NodeLoadReport,
    RequestCounts,
    sum_counts,
)
from parsleyrouter.process.load_changes import (
    ChangeWindow,
    SentAggregates,
    decode_changes,
    encode_changes,
    holds_changes,
)
from parsleyrouter.process.load_codec import (
    InvalidLoadReport,
    decode,
    encode_cell_reports,
    encode_node_report,
)
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.report_room import ReportRoom
from parsleyrouter.process.report_times import (
    ACTIVE_DEBOUNCE_S,
    AGGREGATE_INTERVAL_S,
    DEBOUNCE_S,
    FIRST_REPORTS,
    FIRST_REPORTS_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    LEADER_CHECK_INTERVAL_S,
    LIMITED_DEBOUNCE_S,
    STANDBY_AGGREGATE_INTERVAL_S,
    STANDBY_DEBOUNCE_S,
    STANDBY_RELAY_INTERVAL_S,
)
from parsleyrouter.request.crash import Crash, PartGroup, Prompt

__all__ = ["DEBOUNCE_S", "LIMITED_DEBOUNCE_S", "LoadExchange"]

log = logging.getLogger(__name__)


class LoadExchange:
    """Send and receive load reports over one UDP socket."""

    def __init__(
        self, loop: Loop, loads: EndpointLoads, registry: NodeRegistry, routes: ActiveRoutes
    ) -> None:
        self.loop = loop
        self.loads = loads
        self.registry = registry
        self.routes = routes
        self.datagrams = DatagramSocket(loop, registry.own.nodes, self._receive)
        self.sequence = itertools.count(1)
        self.members = CellMembers(loop, registry, loads.fleet)
        self.room = ReportRoom(loop, self.members)
        self.full_sent_s = 0.0
        """When the latest full report was sent; monotonic."""
        self.full_state: object = None
        """What the latest full report held beside counts, and to whom it was sent."""
        self.window = ChangeWindow()
        self.aggregate_sent = SentAggregates(HEARTBEAT_INTERVAL_S)
        self.relayed_load = False
        """Whether the aggregates to relay last held any request."""
        self.relay_sent = SentAggregates(HEARTBEAT_INTERVAL_S)
        self.sent_limited: dict[EndpointId, int] = {}
        loads.limits.share = self.members.heard_share
        self.broadcast_at_s = math.inf
        """When the next broadcast of changes is due."""
        self.on_load_report: list[Callable[[], object]] = []
        self.known_changes: Callable[[], Mapping[str, Revision]] = dict
        """Returns the revision of the latest change known here, by watched prefix."""
        self.on_changes_elsewhere: list[Callable[[Mapping[str, Revision]], object]] = []
        """Called with the revisions that another node reports."""
        self.on_crashes: list[Callable[[list[Crash]], object]] = []
        self.on_quarantined: list[Callable[[PartGroup], object]] = []
        self.on_served: list[Callable[[dict[Prompt, float], list[PromptPart]], object]] = []
        loads.on_own_change.append(self._schedule_broadcast)

    def start(self) -> None:
        """Start the heartbeat and the aggregates.

        The first reports follow in quick succession, as nodes learn from them who leads their cell.
        """
        for number in range(FIRST_REPORTS):
            self.loop.call_later(number * FIRST_REPORTS_INTERVAL_S, self.broadcast)
        self._heartbeat()
        self._send_aggregates()

    def broadcast(self) -> None:
        """Send the load of this node to the nodes of this cell that need it.

        Only what changed lately is sent if a full report was sent within the heartbeat interval and
        nothing but counts has changed since.
        """
        self.members.update()
        now, uses, targets = (
            self.loop.now(),
            self._own_counts(),
            list(self.members.report_targets()),
        )
        changes = self.window.advance(uses)
        state = (
            self.registry.leaving,
            self.registry.named_until_s,
            self.registry.store.failing,
            self.routes.version,
            frozenset(targets),
        )
        limits = tuple(self.loads.limits.reports(now))
        heartbeat_due = now - self.full_sent_s >= HEARTBEAT_INTERVAL_S
        if limits or self.sent_limited or heartbeat_due or state != self.full_state:
            data = self._full_report(uses, limits, now)
            self.full_sent_s, self.full_state = now, state
        else:
            own, sequence = self.registry.own, next(self.sequence)
            report = NodeLoadChanges(
                node=own.node,
                boot=own.boot,
                sequence=sequence,
                uses=changes,
                waiting_items=self.loads.waiting_items,
                speeds=tuple(self.loads.speeds.take_news()),
            )
            data = encode_changes(report, now)
        for address in targets:
            self.datagrams.send(address, data)
        self.sent_limited = dict(self.loads.limits.sent())

    def _full_report(
        self,
        uses: Mapping[EndpointId, RequestCounts],
        limits: tuple[LimitReport, ...],
        now: float,
    ) -> bytes:
        own = self.registry.own
        report = NodeLoadReport(
            node=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=uses,
            leaving=self.registry.leaving,
            named_until_s=self.registry.named_until_s,
            routes_version=self.routes.version,
            waiting_items=self.loads.waiting_items,
            store_failing=self.registry.store.failing,
            changed=self.known_changes(),
            limits=limits,
            speeds=tuple(self.loads.speeds.take_news()),
        )
        return encode_node_report(report, own, now)

    def send_to_serving(self, data: bytes) -> None:
        """Send a datagram to the nodes of this cell and to the active nodes."""
        self.members.update()
        active = (info.nodes for info in self.members.active.values())
        for address in {*self.members.peers.values(), *active}:
            self.datagrams.send(address, data)

    def _heartbeat(self) -> None:
        if self.loop.now() - self.full_sent_s >= HEARTBEAT_INTERVAL_S:
            self.broadcast()
        self.loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _send_aggregates(self) -> None:
        """As leader, send this cell's aggregate to other cells and relay theirs to this cell."""
        members, own = self.members, self.registry.own
        if not members.divided or members.leader() != own.node:
            self.loop.call_later(LEADER_CHECK_INTERVAL_S, self._send_aggregates)
            return
        self.loop.call_later(AGGREGATE_INTERVAL_S, self._send_aggregates)
        peer_reports = members.live_peer_reports()
        aggregate = CellLoadReport(
            cell=members.cell,
            leader=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=sum_counts([self._own_counts(), *(report.uses for report in peer_reports)]),
            waiting_nodes=sum(1 for report in peer_reports if report.waiting_items)
            + bool(self.loads.waiting_items),
            members=(
                () if members.on_standby else tuple(info.node for info in members.serving_nodes())
            ),
        )
        now, standby = self.loop.now(), members.on_standby
        cells = self.loads.fleet.live_cells(now)
        loaded = [report for report in cells if report.uses]
        rows = [aggregate, *([] if standby else loaded)]
        interval_s = 0.0 if standby else STANDBY_AGGREGATE_INTERVAL_S
        if self.aggregate_sent.is_due(rows, now, interval_s):
            data = encode_cell_reports(rows)
            for address in members.remote_peers:
                self.datagrams.send(address, data)
        relayed, self.relayed_load = standby or loaded or self.relayed_load, bool(loaded)
        interval_s = STANDBY_RELAY_INTERVAL_S if standby else 0.0
        if relayed and self.relay_sent.is_due(cells, now, interval_s):
            data = encode_cell_reports(cells)
            for address in members.peers.values():
                self.datagrams.send(address, data)

    def _schedule_broadcast(self) -> None:
        delay_s = self._debounce_s()
        due_s = self.loop.now() + delay_s
        if due_s < self.broadcast_at_s:
            self.broadcast_at_s = due_s
            self.loop.call_later(delay_s, self._broadcast_changes)

    def _debounce_s(self) -> float:
        if self.sent_limited != self.loads.limits.sent():
            return LIMITED_DEBOUNCE_S
        if self.members.on_standby:
            return STANDBY_DEBOUNCE_S
        return ACTIVE_DEBOUNCE_S if self.members.divided else DEBOUNCE_S

    def _broadcast_changes(self) -> None:
        self.broadcast_at_s = math.inf
        if self.window.uses != self.loads.own or self.sent_limited != self.loads.limits.sent():
            self.broadcast()

    def _own_counts(self) -> dict[EndpointId, RequestCounts]:
        return {name: RequestCounts(use.online, use.batch) for name, use in self.loads.own.items()}

    def _report_loads(self) -> None:
        for callback in self.on_load_report:
            callback()

    def _receive(self, data: bytes) -> None:
        try:
            if holds_changes(data):
                now = self.loop.now()
                changes = decode_changes(data, now)
                if self.room.takes_changes(changes) and self.loads.fleet.apply_changes(changes):
                    self.loads.speeds.apply_news(changes.speeds, now)
                    self._report_loads()
                return
            received = decode(data, self.loop.now())
        except InvalidLoadReport as error:
            log.debug("load report not decoded", extra={"reason": str(error)})
            return
        applied = [
            self.loads.fleet.apply_cell(aggregate)
            for aggregate in received.cells
            if aggregate.cell != self.members.cell and self.room.takes_cell(aggregate)
        ]
        if received.node is not None and self.room.takes(received.node[0]):
            report, info = received.node
            former = self.loads.fleet.nodes.get(report.node)
            if report.store_failing and not (former and former.store_failing):
                self.registry.store.contact.record_failure(self.loop.now())
            kept = replace(report, limits=(), speeds=(), changed={})
            applied.append(self.loads.fleet.apply_node(kept))
            if applied[-1]:
                now, limits = self.loop.now(), self.loads.limits
                limits.apply_reports(report.node, report.boot, report.limits, now)
                self.loads.speeds.apply_news(report.speeds, now)
            if applied[-1] and info is not None:
                self.members.reported_nodes[info.node] = info
                for on_changes in self.on_changes_elsewhere:
                    on_changes(report.changed)
        if any(applied):
            self._report_loads()
        if received.crashes:
            for on_crashes in self.on_crashes:
                on_crashes(received.crashes)
        for group in received.quarantined:
            for on_quarantined in self.on_quarantined:
                on_quarantined(group)
        if received.served or received.served_before:
            for on_served in self.on_served:
                on_served(received.served, received.served_before)
