"""Front processes, endpoints and a stand-in for the platform's store on the loop of a test."""

from typing import Any

import h11

from features.support.platform_endpoint import EndpointStandIn, whole
from features.support.platform_store import PlatformStoreStandIn
from parsleyrouter.connection.stream import Stream
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.platform.adapter import PLATFORM
from parsleyrouter.process.front_assembly import Front, assemble_front
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.ports import free_address

HOST = "callers.example"

ROUTES: list[dict[str, Any]] = [
    {"name": "chat", "prefix": "/chat/", "kind": "stream", "maxAttempts": 1, "service": "engines"},
    {
        "name": "tale",
        "prefix": "/tale/",
        "kind": "stream",
        "maxAttempts": 2,
        "resumable": True,
        "service": "engines",
    },
    {"name": "card", "prefix": "/card/", "kind": "safe", "maxAttempts": 3, "service": "cards"},
    {
        "name": "bulk",
        "prefix": "/bulk/",
        "kind": "batch",
        "maxAttempts": 3,
        "runTargetMs": 18_000,
        "retentionS": 60,
        "service": "engines",
    },
]


def routes(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the operator's configuration."""
    common = {"host": HOST, "timeoutMs": 5000, "targetLatencyMs": 300, "gapAimMs": 400}
    services = [{"name": "engines", "engine": {"slots": 8}}, {"name": "cards"}]
    table = [common | route for route in ROUTES]
    return {"version": version, "routes": table, "services": services, "limits": {}} | changes


class FrontFleet:
    """One store, some endpoints and front processes."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.store = PlatformStoreStandIn(runtime)
        self.silent = PlatformStoreStandIn(runtime)
        """A store that never responds."""
        self.silent.faults.silent = True
        self.endpoints: dict[str, EndpointStandIn] = {}
        self.fronts: list[Front] = []
        self.options: list[FrontOptions] = []

    def register(self, name: str, service: str = "engines", **fields: Any) -> EndpointStandIn:
        endpoint = EndpointStandIn(self.runtime, name).start()
        if service == "cards":
            endpoint.default_behaviour = whole
        self.endpoints[name] = endpoint
        self.announce(name, service, **fields)
        return endpoint

    def announce(self, name: str, service: str = "engines", **fields: Any) -> None:
        entry = {"service": service, "address": self.endpoints[name].address, "zone": "z1"}
        entry |= {"slots": 8, "state": "ready", "version": "v1", "sequence": 1, "born": 1}
        self.store.put_json(f"servers/{name}", entry | fields)

    async def start(
        self, count: int = 1, *, configured: bool = True, domain: str = "z1", **more: Any
    ) -> Front:
        if configured:
            self.store.put_json("op/config", routes())
        for _ in range(count):
            options = FrontOptions(
                node=NodeId(f"front-{len(self.fronts)}"),
                domain=DomainName(domain),
                callers=free_address(),
                ready=free_address(),
                locate=free_address(),
                nodes=free_address(),
                key_value=self.store.address,
                **more,
            )
            self.options.append(options)
            self.fronts.append(assemble_front(self.runtime, options, PLATFORM))
        await self.until(lambda: all(self._knows(front) for front in self.fronts) or not configured)
        return self.fronts[0]

    def _knows(self, front: Front) -> bool:
        return (
            front.routes.table is not None
            and len(front.directory.endpoints) >= len(self.endpoints)
            and front.registry.lease != 0
        )

    async def until(self, holds: Any, limit_s: float = 8.0) -> None:
        """Wait until a condition holds; raise ``AssertionError`` if it does not in time."""
        until_s = self.loop.now() + limit_s
        while not holds():
            assert self.loop.now() < until_s, "the condition did not hold in time"
            await self.loop.sleep(0.01)

    def caller(self, front: Front | None = None) -> "Caller":
        chosen = front or self.fronts[0]
        return Caller(self.runtime, chosen.registry.own.callers)


class CallerAnswer:
    """Answer as seen by a caller."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.completed_s = 0.0


class Caller:
    """Connection of a caller."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self.runtime = runtime
        self.address = address
        self.stream: Stream | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.answer = CallerAnswer()
        self.closed = False

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        attempt: str = "a1",
        deadline_ms: int | None = 5000,
        headers: list[tuple[str, str]] | None = None,
        host: str = HOST,
    ) -> None:
        if self.stream is None:
            self.stream = await self.runtime.connector.open(self.address)
            self.stream.on_data = self._take
            self.stream.on_close = lambda: self._take(b"")
        lines = [("Host", host), ("X-Attempt-Id", attempt), ("Content-Length", str(len(body)))]
        if deadline_ms is not None:
            lines.append(("X-Deadline-Ms", str(deadline_ms)))
        self.answer = CallerAnswer()
        request = h11.Request(method=method, target=target, headers=lines + (headers or []))
        data = self.parser.send(request) or b""
        if body:
            data += self.parser.send(h11.Data(data=body)) or b""
        self.stream.send(data + (self.parser.send(h11.EndOfMessage()) or b""))

    async def ask(self, method: str, target: str, body: bytes = b"", **named: Any) -> CallerAnswer:
        """Send a request and wait for the end of the answer."""
        await self.send(method, target, body, **named)
        return await self.wait()

    async def wait(self, limit_s: float = 10.0) -> CallerAnswer:
        until_s = self.runtime.loop.now() + limit_s
        while not self.answer.complete and not self.closed:
            assert self.runtime.loop.now() < until_s, "no answer in time"
            await self.runtime.loop.sleep(0.003)
        answer = self.answer
        if answer.complete and self.parser.our_state is h11.DONE and not self.closed:
            self.parser.start_next_cycle()
        return answer

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()

    def _take(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
            while True:
                event: Any = self.parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.Response):
                    self.answer.status = event.status_code
                    pairs = event.headers.raw_items()
                    self.answer.headers = {k.decode(): v.decode("latin-1") for k, v in pairs}
                elif isinstance(event, h11.Data):
                    self.answer.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.answer.complete = True
                    self.answer.completed_s = self.runtime.loop.now()
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except h11.RemoteProtocolError:
            self.closed = True
        if not data:
            self.closed = True
