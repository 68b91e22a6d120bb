"""The agent of a VM: who is in the fleet and which settings are in force."""

import dataclasses
import logging
import time
from collections.abc import Callable, Iterable

import msgspec

from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.key_value import KeyValue
from parsleyrouter.connection.peer import PeerFailure, PeerMethods, PeerServer
from parsleyrouter.ids import Address, DomainName, NodeId, Revision
from parsleyrouter.process.agent_options import AgentOptions
from parsleyrouter.process.fleet_wire import (
    from_mark,
    from_member,
    from_record,
    to_mark,
    to_member,
    to_record,
)
from parsleyrouter.process.relays import SettingsFeed, is_relay
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.view import NodeInfo, NodeState, Service
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
from parsleyrouter.version.in_force import SnapshotBuilder
from parsleyrouter.version.merge import HeldRecord, Replica
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = ["Agent"]

TICK_S = 1.0
CALL_TIMEOUT_S = 1.0
GONE_AFTER_S = 3.5
REGISTRATION_S = 3.0

log = logging.getLogger(__name__)

agent_methods = PeerMethods()


class Agent:
    """See the fleet for the processes of one VM; it is their ``FleetView``.

    Construct one in the entry process, then ``start`` it; give ``address`` to the VM's other
    processes, which follow it. ``set_service`` adds what this process itself serves.
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
            self.loop, Address(options.agent), agent_methods, self, channel=f"agent-{node}"
        ).register(runtime)
        started_ms = time.time_ns() // 1_000_000
        self.me = NodeInfo(node, domain, incarnation=started_ms)
        self.heard: dict[NodeId, tuple[NodeInfo, float]] = {}
        self.rumoured: set[Address] = set()
        self.registered: dict[Service, tuple[Address, float]] = {}
        self.own_services: dict[Service, Address] = {}
        self.replica = Replica(sequence=started_ms)
        self.builder = SnapshotBuilder()
        self.snapshot = SettingsSnapshot()
        self.feed = SettingsFeed(
            self.loop, key_value, node, self.replica, lambda changed: self._settings_changed()
        )
        self.callbacks: list[Callable[[], None]] = []
        self.version = started_ms

    @property
    def address(self) -> Address:
        """Return the address at which other processes reach this agent."""
        return self.server.bound_address()

    def start(self) -> None:
        """Begin to look for other nodes and for settings."""
        self.own_services[Service.AGENT] = self.address
        self._refresh_self()
        self.loop.spawn(self._run(), "agent")

    def self_node(self) -> NodeInfo:
        """Return this node."""
        return self.me

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes believed up, ordered by id."""
        others = [info for info, _ in self.heard.values()]
        return tuple(sorted([self.me, *others], key=lambda info: info.node))

    def settings(self) -> SettingsSnapshot:
        """Return the settings in force here."""
        return self.snapshot

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after nodes or settings have changed."""
        self.callbacks.append(callback)

    def set_service(self, service: Service, address: Address) -> None:
        """Announce a service of this process."""
        self.own_services[service] = address
        self._refresh_self()

    def set_load(self, load: float) -> None:
        """Tell how busy the node is, from 0 to 1."""
        self.me = dataclasses.replace(self.me, load=load)

    def leave(self) -> None:
        """Announce that this node takes no new work."""
        self.me = dataclasses.replace(
            self.me, state=NodeState.LEAVING, incarnation=self.me.incarnation + 1
        )
        self._changed()

    def take_accepted(self, record: HeldRecord) -> None:
        """Put a change in force that was accepted here."""
        if self.replica.take([record]):
            self._settings_changed()

    async def _run(self) -> None:
        while True:
            now = self.loop.now()
            await self._visit_others()
            gone = [node for node, (_, at) in self.heard.items() if now - at > GONE_AFTER_S]
            for node in gone:
                del self.heard[node]
            self._drop_lapsed()
            self.feed.want(is_relay(self.me.node, self.heard))
            self._settings_changed()
            if gone:
                self._changed()
            await self.loop.sleep(TICK_S)

    async def _visit_others(self) -> None:
        addresses = {Address(seed) for seed in self.options.seed_list()}
        addresses |= set(await self._listed())
        addresses |= self.rumoured
        self.rumoured = set()
        addresses |= {info.addresses[Service.AGENT] for info, _ in self.heard.values()}
        addresses.discard(self.address)
        visits = [self.loop.spawn(self._visit(address)) for address in addresses]
        await self.loop.gather(visits)

    async def _listed(self) -> list[Address]:
        if not self.options.vm_list:
            return []
        reply = await self.runtime.http.request(
            Address(self.options.vm_list), "GET", "/v1/vms", timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, TransportFailure) or reply.status != 200:
            return []
        try:
            return [Address(entry["agent"]) for entry in reply.json()["vms"]]
        except (msgspec.MsgspecError, KeyError, TypeError):
            log.warning("the VM list cannot be read: check --vm-list")
            return []

    async def _visit(self, address: Address) -> None:
        mine = MemberList(node=self.me.node, beliefs=[Belief(member=to_member(self.me))])
        answer = await self.runtime.peers.call(
            address, "fleet.sync", mine, MemberList, CALL_TIMEOUT_S
        )
        if not isinstance(answer, PeerFailure):
            self.hear(answer.node, answer.beliefs)
            await self._fetch_settings(address)

    async def _fetch_settings(self, address: Address) -> None:
        since = self.replica.complete
        update = await self.runtime.peers.call(
            address, "fleet.settings", FetchSettings(since=since), SettingsUpdate, CALL_TIMEOUT_S
        )
        if isinstance(update, PeerFailure):
            return
        records = [from_record(record) for record in update.records]
        self.replica.take_update(records, since, from_mark(update.mark), self.loop.now())
        self._settings_changed()

    def hear(self, sender: str, beliefs: Iterable[Belief]) -> None:
        """Take in what a peer tells of nodes."""
        now = self.loop.now()
        changed = False
        for belief in beliefs:
            info = from_member(belief.member)
            if info.node == self.me.node:
                continue
            if info.node != sender:
                self.rumoured.add(info.addresses[Service.AGENT])
                continue
            known = self.heard.get(info.node)
            self.heard[info.node] = (info, now)
            changed = changed or known is None or known[0] != info
        if changed:
            self._changed()

    def follow(self, request: Follow) -> FollowAnswer:
        """Register a process of this VM and tell it what is newer than it holds."""
        service = Service(request.role)
        if request.address:
            until_s = self.loop.now() + REGISTRATION_S
            self.registered[service] = (Address(request.address), until_s)
            self._refresh_self()
        answer = FollowAnswer(view=self.version, proved_current=self.snapshot.proved_current)
        if request.view != self.version:
            beliefs = [Belief(member=to_member(info)) for info in self.nodes()]
            answer.members = MemberList(node=self.me.node, beliefs=beliefs)
        if request.settings != self.replica.sequence:
            records = self.replica.taken_after(request.settings)
            answer.settings = self._update(records)
        return answer

    def settings_since(self, revision: Revision) -> SettingsUpdate:
        """Return the records that are newer than a revision."""
        return self._update(self.replica.since(revision))

    def _update(self, records: Iterable[HeldRecord]) -> SettingsUpdate:
        mark = to_mark(self.replica.mark(self.loop.now()))
        return SettingsUpdate(
            records=list(map(to_record, records)), mark=mark, sequence=self.replica.sequence
        )

    def status(self, revision: Revision) -> NodeStatus:
        """Return how far this node is and whether a revision is in force here."""
        mark = to_mark(self.replica.mark(self.loop.now()))
        return NodeStatus(
            node=self.me.node,
            head=mark.head,
            complete=mark.complete,
            proof_age_ms=mark.proof_age_ms,
            proved_current=self.snapshot.proved_current,
            nodes=len(self.heard) + 1,
            in_force=self.replica.in_force(revision),
        )

    async def ask_all(self, revision: Revision) -> dict[NodeId, NodeStatus | None]:
        """Ask every node whether a revision is in force; ``None`` for no answer."""
        others = [info for info in self.nodes() if info.node != self.me.node]
        asked = [self.loop.spawn(self._ask(info, revision)) for info in others]
        answers = dict(
            zip((info.node for info in others), await self.loop.gather(asked), strict=True)
        )
        return {self.me.node: self.status(revision), **answers}

    async def _ask(self, info: NodeInfo, revision: Revision) -> NodeStatus | None:
        address = info.addresses[Service.AGENT]
        answer = await self.runtime.peers.call(
            address, "fleet.status", StatusQuery(revision=revision), NodeStatus, CALL_TIMEOUT_S
        )
        return None if isinstance(answer, PeerFailure) else answer

    def _drop_lapsed(self) -> None:
        now = self.loop.now()
        lapsed = [service for service, (_, until) in self.registered.items() if until < now]
        for service in lapsed:
            del self.registered[service]
        if lapsed:
            self._refresh_self()

    def _refresh_self(self) -> None:
        addresses = {service: address for service, (address, _) in self.registered.items()}
        addresses |= self.own_services
        if addresses != self.me.addresses:
            self.me = dataclasses.replace(
                self.me, addresses=addresses, incarnation=self.me.incarnation + 1
            )
            self._changed()

    def _settings_changed(self) -> None:
        proved = self.replica.proved_current(self.loop.now())
        known = self.snapshot
        if known.revision == self.replica.head and known.proved_current == proved:
            return
        self.snapshot = self.builder.build(self.replica.records.values(), proved)
        self._changed()

    def _changed(self) -> None:
        self.version += 1
        for callback in self.callbacks:
            callback()


@agent_methods.add("fleet.sync", MemberList)
async def _sync(agent: Agent, request: MemberList) -> MemberList:
    agent.hear(request.node, request.beliefs)
    beliefs = [Belief(member=to_member(info)) for info in agent.nodes()]
    return MemberList(node=agent.me.node, beliefs=beliefs)


@agent_methods.add("fleet.settings", FetchSettings)
async def _settings(agent: Agent, request: FetchSettings) -> SettingsUpdate:
    return agent.settings_since(Revision(request.since))


@agent_methods.add("fleet.follow", Follow)
async def _follow(agent: Agent, request: Follow) -> FollowAnswer:
    return agent.follow(request)


@agent_methods.add("fleet.status", StatusQuery)
async def _status(agent: Agent, request: StatusQuery) -> NodeStatus:
    return agent.status(Revision(request.revision))
