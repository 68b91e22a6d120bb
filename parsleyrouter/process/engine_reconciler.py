"""Keep the engines that are at home here loaded as the settings ask.

Construct in the entry process: ``Orders(runtime, key_value, agent)``, then ``start``. Engines
without ``/admin/state`` take no orders; they and endpoints that name no models are left alone.
"""

import logging
import secrets
from collections.abc import Awaitable, Callable

import msgspec

from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.key_value import (
    ABSENT,
    KeyValue,
    KeyValueFailure,
    WriteApplied,
)
from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.connection.swap_retry import compare_and_swap_with_retry
from parsleyrouter.ids import Address, EndpointId, Revision
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.engine_commands import (
    ClaimClock,
    EngineState,
    Order,
    OrderKind,
    OrderRecord,
    OrderTimes,
    Wanted,
    may_send,
    next_order,
    orders_key,
    wanted_of,
)
from parsleyrouter.process.fleet_view import Service
from parsleyrouter.process.model_drain import ModelDrainTracker
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.weight_load_semaphore import WeightSlots
from parsleyrouter.request.home_hashing import home_of
from parsleyrouter.thrift_gen.grants.ttypes import LiveGrants, LiveGrantsQuery
from parsleyrouter.version.schema import EndpointSettings, EndpointType

__all__ = ["LiveCalls", "EngineReconciler", "live_grants"]

ROUND_S = 5.0
CALL_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)

LiveCalls = Callable[[EndpointId], Awaitable[set[str] | None]]
"""Tell which calls run on an endpoint, ``None`` when that is unknown."""


def live_grants(runtime: Runtime, agent: Agent) -> LiveCalls:
    """Ask the endpoint's home scheduler for the grants it has given."""

    async def ask(endpoint: EndpointId) -> set[str] | None:
        home = home_of(endpoint, agent.nodes())
        if home is None:
            return None
        address = home.addresses[Service.SCHEDULER]
        query = LiveGrantsQuery(endpoint=endpoint)
        answer = await runtime.peers.call(address, "grants.live", query, LiveGrants, CALL_TIMEOUT_S)
        return None if isinstance(answer, PeerFailure) else {one.grant for one in answer.grants}

    return ask


class EngineReconciler:
    """Look at each engine now and then and give at most one order at a time."""

    def __init__(
        self,
        runtime: Runtime,
        key_value: KeyValue,
        agent: Agent,
        *,
        live_calls: LiveCalls | None = None,
        times: OrderTimes | None = None,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.key_value = key_value
        self.agent = agent
        self.live_calls = live_calls or live_grants(runtime, agent)
        self.times = times or OrderTimes()
        self.clock = ClaimClock(self.times)
        self.quiescence = ModelDrainTracker(self.times.settle_s)
        self.slots = WeightSlots(key_value, self.times.longest_order_s)
        self.busy: set[EndpointId] = set()

    def start(self, round_s: float = ROUND_S) -> None:
        """Begin to look after engines."""
        self.loop.spawn(self._run(round_s), "orders")

    async def _run(self, round_s: float) -> None:
        while True:
            for name, endpoint in self.agent.settings().fleet.endpoints.items():
                if endpoint.type is EndpointType.ENGINE and self._at_home(EndpointId(name)):
                    self.loop.spawn(self.look_after(EndpointId(name), endpoint), "engine orders")
            await self.loop.sleep(round_s)

    def _at_home(self, endpoint: EndpointId) -> bool:
        home = home_of(endpoint, self.agent.nodes())
        return home is not None and home.node == self.agent.me.node

    async def look_after(self, name: EndpointId, endpoint: EndpointSettings) -> Order | None:
        """Give an engine its next order if there is one; return the order answered."""
        if name in self.busy:
            return None
        self.busy.add(name)
        try:
            wanted = wanted_of(endpoint, self.agent.settings())
            if not wanted.models and not wanted.role:
                return None
            state = await self._state(endpoint)
            if state is None or await self._choose(name, state, wanted) is None:
                return None
            return await self._under_claim(name, endpoint, wanted)
        finally:
            self.busy.discard(name)

    async def _under_claim(
        self, name: EndpointId, endpoint: EndpointSettings, wanted: Wanted
    ) -> Order | None:
        sent_s = self.loop.now()
        claimed = await self._claim(name, endpoint)
        if claimed is None:
            return None
        record, revision = claimed
        state = await self._state(endpoint)
        order = None if state is None else await self._choose(name, state, wanted)
        if order is None:
            await self._release(name, record, revision)
            return None
        return await self._give(name, endpoint, order, record, revision, sent_s)

    async def _give(
        self,
        name: EndpointId,
        endpoint: EndpointSettings,
        order: Order,
        record: OrderRecord,
        revision: Revision,
        sent_s: float,
    ) -> Order | None:
        slot = None
        if order.kind is OrderKind.LOAD:
            loads = self.agent.settings().fleet.weight_store_loads
            slot = await self.slots.take(loads, self.agent.me.node)
        answered = True
        done = False
        if (slot or order.kind is not OrderKind.LOAD) and may_send(
            sent_s, self.loop.now(), self.times
        ):
            answered, done = await self._send(name, endpoint, order, record.fence)
        if slot is not None:
            await self.slots.give_back(slot)
        if answered:
            await self._release(name, record, revision)
        return order if done else None

    async def _send(
        self, name: EndpointId, endpoint: EndpointSettings, order: Order, fence: int
    ) -> tuple[bool, bool]:
        """Return whether the engine answered and whether it obeyed."""
        reply = await self.runtime.http.request(
            Address(endpoint.address),
            "POST",
            f"/admin/{order.kind.value}",
            headers={"content-type": "application/json"},
            body=msgspec.json.encode(order.body(fence)),
            timeout_s=self.times.longest_order_s,
            new_connection=True,
        )
        status = 0 if isinstance(reply, TransportFailure) else reply.status
        extra = {"endpoint": name, "order": order.kind.value, "model": order.model, "fence": fence}
        log.info("order given to an engine", extra=extra | {"status": status})
        return status != 0, status == 200

    async def _claim(
        self, name: EndpointId, endpoint: EndpointSettings
    ) -> tuple[OrderRecord, Revision] | None:
        found = await self.key_value.get(orders_key(name))
        if isinstance(found, KeyValueFailure):
            return None
        known = None if found is None else msgspec.json.decode(found.value, type=OrderRecord)
        at = ABSENT if found is None else found.revision
        if not self.clock.may_claim(name, known, at, endpoint.checks_fencing, self.loop.now()):
            return None
        fence = 1 if known is None else known.fence + 1
        record = OrderRecord(fence, self.agent.me.node, False, secrets.token_hex(8))
        revision = await self._write(name, record, at)
        return None if revision is None else (record, revision)

    async def _release(self, name: EndpointId, record: OrderRecord, at: Revision) -> None:
        released = OrderRecord(record.fence, record.holder, True, secrets.token_hex(8))
        await self._write(name, released, at)

    async def _write(
        self, name: EndpointId, record: OrderRecord, expected: Revision
    ) -> Revision | None:
        data = msgspec.json.encode(record)
        swapped = await compare_and_swap_with_retry(
            self.key_value, orders_key(name), data, expected
        )
        return swapped.revision if isinstance(swapped, WriteApplied) else None

    async def _state(self, endpoint: EndpointSettings) -> EngineState | None:
        reply = await self.runtime.http.request(
            Address(endpoint.address), "GET", "/admin/state", timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, TransportFailure) or reply.status != 200:
            return None
        try:
            return msgspec.convert(reply.json(), EngineState)
        except msgspec.MsgspecError:
            log.warning("an engine's state cannot be read", extra={"address": endpoint.address})
            return None

    async def _choose(self, name: EndpointId, state: EngineState, wanted: Wanted) -> Order | None:
        """Return the next order, once a withdrawn model is known to be idle."""
        withdrawn = [model for model in state.models if model not in wanted.models]
        if not withdrawn or not await self._in_force_everywhere():
            self.quiescence.reset_endpoint(name)
            return next_order(state, wanted, ())
        live = await self.live_calls(name)
        idle = self.quiescence.observe(name, withdrawn, live, self.loop.now())
        return next_order(state, wanted, idle)

    async def _in_force_everywhere(self) -> bool:
        settings = self.agent.settings()
        if not settings.proved_current:
            return False
        answers = await self.agent.query_all(settings.revision)
        return all(status is not None and status.in_force for status in answers.values())
