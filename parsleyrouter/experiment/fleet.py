"""In-process fleet of an experiment: real schedulers and grant clients over delayed links."""

import itertools
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

from parsleyrouter.connection.peer import PeerClient, PeerFailure, PeerMethods, PeerServer
from parsleyrouter.experiment.endpoints import BenchEngine, BenchService
from parsleyrouter.experiment.scenario import Scenario
from parsleyrouter.ids import Address, DomainName, NodeId, TeamName
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.grants import GrantClient, GrantOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.scheduler import Scheduler, SchedulerOptions
from parsleyrouter.process.sharing_policies import PROFILES, SharingProfile
from parsleyrouter.standins.engine_batch import EngineSpec
from parsleyrouter.version.schema import (
    EndpointSettings,
    EndpointType,
    FleetSettings,
    PolicyProfile,
    PolicySettings,
    TeamSettings,
)
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = ["BenchFleet"]

ANSWER_TIMEOUT_S = 1.0
"""Long enough that a busy machine is not mistaken for an unresponsive scheduler."""

_fleets = itertools.count(1)
S = TypeVar("S")


class _DelayedPeers:
    """Peer client with a one-way delay of ``link_s``."""

    def __init__(self, peers: PeerClient, link_s: float) -> None:
        self.peers = peers
        self.loop = peers.loop
        self.link_s = link_s

    async def call(
        self, address: Address, method: str, request: Any, reply_type: type[S], timeout_s: float
    ) -> S | PeerFailure:
        """Send the call after the delay and return the answer after another."""
        await self.loop.sleep(self.link_s)
        answer = await self.peers.call(address, method, request, reply_type, timeout_s)
        await self.loop.sleep(self.link_s)
        return answer

    def send_oneway(self, address: Address, method: str, request: Any) -> None:
        """Send the message after the delay."""
        self.loop.call_later(self.link_s, lambda: self.peers.send_oneway(address, method, request))


@dataclass
class BenchFleet:
    """Schedulers, clients and endpoints of one arm of an experiment."""

    runtime: Runtime
    scenario: Scenario
    sharing: str
    profile: SharingProfile | None = None
    schedulers: list[Scheduler] = field(default_factory=list)
    clients: list[GrantClient] = field(default_factory=list)
    engines: dict[str, BenchEngine] = field(default_factory=dict)
    services: dict[str, BenchService] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.number = next(_fleets)
        self._add_endpoints()
        snapshot = self._snapshot()
        views = []
        profiles = {PolicyProfile(self.scenario.profile): self.profile} if self.profile else {}
        options = SchedulerOptions(profiles=PROFILES | profiles)
        for index, domain in enumerate(self.scenario.domains):
            info = NodeInfo(NodeId(f"n{index}"), DomainName(domain))
            view = StaticFleetView(info, snapshot=SettingsSnapshot())
            views.append(view)
            scheduler = Scheduler(self.runtime, Address("127.0.0.1:0"), view, options)
            client = self._client(view, index)
            delayed = _DelayedPeers(self.runtime.peers, self.scenario.link_s)
            for part in (scheduler, client, client.held):
                part.peers = delayed  # type: ignore[assignment]
            self.schedulers.append(scheduler)
            self.clients.append(client)
        self.runtime.loop.call_later(0.05, lambda: self._publish(views, snapshot))

    def _client(self, view: StaticFleetView, index: int) -> GrantClient:
        methods = PeerMethods()
        channel = f"bench-{self.number}-{index}"
        server = PeerServer(self.runtime.loop, Address("127.0.0.1:0"), methods, None, channel)
        server.register(self.runtime)
        options = GrantOptions(answer_s=ANSWER_TIMEOUT_S)
        client = GrantClient(self.runtime, view, server.bound_address, options, Random(index))
        client.add_grant_methods(methods)
        return client

    def _add_endpoints(self) -> None:
        pool = self.scenario.engines
        model = EngineSpec(
            models=(pool.model,),
            slots=pool.slots,
            step_s=pool.step_s,
            step_per_running_s=pool.step_per_running_s,
            prompt_tokens_per_s=pool.prompt_tokens_per_s,
        )
        for number in range(pool.count):
            name = f"engine-{number}"
            self.engines[name] = BenchEngine(self.runtime.loop, name, model)
        services = self.scenario.services
        for number in range(services.count):
            service = BenchService(self.runtime.loop, services.slots, services.time_s)
            self.services[f"service-{number}"] = service

    def _snapshot(self) -> SettingsSnapshot:
        endpoints = {}
        domains = itertools.cycle(self.scenario.domains)
        for name in self.engines:
            endpoints[name] = EndpointSettings(
                address="127.0.0.1:1",
                models=[self.scenario.engines.model],
                slots=self.scenario.engines.slots,
                domain=next(domains),
            )
        for name in self.services:
            endpoints[name] = EndpointSettings(
                address="127.0.0.1:1",
                type=EndpointType.SERVICE,
                application=self.scenario.services.application,
                slots=self.scenario.services.slots,
                domain=next(domains),
            )
        policy = PolicySettings(profile=PolicyProfile(self.scenario.profile), sharing=self.sharing)
        teams = {
            TeamName(team): TeamSettings(weight=weight)
            for team, weight in self.scenario.batch.teams.items()
        }
        fleet = FleetSettings(endpoints=endpoints, policy=policy)
        return SettingsSnapshot(fleet=fleet, teams=teams)

    def _publish(self, views: list[StaticFleetView], snapshot: SettingsSnapshot) -> None:
        infos = []
        for view, scheduler, client in zip(views, self.schedulers, self.clients, strict=True):
            addresses = {
                Service.SCHEDULER: scheduler.bound_address(),
                Service.AGENT: client.reply_to(),
            }
            infos.append(NodeInfo(view.me.node, view.me.domain, addresses))
        for view, info in zip(views, infos, strict=True):
            view.me = info
            view.set(tuple(other for other in infos if other is not info), snapshot)
