"""A stand-in plain service that counts its executions per key."""

from collections import Counter, deque
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from parsleyrouter.connection.http import HttpReply, HttpRequest, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.stand_in import (
    StandIn,
    close_unanswered,
    error_reply,
    leave_unanswered,
    set_faults,
)

__all__ = ["PlainService", "ServiceExecution", "ServiceFaults", "ServiceSpec"]

ATTEMPT_HEADER = "x-parsley-attempt"
KEY_HEADER = "idempotency-key"

routes = Routes()


@dataclass(frozen=True)
class ServiceSpec:
    """Speed and size of a plain service; ``work_s`` is the time of one call in seconds."""

    name: str = "cards"
    slots: int = 4
    work_s: float = 0.02


@dataclass
class ServiceFaults:
    """Faults set over ``POST /control/faults``.

    ``die_before`` and ``die_after`` are the numbers of next calls whose connection closes before
    and after the execution; ``refuse`` answers 503 and ``hang`` does not answer, both without
    executing the call.
    """

    down: bool = False
    hang: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    die_before: int = 0
    die_after: int = 0


@dataclass(frozen=True)
class ServiceExecution:
    """Record of one execution; ``at_s`` in seconds of the service's monotonic clock."""

    key: str
    path: str
    attempt: str
    at_s: float


class PlainService(StandIn):
    """Execute calls in order of arrival within a number of slots, and count them per key."""

    def __init__(
        self, runtime: Runtime, bind: str = "127.0.0.1:0", spec: ServiceSpec | None = None
    ) -> None:
        super().__init__(runtime, bind, routes)
        self.spec = spec or ServiceSpec()
        self.faults = ServiceFaults()
        self.executions: list[ServiceExecution] = []
        self.counts: Counter[str] = Counter()
        self.busy = 0
        self.queue: deque[Promise[None]] = deque()

    async def execute(self, key: str, request: HttpRequest) -> dict[str, Any]:
        """Run one call and count it."""
        await self._acquire_slot()
        try:
            attempt = request.headers.get(ATTEMPT_HEADER, "")
            self.executions.append(ServiceExecution(key, request.path, attempt, self.loop.now()))
            self.counts[key] += 1
            number = self.counts[key]
            await self.loop.sleep(self.spec.work_s + self.faults.slow_s)
        finally:
            self._release_slot()
        return {"service": self.spec.name, "key": key, "execution": number, "path": request.path}

    async def _acquire_slot(self) -> None:
        if self.busy < self.spec.slots:
            self.busy += 1
            return
        slot_granted = self.loop.promise()
        self.queue.append(slot_granted)
        await slot_granted

    def _release_slot(self) -> None:
        if self.queue:
            self.queue.popleft().resolve(None)
        else:
            self.busy -= 1


@routes.add("POST", "/control/faults")
async def faults(service: PlainService, exchange: Exchange) -> HttpReply:
    """Set faults."""
    return set_faults(service.faults, exchange.request.json())


@routes.add("GET", "/control/executions")
async def executions(service: PlainService, exchange: Exchange) -> HttpReply:
    """Report the number of executions per key and the record of each."""
    records = [asdict(execution) for execution in service.executions]
    return json_reply({"counts": dict(service.counts), "executions": records})


@routes.add("GET", "/metrics")
async def metrics(service: PlainService, exchange: Exchange) -> HttpReply:
    """Report the load in the Prometheus format."""
    lines = [
        "# TYPE service_requests_running gauge",
        f"service_requests_running {service.busy}",
        "# TYPE service_requests_waiting gauge",
        f"service_requests_waiting {len(service.queue)}",
        "",
    ]
    return HttpReply(200, {"content-type": "text/plain; version=0.0.4"}, "\n".join(lines).encode())


@routes.add("POST", "/{path:rest}")
async def call(service: PlainService, exchange: Exchange) -> HttpReply | None:
    """Execute one call."""
    faults = service.faults
    if faults.hang:
        leave_unanswered(exchange)
        return None
    if faults.refuse:
        return error_reply(503, "service refuses work: try another")
    if faults.down or faults.die_before > 0:
        faults.die_before = max(0, faults.die_before - 1)
        close_unanswered(exchange)
        return None
    body = _body(exchange.request)
    answer = await service.execute(_key(exchange.request, body), exchange.request)
    if faults.die_after > 0:
        faults.die_after -= 1
        close_unanswered(exchange)
        return None
    reply = json_reply(answer | {"body_key": body.get("key"), "size": len(exchange.request.body)})
    attempt = exchange.request.headers.get(ATTEMPT_HEADER)
    named = {ATTEMPT_HEADER: attempt} if attempt else {}
    return HttpReply(reply.status, {**reply.headers, **named}, reply.body)


def _body(request: HttpRequest) -> dict[str, Any]:
    try:
        body = request.json()
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {}


def _key(request: HttpRequest, body: dict[str, Any]) -> str:
    """Return the key under which a call is counted: from its body, else from its header."""
    return str(body.get("key") or request.headers.get(KEY_HEADER) or "")
