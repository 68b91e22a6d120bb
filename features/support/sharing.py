"""Small in-process fleet: schedulers, grant clients and views that the test sets."""

from dataclasses import dataclass, field
from random import Random

from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import Address, AttemptId, DomainName, KindName, ModelName, NodeId, TeamName
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.grant_port import GrantRequest
from parsleyrouter.process.grants import GrantClient, GrantOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.scheduler import Scheduler
from parsleyrouter.version.schema import EndpointSettings, FleetSettings, KindClass
from parsleyrouter.version.snapshot import SettingsSnapshot

LOCAL = Address("127.0.0.1:0")


@dataclass
class SmallFleet:
    """Schedulers and clients, each of which is a node of its own."""

    runtime: Runtime
    endpoints: dict[str, EndpointSettings]
    schedulers: list[Scheduler] = field(default_factory=list)
    clients: list[GrantClient] = field(default_factory=list)
    views: list[StaticFleetView] = field(default_factory=list)
    infos: list[NodeInfo] = field(default_factory=list)
    attempt_count: int = 0

    def snapshot(self) -> SettingsSnapshot:
        """Return the current settings."""
        return SettingsSnapshot(fleet=FleetSettings(endpoints=dict(self.endpoints)))

    def add_scheduler(self, node: str) -> Scheduler:
        """Start a scheduler, which other nodes learn of by ``publish``."""
        view = StaticFleetView(
            NodeInfo(NodeId(node), DomainName("d1")), snapshot=SettingsSnapshot()
        )
        scheduler = Scheduler(self.runtime, LOCAL, view)
        self.schedulers.append(scheduler)
        self.views.append(view)
        return scheduler

    def add_client(self, node: str, options: GrantOptions | None = None) -> GrantClient:
        """Start a client with a peer server of its own."""
        view = StaticFleetView(
            NodeInfo(NodeId(node), DomainName("d1")), snapshot=SettingsSnapshot()
        )
        methods = PeerMethods()
        server = PeerServer(self.runtime.loop, LOCAL, methods, None, f"client-{node}")
        server.register(self.runtime)
        client = GrantClient(
            self.runtime, view, server.bound_address, options, random=Random(len(self.clients))
        )
        client.add_grant_methods(methods)
        self.clients.append(client)
        self.views.append(view)
        return client

    def publish(self, without: tuple[str, ...] = ()) -> None:
        """Set the nodes in all views, as membership does."""
        infos = {}
        for part in (*self.schedulers, *self.clients):
            node = part.view.self_node()
            addresses = dict(node.addresses)
            if isinstance(part, Scheduler):
                addresses[Service.SCHEDULER] = part.bound_address()
            else:
                addresses[Service.AGENT] = part.reply_to()
            infos[node.node] = NodeInfo(node.node, node.domain, addresses)
        self.infos = [info for name, info in infos.items() if name not in without]
        for view in self.views:
            me = view.me.node
            view.me = infos[me]
            view.set(tuple(i for i in self.infos if i.node != me), self.snapshot())

    def request(self, *, batch: bool = False, deadline_in_s: float = 5.0) -> GrantRequest:
        """Return a request for a slot of the model ``m``."""
        self.attempt_count += 1
        return GrantRequest(
            attempt=AttemptId(f"attempt-{self.attempt_count}"),
            team=TeamName("team"),
            kind=KindName("batch" if batch else "online"),
            kind_class=KindClass.BATCH if batch else KindClass.ONLINE,
            weight=1.0,
            deadline_in_s=deadline_in_s,
            model=ModelName("m"),
        )


def engine(slots: int, address: str = "127.0.0.1:9", **fields: object) -> EndpointSettings:
    """Return an endpoint that serves the model ``m``."""
    return EndpointSettings(address=address, models=["m"], slots=slots, **fields)
