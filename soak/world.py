"""Processes, links, store and endpoints of one soak."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any

from features.support.crashing_endpoint import crash_server, restart_server
from features.support.front_fleet import routes
from features.support.platform_store import PlatformStoreStandIn
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.fault_proxy import FaultProxy
from soak.customers import OPEN_ROUTE, Customers
from soak.endpoints import BRIEF_ROUTE, SoakEndpoint
from soak.engines import EngineProcess, unix_ms
from soak.journal import (
    Absence,
    DeadlyRequest,
    DeadlySpan,
    EndpointCrash,
    Journal,
    RequestContent,
)
from soak.nodes import Node

__all__ = [
    "CRASH_DOWN_S",
    "FIRST_PARTS",
    "REQUEST_DOWN_S",
    "SLOTS",
    "World",
    "moved_service",
    "unix_ms",
]

START_TIMEOUT_S = 15.0
"""Startup timeout of the processes, long enough for many soaks on one machine."""

START_EACH_S = 2.0
"""Further time for each process, which all start at once."""

DOMAINS = ("north", "south")

FIRST_PARTS = ("a1", "a2", "a3")
"""First parts of the prompts of streams."""

SLOTS = 4
"""Slots of an endpoint, as registered."""

RETENTION_S = 600
"""Time in which items must complete, longer than a play: none may be given up for its age."""

CRASH_DOWN_S = 1.0
"""Time that an endpoint is away that a part has crashed."""

REQUEST_DOWN_S = 3.0
"""Time that an endpoint is away that a request has crashed."""


def moved_service(version: int) -> str:
    """Return the service of the route that moves with each version."""
    return ("cards", "engines")[version % 2]


class World:
    """All components of one soak, on which faults act."""

    def __init__(self, runtime: Runtime, seed: int, folder: Path) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.random = Random(seed)
        """Used for faults only, so a seed gives the same faults whatever clients do."""
        self.client_random = Random(f"{seed} clients")
        self.folder = folder
        self.journal = Journal()
        self.store = PlatformStoreStandIn(runtime)
        self.nodes: list[Node] = []
        self.caller_links: dict[str, FaultProxy] = {}
        self.store_links: dict[str, FaultProxy] = {}
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.endpoint_links: dict[str, FaultProxy] = {}
        self.endpoint_addresses: dict[str, Address] = {}
        self.engines: list[EngineProcess] = []
        """The engines that run as processes of their own."""
        self.version = 0
        self.version_s = 0.0
        self.version_times_s: list[float] = []
        """When each version was published."""
        self.numbers = iter(range(1, 1_000_000))
        self.customers: Customers | None = None
        """The customers that the configuration names, if any."""
        self.speeds = False
        """Whether engines report how slow they are."""

    async def start(self, nodes: int, engines: int, cards: int, engine_processes: int = 0) -> None:
        """Start everything and wait until all nodes serve."""
        self.change_routes()
        self.journal.item_slots = SLOTS * (engines + engine_processes)
        self.journal.endpoints = {"engines": engines + engine_processes, "cards": cards}
        for _ in range(engine_processes):
            self.engines.append(EngineProcess(self, f"engine-{next(self.numbers)}"))
        await self.loop.gather([self.loop.spawn(one.start()) for one in self.engines])
        for _ in range(engines):
            await self.add_endpoint("engines")
        for _ in range(cards):
            await self.add_endpoint("cards")
        for number in range(nodes):
            name = f"front-{number}"
            link = await self._link(self.store.address)
            self.store_links[name] = link
            domain = DOMAINS[number % len(DOMAINS)]
            address = link.bound_address()
            node = Node(self.loop, name, domain, address, self.folder, self.journal)
            node.start()
            self.nodes.append(node)
        for node in self.nodes:
            self.caller_links[node.name] = await self._link(node.address)
        until_s = self.loop.now() + START_TIMEOUT_S + START_EACH_S * nodes
        while not all('"started"' in node.log.read_text() for node in self.nodes):
            assert self.loop.now() < until_s, "the processes did not start in time"
            await self.loop.sleep(0.05)
        await self.loop.sleep(1.0)

    async def _link(self, upstream: str) -> FaultProxy:
        proxy = FaultProxy(self.runtime, upstream).register(self.runtime)
        await proxy.address
        return proxy

    async def add_endpoint(self, service: str) -> SoakEndpoint:
        """Start an endpoint and register it under the address of its link."""
        name = f"{service}-{next(self.numbers)}"
        endpoint = SoakEndpoint(self.runtime, name, service, self.journal, self.client_random)
        endpoint.start()
        endpoint.slowness = 1.0 if self.speeds and service == "engines" else None
        endpoint.crash_on = lambda part: self._crash_on(name, part)
        endpoint.crash_on_request = lambda content: self._crash_on_request(name, content)
        self.endpoints[name] = endpoint
        await self.loop.sleep(0)
        self.endpoint_links[name] = await self._link(endpoint.address)
        self.endpoint_addresses[name] = self.endpoint_links[name].bound_address()
        self.announce(name)
        return endpoint

    async def is_listening(self, address: Address) -> bool:
        """Return whether a process accepts connections at an address."""
        try:
            stream = await self.runtime.connector.open(address)
        except ConnectFailed:
            return False
        stream.close()
        return True

    def deadly_parts(self) -> dict[str, DeadlySpan]:
        """Return the parts that crash endpoints at present."""
        now = self.loop.now()
        return {part: one for part, one in self.journal.deadly.items() if one.until_s > now}

    def begin_deadly(self, part: str, first_part: str) -> None:
        """Let a part crash all endpoints from now on."""
        self.journal.deadly[part] = DeadlySpan(part, first_part, self.loop.now())
        self._tell_engines()

    def end_deadly(self, part: str) -> None:
        """Let a part crash no endpoint any more."""
        self.journal.deadly[part].until_s = self.loop.now()
        self._tell_engines()

    def deadly_requests(self) -> dict[str, DeadlyRequest]:
        """Return the requests that crash endpoints at present, by their content."""
        now = self.loop.now()
        return {key: one for key, one in self.journal.deadly_requests.items() if one.until_s > now}

    def begin_deadly_request(self, content: RequestContent) -> None:
        """Let a request crash all endpoints from now on."""
        self.journal.deadly_requests[content.key] = DeadlyRequest(content, self.loop.now())
        self._tell_engines()

    def end_deadly_request(self, content: RequestContent) -> None:
        """Let a request crash no endpoint any more."""
        self.journal.deadly_requests[content.key].until_s = self.loop.now()
        self._tell_engines()

    def _tell_engines(self) -> None:
        deadly, requests = tuple(self.deadly_parts()), tuple(self.deadly_requests())
        for engine in self.engines:
            engine.set_mode(deadly=deadly, deadly_requests=requests)

    @contextmanager
    def absent(self, name: str) -> Iterator[None]:
        """Note a time in which an endpoint takes few requests or none."""
        absence = Absence(name, self.loop.now())
        if self.endpoints[name].service == "engines":
            self.journal.absences.append(absence)
        yield
        absence.until_s = self.loop.now()

    def _crash_on(self, name: str, part: str) -> bool:
        """Crash an endpoint if a part is deadly; return whether it is."""
        if part not in self.deadly_parts():
            return False
        self._begin_crash(EndpointCrash(self.loop.now(), name, part), CRASH_DOWN_S)
        return True

    def _crash_on_request(self, name: str, content: str) -> bool:
        """Crash an endpoint if a request is deadly; return whether it is."""
        if content not in self.deadly_requests():
            return False
        crash = EndpointCrash(self.loop.now(), name, request=content)
        self._begin_crash(crash, REQUEST_DOWN_S)
        return True

    def _begin_crash(self, crash: EndpointCrash, down_s: float) -> None:
        if not self.endpoints[crash.endpoint].down:
            self.endpoints[crash.endpoint].down = True
            self.journal.crashes.append(crash)
            self.loop.spawn(self._crash(crash.endpoint, down_s), "endpoint crash")

    async def _crash(self, name: str, down_s: float) -> None:
        listener = self.endpoint_links[name].listener
        reserved = crash_server(listener)
        with self.absent(name):
            await self.loop.sleep(down_s)
        restart_server(listener, reserved)
        self.endpoints[name].down = False
        if f"servers/{name}" in self.store.rows:
            self.announce(name, born=unix_ms())

    def announce(self, name: str, **changes: Any) -> None:
        """Write the registration of an endpoint to the store; ``born`` tells of a new start."""
        self.endpoints[name].born = changes.setdefault("born", self.endpoints[name].born)
        entry = {
            "service": self.endpoints[name].service,
            "address": self.endpoint_addresses[name],
            "zone": DOMAINS[0],
            "slots": SLOTS,
            "state": "ready",
            "sequence": next(self.numbers),
        }
        self.store.put_json(f"servers/{name}", entry | changes)

    def registered(self, service: str) -> list[str]:
        """Return the names of the registered endpoints of a service."""
        return [
            name
            for name, one in self.endpoints.items()
            if one.service == service and f"servers/{name}" in self.store.rows
        ]

    def change_routes(self) -> None:
        """Publish a new version, which moves one route to the other service."""
        self.version += 1
        table = routes(self.version)
        common = {key: table["routes"][0][key] for key in ("host", "timeoutMs", "gapAimMs")}
        service = moved_service(self.version)
        moved = {"name": "moved", "prefix": "/moved/", "kind": "safe", "maxAttempts": 3}
        bulk = next(route for route in table["routes"] if route["kind"] == "batch")
        bulk["retentionS"] = RETENTION_S
        table["routes"].append(common | moved | {"targetLatencyMs": 300, "service": service})
        if self.speeds:
            table["routes"].append(common | BRIEF_ROUTE)
        if self.customers is not None:
            table["routes"].append(common | OPEN_ROUTE)
            table["tenants"] = self.customers.entries()
        self.store.put_json("op/config", table)
        self.version_s = self.loop.now()
        self.version_times_s.append(self.version_s)

    def credential_headers(self, credential: str | None = None) -> list[tuple[str, str]]:
        """Return the headers of a caller, by default with the key that never changes."""
        return [] if self.customers is None else self.customers.headers(credential)

    def address_of(self, node: Node) -> Address:
        """Return the address of the caller link of a node."""
        return self.caller_links[node.name].bound_address()

    @contextmanager
    def disturbed(self, *nodes: Node, lasts_s: float, in_touch: bool = False) -> Iterator[None]:
        """Mark nodes as disturbed, and unless ``in_touch`` as cut off, while a fault lasts."""
        for node in nodes:
            node.mark_disturbed(self.loop.now() + lasts_s + 0.2, in_touch=in_touch)
        yield
        for node in nodes:
            node.mark_disturbed(self.loop.now() + 0.2, in_touch=in_touch)

    def end(self) -> None:
        """Kill all processes of this soak."""
        for node in self.nodes:
            node.auto_restart = False
            node.kill()
        for engine in self.engines:
            engine.kill()
