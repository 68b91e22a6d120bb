"""Reconcile the engines that this node is home for with the settings.

Construct ``EngineReconciler(runtime, key_value, agent)`` in the entry process, then call ``start``.
Engines without ``/admin/state`` and endpoints without models or role get no commands.
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
    ClaimMonitor,
    ClaimTimes,
    DesiredState,
    EngineClaim,
    EngineCommand,
    EngineCommandKind,
    EngineState,
    claim_key,
    desired_state,
    may_send,
    next_command,
)
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import holder_addresses
from parsleyrouter.process.model_drain import ModelDrainTracker
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.weight_load_semaphore import WeightLoadSemaphore
from parsleyrouter.request.home_hashing import home_of
from parsleyrouter.thrift_gen.grants.ttypes import LiveGrants, LiveGrantsQuery
from parsleyrouter.version.schema import EndpointSettings, EndpointType

__all__ = ["EngineReconciler", "LiveCalls", "live_grants"]

RECONCILE_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)

LiveCalls = Callable[[EndpointId], Awaitable[set[str] | None]]
"""Return the ids of the calls that run on an endpoint, ``None`` if unknown."""


def live_grants(runtime: Runtime, view: FleetView) -> LiveCalls:
    """Return a function that queries all processes for the grants they hold on an endpoint.

    Home schedulers do not know the grants that were taken while they did not answer.
    """

    async def query_grants(endpoint: EndpointId) -> set[str] | None:
        query = LiveGrantsQuery(endpoint=endpoint)
        calls = [
            runtime.loop.spawn(
                runtime.peers.call(address, "grant.live", query, LiveGrants, CALL_TIMEOUT_S)
            )
            for address in holder_addresses(view.nodes())
        ]
        found: set[str] = set()
        for answer in await runtime.loop.gather(calls):
            if isinstance(answer, PeerFailure):
                log.info(
                    "live grants not known", extra={"endpoint": endpoint, "reason": answer.message}
                )
                return None
            found |= {one.grant for one in answer.grants}
        return found

    return query_grants


class EngineReconciler:
    """Check each engine periodically and send it at most one command at a time."""

    def __init__(
        self,
        runtime: Runtime,
        key_value: KeyValue,
        agent: Agent,
        *,
        live_calls: LiveCalls | None = None,
        times: ClaimTimes | None = None,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.key_value = key_value
        self.agent = agent
        self.live_calls = live_calls or live_grants(runtime, agent)
        self.times = times or ClaimTimes()
        self.claims = ClaimMonitor(self.times)
        self.drain_tracker = ModelDrainTracker(self.times.settle_s)
        self.weight_loads = WeightLoadSemaphore(key_value, self.times.max_command_s)
        self.in_progress: set[EndpointId] = set()

    def start(self, interval_s: float = RECONCILE_INTERVAL_S) -> None:
        """Start to reconcile all engines every ``interval_s``."""
        self.loop.spawn(self._run(interval_s), "engine reconciler")

    async def _run(self, interval_s: float) -> None:
        while True:
            for name, endpoint in self.agent.settings().fleet.endpoints.items():
                if endpoint.type is EndpointType.ENGINE and self._is_home(EndpointId(name)):
                    self.loop.spawn(self.reconcile(EndpointId(name), endpoint), "reconcile engine")
            await self.loop.sleep(interval_s)

    def _is_home(self, endpoint: EndpointId) -> bool:
        home = home_of(endpoint, self.agent.nodes())
        return home is not None and home.node == self.agent.me.node

    async def reconcile(self, name: EndpointId, endpoint: EndpointSettings) -> EngineCommand | None:
        """Send an engine its next command, if any; return the command if it succeeded."""
        if name in self.in_progress:
            return None
        self.in_progress.add(name)
        try:
            desired = desired_state(endpoint, self.agent.settings())
            if not desired.models and not desired.role:
                return None
            state = await self._fetch_state(endpoint)
            if state is None or await self._next_command(name, state, desired) is None:
                return None
            return await self._reconcile_claimed(name, endpoint, desired)
        finally:
            self.in_progress.discard(name)

    async def _reconcile_claimed(
        self, name: EndpointId, endpoint: EndpointSettings, desired: DesiredState
    ) -> EngineCommand | None:
        claim_sent_s = self.loop.now()
        claimed = await self._claim(name, endpoint)
        if claimed is None:
            return None
        record, revision = claimed
        state = await self._fetch_state(endpoint)
        command = None if state is None else await self._next_command(name, state, desired)
        if command is None:
            await self._release_claim(name, record, revision)
            return None
        return await self._execute(name, endpoint, command, record, revision, claim_sent_s)

    async def _execute(
        self,
        name: EndpointId,
        endpoint: EndpointSettings,
        command: EngineCommand,
        record: EngineClaim,
        revision: Revision,
        claim_sent_s: float,
    ) -> EngineCommand | None:
        permit = None
        if command.kind is EngineCommandKind.LOAD:
            loads = self.agent.settings().fleet.weight_store_loads
            permit = await self.weight_loads.acquire(loads, self.agent.me.node)
        answered = True
        done = False
        if (permit or command.kind is not EngineCommandKind.LOAD) and may_send(
            claim_sent_s, self.loop.now(), self.times
        ):
            answered, done = await self._send(name, endpoint, command, record.fence)
        if permit is not None:
            await self.weight_loads.release(permit)
        if answered:
            await self._release_claim(name, record, revision)
        return command if done else None

    async def _send(
        self, name: EndpointId, endpoint: EndpointSettings, command: EngineCommand, fence: int
    ) -> tuple[bool, bool]:
        """Return whether the engine answered and whether the command succeeded."""
        reply = await self.runtime.http.request(
            Address(endpoint.address),
            "POST",
            f"/admin/{command.kind.value}",
            headers={"content-type": "application/json"},
            body=msgspec.json.encode(command.body(fence)),
            timeout_s=self.times.max_command_s,
            new_connection=True,
        )
        status = 0 if isinstance(reply, TransportFailure) else reply.status
        extra = {
            "endpoint": name,
            "order": command.kind.value,
            "model": command.model,
            "fence": fence,
        }
        log.info("engine command sent", extra=extra | {"status": status})
        return status != 0, status == 200

    async def _claim(
        self, name: EndpointId, endpoint: EndpointSettings
    ) -> tuple[EngineClaim, Revision] | None:
        stored = await self.key_value.get(claim_key(name))
        if isinstance(stored, KeyValueFailure):
            return None
        previous = None if stored is None else msgspec.json.decode(stored.value, type=EngineClaim)
        expected = ABSENT if stored is None else stored.revision
        if not self.claims.may_claim(
            name, previous, expected, endpoint.checks_fencing, self.loop.now()
        ):
            return None
        fence = 1 if previous is None else previous.fence + 1
        record = EngineClaim(fence, self.agent.me.node, False, secrets.token_hex(8))
        revision = await self._write_claim(name, record, expected)
        return None if revision is None else (record, revision)

    async def _release_claim(
        self, name: EndpointId, record: EngineClaim, expected: Revision
    ) -> None:
        released = EngineClaim(record.fence, record.holder, True, secrets.token_hex(8))
        await self._write_claim(name, released, expected)

    async def _write_claim(
        self, name: EndpointId, record: EngineClaim, expected: Revision
    ) -> Revision | None:
        data = msgspec.json.encode(record)
        swapped = await compare_and_swap_with_retry(self.key_value, claim_key(name), data, expected)
        return swapped.revision if isinstance(swapped, WriteApplied) else None

    async def _fetch_state(self, endpoint: EndpointSettings) -> EngineState | None:
        reply = await self.runtime.http.request(
            Address(endpoint.address), "GET", "/admin/state", timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, TransportFailure) or reply.status != 200:
            return None
        try:
            return msgspec.convert(reply.json(), EngineState)
        except msgspec.MsgspecError:
            log.warning("malformed engine state", extra={"address": endpoint.address})
            return None

    async def _next_command(
        self, name: EndpointId, state: EngineState, desired: DesiredState
    ) -> EngineCommand | None:
        """Return the next command; withdrawn models are unloaded only once known to be idle."""
        withdrawn = [model for model in state.models if model not in desired.models]
        if not withdrawn or not await self._settings_active_everywhere():
            self.drain_tracker.reset_endpoint(name)
            return next_command(state, desired, ())
        live = await self.live_calls(name)
        idle = self.drain_tracker.observe(name, withdrawn, live, self.loop.now())
        return next_command(state, desired, idle)

    async def _settings_active_everywhere(self) -> bool:
        settings = self.agent.settings()
        if not settings.proved_current:
            return False
        answers = await self.agent.query_all(settings.revision)
        return all(status is not None and status.in_force for status in answers.values())
