"""Stand-in for an endpoint that crashes when it begins to answer certain prompts."""

import os
import socket
import struct
from dataclasses import dataclass, field
from typing import Any

from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import Arrival, Behaviour, EndpointStandIn, stream
from parsleyrouter.connection.forward_server import CallerExchange

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class Crash:
    """One crash and the part or body that caused it; empty for another reason."""

    at_s: float
    endpoint: str
    part: str


@dataclass
class CrashPlan:
    """Parts that crash any endpoint of a fleet, and how endpoints return."""

    fleet: FrontFleet
    deadly: set[str] = field(default_factory=set)
    deadly_bodies: set[bytes] = field(default_factory=set)
    """Bodies of online requests that crash any endpoint."""
    down_s: float = 0.5
    crashes: list[Crash] = field(default_factory=list)
    starts: int = 1
    down: set[int] = field(default_factory=set)

    def crashes_by(self, part: str) -> list[Crash]:
        return [one for one in self.crashes if one.part == part]

    def arrivals_with(self, part: str) -> list[Arrival]:
        """Return the requests with a part that reached endpoints."""
        endpoints = {id(one): one for one in self.fleet.endpoints.values()}.values()
        found = [one for endpoint in endpoints for one in endpoint.arrivals]
        return sorted((one for one in found if part in prompt_parts(one)), key=lambda one: one.at_s)

    def add_endpoint(self, name: str, *, renamed: bool) -> EndpointStandIn:
        """Register an endpoint; ``renamed`` ones return from a crash under a new name."""
        endpoint = self.fleet.register(name)
        endpoint.gap_s = 0.02
        endpoint.default_behaviour = crash_on_deadly_parts(self, renamed=renamed)
        return endpoint

    def busy_with(self, part: str) -> list[EndpointStandIn]:
        """Return the endpoints that run a request with a part among others, busiest last."""
        busy = []
        for endpoint in self.fleet.endpoints.values():
            running = [one for one in endpoint.arrivals if not one.ended_s]
            held = [part in prompt_parts(one) for one in running]
            if id(endpoint) not in self.down and any(held) and not all(held):
                busy.append((len(held), endpoint.name, endpoint))
        return [endpoint for _, _, endpoint in sorted(busy, key=lambda row: row[:2])]

    async def crash(self, endpoint: EndpointStandIn, part: str = "", *, renamed: bool) -> None:
        """Reset all connections, accept none for a while, then return and register again."""
        if id(endpoint) in self.down:
            return
        self.down.add(id(endpoint))
        self.crashes.append(Crash(self.fleet.loop.now(), endpoint.name, part))
        reserved = crash_server(endpoint.server.server)
        await self.fleet.loop.sleep(self.down_s)
        restart_server(endpoint.server.server, reserved)
        self.down.discard(id(endpoint))
        self.starts += 1
        if renamed:
            self.fleet.store.remove(f"servers/{endpoint.name}")
            del self.fleet.endpoints[endpoint.name]
            endpoint.name = f"{endpoint.name.partition('-')[0]}-{self.starts}"
            self.fleet.endpoints[endpoint.name] = endpoint
        self.fleet.announce(endpoint.name, born=self.starts)


def prompt_parts(arrival: Arrival) -> list[str]:
    """Return the ids of a request's prompt parts in order."""
    header = arrival.header("X-Prompt-Prefix") or ""
    return [entry.partition(":")[0] for entry in header.split(",") if entry]


def crash_on_deadly_parts(plan: CrashPlan, *, renamed: bool) -> Behaviour:
    """Stream; crash after the first event of a request with a deadly part or body."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        found = plan.deadly.intersection(prompt_parts(arrival)[:-1])
        if arrival.body in plan.deadly_bodies:
            found.add(arrival.body.decode())
        if not found:
            await stream(endpoint, exchange, arrival)
            return
        after = int(arrival.header("Last-Event-Id") or 0)
        await stream(endpoint, exchange, arrival, after + 1)
        if not exchange.disconnected:
            task = plan.crash(endpoint, found.pop(), renamed=renamed)
            plan.fleet.loop.spawn(task, "crash")

    return behave


def crash_server(sockets: Any) -> socket.socket:
    """Stop listening and reset all connections of a TCP server.

    The returned socket refuses connections and keeps others from using the port meanwhile.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    address = sockets._sock.getsockname()
    sockets._poller.discard(sockets._sock)
    sockets._sock.close()
    reserved.bind(address)
    # An accept that is already queued finds no connection here.
    sockets._sock = socket.create_server(("127.0.0.1", 0))
    sockets._sock.setblocking(False)
    for sock in list(sockets._clients):
        sockets._poller.discard(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # A shutdown, as the library does on close, would end the connection in an orderly way.
        os.close(sock.detach())
        sockets._close(sock)
    return reserved


def restart_server(sockets: Any, reserved: socket.socket) -> None:
    """Listen again at the same address."""
    sockets._sock.close()
    sockets._bind = reserved.getsockname()
    sockets._sock = sockets._create_socket()
    reserved.close()
    sockets._poller.addReader(sockets, sockets._sock)
