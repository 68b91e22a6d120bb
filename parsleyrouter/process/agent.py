"""The agent of a VM: fleet membership and active settings."""

import dataclasses
import logging
import time
from collections.abc import Callable, Iterable

from parsleyrouter.connection.key_value import KeyValue
from parsleyrouter.connection.peer import PeerFailure, PeerServer
from parsleyrouter.ids import Address, DomainName, NodeId, Revision
from parsleyrouter.process.agent_methods import AGENT_METHODS
from parsleyrouter.process.agent_metrics import AgentMetrics
from parsleyrouter.process.agent_options import AgentOptions
from parsleyrouter.process.cpu_meter import CpuMeter
from parsleyrouter.process.fleet_codec import (
    from_record,
    from_watermark,
    to_member,
    to_record,
    to_watermark,
)
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.prober import Prober
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_feed import SettingsFeed, is_relay
from parsleyrouter.process.vm_list import VmList
from parsleyrouter.thrift_gen.fleet.ttypes import (
    Belief,
    FetchSettings,
    Follow,
    FollowAnswer,
    MemberList,
    NodeStatus,
    SettingsUpdate,
    StatusQuery,
)
from parsleyrouter.version.replica import SettingsReplica, StoredRecord, Watermark
from parsleyrouter.version.snapshot import SettingsSnapshot
from parsleyrouter.version.snapshot_builder import SnapshotBuilder

__all__ = ["Agent"]

CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0
REGISTRATION_TTL_S = 3.0

log = logging.getLogger(__name__)


class Agent:
    """Track membership and settings for the processes of one VM; implements ``FleetView``.

    Construct one in the entry process and ``start`` it. The VM's other processes connect to
    ``address`` with a ``Follower``. ``set_service`` announces a service of this process.
    """

    def __init__(
        self,
        runtime: Runtime,
        options: AgentOptions,
        key_value: KeyValue,
        *,
        node: NodeId,
        domain: DomainName,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.options = options
        self.server = PeerServer(
            self.loop, Address(options.agent), AGENT_METHODS, self, channel=f"agent-{node}"
        ).register(runtime)
        started_ms = time.time_ns() // 1_000_000
        addresses = {Service.AGENT: self.address}
        self.replica = SettingsReplica(sequence=started_ms)
        self.prober = Prober(
            runtime,
            self.address,
            NodeInfo(node, domain, addresses, incarnation=started_ms),
            watermark=lambda: self.replica.watermark(self.loop.now()),
            on_watermark=self._receive_watermark,
            on_change=self._notify,
        )
        self.vm_list = VmList(runtime, Address(options.vm_list), self._set_contacts)
        self.registered: dict[Service, tuple[Address, float]] = {}
        self.own_services: dict[Service, Address] = dict(addresses)
        self.builder = SnapshotBuilder()
        self.snapshot = SettingsSnapshot()
        self.feed = SettingsFeed(self.loop, key_value, node, self.replica, self._settings_changed)
        self.meter = CpuMeter(self.loop.now(), time.process_time())
        self.fetching = False
        self.fetched_bytes = 0
        self.served_bytes = 0
        runtime.metrics.register(AgentMetrics(self))
        self.next_change: Promise[None] = self.loop.promise()
        self.callbacks: list[Callable[[], None]] = []
        self.version = started_ms

    @property
    def address(self) -> Address:
        """Return the address at which other processes reach this agent."""
        return self.server.bound_address()

    @property
    def me(self) -> NodeInfo:
        """Return this node."""
        return self.prober.membership.me

    def start(self) -> None:
        """Start membership and settings synchronization."""
        self._set_contacts(())
        self.prober.start()
        self.vm_list.start()
        self._check()

    def self_node(self) -> NodeInfo:
        """Return this node."""
        return self.me

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes considered up, ordered by id."""
        return tuple(sorted([self.me, *self.prober.up()], key=lambda info: info.node))

    def settings(self) -> SettingsSnapshot:
        """Return the active settings of this node."""
        return self.snapshot

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of nodes or settings."""
        self.callbacks.append(callback)

    def set_service(self, service: Service, address: Address) -> None:
        """Announce the address of a service of this process."""
        self.own_services[service] = address
        self._refresh_self()

    def leave(self) -> None:
        """Announce that this node accepts no new work."""
        self.prober.describe(dataclasses.replace(self.me, state=NodeState.LEAVING))

    def end(self) -> None:
        """Announce that this node shuts down now, and stop the settings feed."""
        self.prober.end()
        self.feed.set_active(False)

    def apply_accepted(self, record: StoredRecord) -> None:
        """Apply a change that this node has accepted."""
        self._settings_changed(self.replica.merge([record]))

    def _set_contacts(self, listed_addresses: Iterable[Address]) -> None:
        wanted = {*listed_addresses, *map(Address, self.options.seed_list())} - {self.address}
        self.prober.membership.contacts = tuple(sorted(wanted))

    def _check(self) -> None:
        if self.prober.ended:
            return
        self.loop.call_later(CHECK_INTERVAL_S, self._check)
        self._drop_expired()
        self.prober.membership.set_load(self.meter.read(self.loop.now(), time.process_time()))
        self.feed.set_active(is_relay(self.me.node, (info.node for info in self.prober.up())))
        self._settings_changed(False)

    def _receive_watermark(self, address: Address, watermark: Watermark, sent_s: float) -> None:
        if self.replica.receive_watermark(watermark, sent_s) and not self.fetching:
            self.fetching = True
            self.loop.spawn(self._fetch_settings(address), "fetch settings")

    async def _fetch_settings(self, address: Address) -> None:
        try:
            since = self.replica.complete
            requested_s = self.loop.now()
            update = await self.runtime.peers.call(
                address,
                "fleet.settings",
                FetchSettings(since=since),
                SettingsUpdate,
                CALL_TIMEOUT_S,
            )
        finally:
            self.fetching = False
        if isinstance(update, PeerFailure):
            return
        self.fetched_bytes += sum(len(record.data) for record in update.records)
        records = map(from_record, update.records)
        watermark = from_watermark(update.mark)
        self._settings_changed(self.replica.merge_update(records, since, watermark, requested_s))

    def follow(self, request: Follow) -> FollowAnswer:
        """Register a process of this VM and return what is newer than its copy."""
        service = Service(request.role)
        if request.address:
            until_s = self.loop.now() + REGISTRATION_TTL_S
            self.registered[service] = (Address(request.address), until_s)
        else:
            self.registered.pop(service, None)
        self._refresh_self()
        answer = FollowAnswer(view=self.version, proved_current=self.snapshot.proved_current)
        if request.view != self.version:
            beliefs = [Belief(member=to_member(info)) for info in self.nodes()]
            answer.members = MemberList(node=self.me.node, beliefs=beliefs)
        if request.settings != self.replica.sequence:
            records = self.replica.records_merged_after(request.settings)
            answer.settings = self._settings_update(records)
        return answer

    def settings_since(self, revision: Revision) -> SettingsUpdate:
        """Return the records newer than a revision."""
        records = self.replica.records_after(revision)
        self.served_bytes += sum(len(record.data) for record in records)
        return self._settings_update(records)

    def sent_bytes(self) -> int:
        """Return the bytes sent to other agents, TCP headers excluded."""
        return self.prober.sent_bytes() + self.served_bytes

    def received_bytes(self) -> int:
        """Return the bytes received from other agents, TCP headers excluded."""
        return self.prober.received_bytes() + self.fetched_bytes

    def _settings_update(self, records: Iterable[StoredRecord]) -> SettingsUpdate:
        watermark = to_watermark(self.replica.watermark(self.loop.now()))
        return SettingsUpdate(
            records=list(map(to_record, records)),
            mark=watermark,
            sequence=self.replica.sequence,
        )

    def status(self, revision: Revision) -> NodeStatus:
        """Return the settings status of this node, and whether a revision is active here."""
        watermark = to_watermark(self.replica.watermark(self.loop.now()))
        return NodeStatus(
            node=self.me.node,
            head=watermark.head,
            complete=watermark.complete,
            proof_age_ms=watermark.proof_age_ms,
            proved_current=self.snapshot.proved_current,
            nodes=len(self.nodes()),
            in_force=self.replica.is_active(revision),
        )

    async def query_all(self, revision: Revision) -> dict[NodeId, NodeStatus | None]:
        """Ask every node whether a revision is active; ``None`` stands for no answer."""
        others = [info for info in self.nodes() if info.node != self.me.node]
        queries = [self.loop.spawn(self._query(info, revision)) for info in others]
        answers = dict(
            zip((info.node for info in others), await self.loop.gather(queries), strict=True)
        )
        return {self.me.node: self.status(revision), **answers}

    async def _query(self, info: NodeInfo, revision: Revision) -> NodeStatus | None:
        address = info.addresses[Service.AGENT]
        answer = await self.runtime.peers.call(
            address, "fleet.status", StatusQuery(revision=revision), NodeStatus, CALL_TIMEOUT_S
        )
        return None if isinstance(answer, PeerFailure) else answer

    def _drop_expired(self) -> None:
        now = self.loop.now()
        expired = [service for service, (_, until) in self.registered.items() if until < now]
        for service in expired:
            del self.registered[service]
        if expired:
            self._refresh_self()

    def _refresh_self(self) -> None:
        addresses = {service: address for service, (address, _) in self.registered.items()}
        addresses |= self.own_services
        if addresses != self.me.addresses:
            self.prober.describe(dataclasses.replace(self.me, addresses=addresses))

    def _settings_changed(self, changed: bool) -> None:
        if changed:
            self.prober.push()
        proved = self.replica.proved_current(self.loop.now())
        if changed or self.snapshot.proved_current != proved:
            self.snapshot = self.builder.build(self.replica.records.values(), proved)
            self._notify()

    def _notify(self) -> None:
        self.version += 1
        next_change, self.next_change = self.next_change, self.loop.promise()
        next_change.resolve(None)
        for callback in self.callbacks:
            callback()
