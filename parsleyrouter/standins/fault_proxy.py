"""TCP proxy on loopback that closes, freezes, delays and half-opens connections."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from circuits import Component, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.connection.stream import ConnectFailed, Stream
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop, Promise
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.stand_in import StandIn, set_faults

__all__ = ["FaultProxy", "ProxyFaults"]

routes = Routes()


@dataclass
class ProxyFaults:
    """Faults set over ``POST /control/faults``.

    ``cut`` closes all connections and each new one; ``freeze`` holds all bytes until it ends;
    ``drop_up`` and ``drop_down`` drop the bytes to and from the server, ``hide_close`` hides the
    close of one side from the other: together a half-open connection. ``delay_s`` is one way.
    """

    cut: bool = False
    freeze: bool = False
    drop_up: bool = False
    drop_down: bool = False
    hide_close: bool = False
    delay_s: float = 0.0


class _Direction:
    """One direction of a connection: forwards bytes in order, after the delay."""

    def __init__(self, loop: Loop, faults: ProxyFaults, drop_fault: str) -> None:
        self.loop = loop
        self.faults = faults
        self.drop_fault = drop_fault
        self.queued: deque[tuple[float, bytes]] = deque()
        self.send: Callable[[bytes], None] | None = None
        self.end: Callable[[], None] = lambda: None

    def put(self, data: bytes) -> None:
        """Queue bytes; empty bytes mark the end of the connection."""
        lost = getattr(self.faults, self.drop_fault) if data else self.faults.hide_close
        if not lost:
            self.queued.append((self.loop.now() + self.faults.delay_s, data))
            self.loop.call_later(self.faults.delay_s, self.flush)

    def flush(self) -> None:
        """Forward the bytes that are due."""
        while self.queued and self.send is not None and not self.faults.freeze:
            due_s, data = self.queued[0]
            if due_s > self.loop.now():
                return
            self.queued.popleft()
            if data:
                self.send(data)
            else:
                self.end()


class _ProxiedConnection:
    """One proxied connection."""

    def __init__(self, proxy: "FaultProxy", sock: Any) -> None:
        self.proxy = proxy
        self.sock = sock
        self.stream: Stream | None = None
        self.up = _Direction(proxy.loop, proxy.faults, "drop_up")
        self.down = _Direction(proxy.loop, proxy.faults, "drop_down")
        self.down.send = lambda data: proxy.listener.write(sock, data)
        self.down.end = lambda: proxy.close_client(sock)

    async def connect(self) -> None:
        """Connect to the server behind the proxy."""
        try:
            stream = await self.proxy.runtime.connector.open(self.proxy.upstream)
        except ConnectFailed:
            self.proxy.close_client(self.sock)
            return
        self.stream = stream
        stream.on_data = self.down.put
        stream.on_close = lambda: self.down.put(b"")
        self.up.send = stream.send
        self.up.end = self._end_up
        self.up.flush()

    def flush(self) -> None:
        """Forward the queued bytes that are due, in both directions."""
        self.up.flush()
        self.down.flush()

    def cut(self) -> None:
        """Close both sides."""
        self.proxy.half_closed.discard(self)
        if self.stream is not None:
            self.stream.close()
        self.proxy.close_client(self.sock)

    def _end_up(self) -> None:
        self.proxy.half_closed.discard(self)
        if self.stream is not None:
            self.stream.close()


class FaultProxy(Component):
    """Proxy one address; ``address`` resolves to the address for clients."""

    def __init__(
        self, runtime: Runtime, upstream: str, bind: str = "127.0.0.1:0", control: str = ""
    ) -> None:
        self.control = StandIn(runtime, control or "127.0.0.1:0", routes)
        super().__init__(channel=f"proxy-{self.control.channel}")
        self.runtime = runtime
        self.loop = runtime.loop
        self.upstream = Address(upstream)
        self.faults = ProxyFaults()
        self.links: dict[Any, _ProxiedConnection] = {}
        self.half_closed: set[_ProxiedConnection] = set()
        self.accepted = 0
        self.control.http.context = self
        self.control.register(self)
        self.listener = TCPServer(bind, channel=self.channel).register(self)
        self.address: Promise[Address] = self.loop.promise()

    def bound_address(self) -> Address:
        """Return the address that the system chose."""
        return Address(f"{self.listener.host}:{self.listener.port}")

    def close_client(self, sock: Any) -> None:
        """Close a client's connection after sending its queued bytes."""
        self.fire(close(sock), self.channel)

    def apply(self) -> None:
        """Apply the faults to open connections."""
        for link in [*self.links.values(), *self.half_closed]:
            if self.faults.cut:
                link.cut()
            else:
                link.flush()

    @handler("ready")
    def _on_ready(self, *_: Any) -> None:
        self.address.resolve(self.bound_address())

    @handler("connect")
    def _on_connect(self, sock: Any, *_: Any) -> None:
        self.accepted += 1
        if self.faults.cut:
            self.close_client(sock)
            return
        link = _ProxiedConnection(self, sock)
        self.links[sock] = link
        self.loop.spawn(link.connect(), "proxy connect")

    @handler("read")
    def _on_read(self, sock: Any, data: bytes) -> None:
        link = self.links.get(sock)
        if link is not None:
            link.up.put(data)

    @handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:
        link = self.links.pop(sock, None)
        if link is not None:
            self.half_closed.add(link)
            link.up.put(b"")


@routes.add("POST", "/control/faults")
async def faults(proxy: FaultProxy, exchange: Exchange) -> HttpReply:
    """Set faults and apply them to open connections."""
    reply = set_faults(proxy.faults, exchange.request.json())
    proxy.apply()
    return reply


@routes.add("POST", "/control/cut")
async def cut(proxy: FaultProxy, exchange: Exchange) -> HttpReply:
    """Close the open connections; new ones are not affected."""
    links = list(proxy.links.values())
    for link in links:
        link.cut()
    return json_reply({"cut": len(links)})


@routes.add("GET", "/control/links")
async def links(proxy: FaultProxy, exchange: Exchange) -> HttpReply:
    """Report the number of open connections and of all accepted so far."""
    return json_reply({"open": len(proxy.links), "accepted": proxy.accepted})
