"""Client of the home schedulers: requests, holds and releases slots.

``GrantClient(runtime, view, reply_to)`` implements ``GrantProvider``. ``reply_to`` returns the
address of a ``PeerServer`` of this process on whose methods ``add_grant_methods`` was called::

    methods = PeerMethods()
    server = PeerServer(runtime.loop, options.peer, methods, None).register(runtime)
    grants = GrantClient(runtime, view, server.bound_address)
    grants.add_grant_methods(methods)
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from parsleyrouter.connection.peer import PeerFailure, PeerFailureKind, PeerMethods
from parsleyrouter.ids import Address, AttemptId, EndpointId, GrantId
from parsleyrouter.outcome import Refusal, RefusalKind
from parsleyrouter.process.endpoint_selector import EndpointSelector, LoadHint
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import (
    grant_request_message,
    is_batch,
    no_endpoint_refusal,
    not_run_refusal,
)
from parsleyrouter.process.grant_metrics import ClientMetrics
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.held_grants import HeldGrants
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.process.loop import Promise, Task, TimedOut
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.slot_events import RefusalReason
from parsleyrouter.thrift_gen.grants.ttypes import (
    GrantAnswer,
    LiveGrants,
    LiveGrantsQuery,
    RevokeGrant,
)

__all__ = ["GrantClient", "GrantOptions"]

RevokeCallback = Callable[[], None] | None

MAX_REFUSALS = 4
"""Number of endpoint refusals after which the request is refused."""

MAX_UNRESPONSIVE_HOMES = 2
"""Unresponsive home schedulers tried before a slot is taken without a scheduler."""


@dataclass(frozen=True)
class GrantOptions:
    """Times in seconds, and the slots per endpoint that may be taken without a scheduler."""

    answer_s: float = 0.05
    call_limit_s: float = 5.0
    silent_s: float = 1.0
    ask_again_s: float = 1.0
    pause_s: float = 0.05
    local_slots: int = 2


@dataclass
class _PendingRequest:
    """Slot request in progress: acknowledged by any answer, decided by a final one."""

    endpoint: EndpointId
    home: Address
    acknowledged: Promise[None]
    decided: Promise[GrantAnswer | PeerFailure]


@dataclass
class _Search:
    """State of one ``acquire`` call."""

    request: GrantRequest
    on_revoke: RevokeCallback
    deadline_s: float
    refused: dict[EndpointId, GrantAnswer] = field(default_factory=dict)


class GrantClient:
    """Choose endpoints and request slots from their home schedulers.

    Takes a few slots per endpoint for online requests when the home scheduler does not answer.
    """

    def __init__(
        self,
        runtime: Runtime,
        view: FleetView,
        reply_to: Callable[[], Address],
        options: GrantOptions | None = None,
        random: Random | None = None,
    ) -> None:
        self.loop = runtime.loop
        self.peers = runtime.peers
        self.view = view
        self.reply_to = reply_to
        self.options = options or GrantOptions()
        self.homes = HomeMap(view)
        self.held = HeldGrants(runtime, self.homes, reply_to)
        self.selector = EndpointSelector(view, self.held.own_counts, random or Random())
        self.pending: dict[AttemptId, _PendingRequest] = {}
        self.boot = secrets.token_hex(4)
        self.local_count = 0
        self.metrics = ClientMetrics.of(runtime.metrics)

    def add_grant_methods(self, methods: PeerMethods) -> None:
        """Register the methods that schedulers call on this process."""

        @methods.add("grant.answer", GrantAnswer)
        async def answer(_: Any, message: GrantAnswer) -> None:
            self._handle_answer(message)

        @methods.add("grant.revoke", RevokeGrant)
        async def revoke(_: Any, message: RevokeGrant) -> None:
            expected = AttemptId(message.attempt) in self.pending
            self.held.revoke(GrantId(message.grant), expected)

        @methods.add("grant.live", LiveGrantsQuery)
        async def live(_: Any, message: LiveGrantsQuery) -> LiveGrants:
            found = self.held.live(message.endpoint)
            return LiveGrants(found, self.view.self_node().node, self.reply_to())

    async def acquire(
        self, request: GrantRequest, on_revoke: RevokeCallback = None
    ) -> Grant | Refusal:
        """Wait for a slot; a refusal is always ``not_run``."""
        search = _Search(request, on_revoke, self.loop.now() + request.deadline_in_s)
        while True:
            ranked = self.selector.rank(request, search.refused, self.loop.now())
            if not ranked or len(search.refused) >= MAX_REFUSALS:
                return no_endpoint_refusal(search.refused.values())
            grant = await self._try_endpoints(search, ranked)
            if grant is not None:
                return grant
            if self.loop.now() + self.options.pause_s >= search.deadline_s:
                return not_run_refusal(RefusalKind.DEADLINE, "no slot came free: allow more time")
            await self.loop.sleep(self.options.pause_s)

    def release(self, grant: Grant, result: CallResult) -> None:
        """Release a grant and report the outcome of its call."""
        request = self.held.request(grant)
        if request is not None:
            self.held.release(grant, result)
            self.selector.record_result(request, grant.endpoint, result, self.loop.now())

    async def _try_endpoints(self, search: _Search, ranked: list[EndpointId]) -> Grant | None:
        """Try the endpoints in order until one grants a slot or refuses the request."""
        unresponsive = 0
        for endpoint in ranked:
            home = self.homes.address(endpoint)
            if home is None or self.selector.is_unresponsive(home, self.loop.now()):
                continue
            if unresponsive >= MAX_UNRESPONSIVE_HOMES:
                break
            answer = await self._request_slot(search, endpoint, home)
            if answer is None:
                return None
            if isinstance(answer, PeerFailure):
                unresponsive += 1
                self.metrics.silent.inc()
                self.selector.mark_unresponsive(home, self.loop.now() + self.options.silent_s)
                continue
            if answer.grant:
                return self._accept(search, answer, home)
            if answer.refusal != RefusalReason.NOT_HOME.value:
                search.refused[endpoint] = answer
                return None
        return None if is_batch(search.request) else self._grant_locally(search, ranked)

    async def _request_slot(
        self, search: _Search, endpoint: EndpointId, home: Address
    ) -> GrantAnswer | PeerFailure | None:
        """Request a slot and wait in the home's queue; ``None`` if another endpoint ranks higher.

        Only batch requests leave the queue for another endpoint.
        """
        pending = _PendingRequest(endpoint, home, self.loop.promise(), self.loop.promise())
        attempt = search.request.attempt
        self.pending[attempt] = pending
        answer: GrantAnswer | PeerFailure | None = None
        try:
            answer = await self._wait(search, pending)
        except TimedOut:
            answer = PeerFailure(PeerFailureKind.TIMEOUT, f"{home}: no answer")
        finally:
            del self.pending[attempt]
            if not isinstance(answer, GrantAnswer):
                self._withdraw(pending, attempt)
        return answer

    async def _wait(
        self, search: _Search, pending: _PendingRequest
    ) -> GrantAnswer | PeerFailure | None:
        while True:
            self._send_request(search, pending)
            await self.loop.within(self.options.answer_s, pending.acknowledged)
            try:
                return await self.loop.within(self.options.ask_again_s, pending.decided)
            except TimedOut:
                if is_batch(search.request) and self._is_better_elsewhere(search, pending):
                    return None
                pending.acknowledged = self.loop.promise()

    def _is_better_elsewhere(self, search: _Search, pending: _PendingRequest) -> bool:
        ranked = self.selector.rank(search.request, search.refused, self.loop.now())
        return bool(ranked) and ranked[0] != pending.endpoint

    def _withdraw(self, pending: _PendingRequest, attempt: AttemptId) -> None:
        """Withdraw a slot request, and with it a grant that has just arrived."""
        answer = pending.decided.value if pending.decided.done else None
        grant = answer.grant if isinstance(answer, GrantAnswer) else ""
        self.held.return_unused(attempt, pending.endpoint, pending.home, grant)

    def _send_request(self, search: _Search, pending: _PendingRequest) -> None:
        left_s = search.deadline_s - self.loop.now()
        me = self.view.self_node()
        message = grant_request_message(
            search.request, pending.endpoint, me, self.reply_to(), left_s
        )
        limit_s = self.options.call_limit_s
        call = self.peers.call(pending.home, "grant.ask", message, GrantAnswer, limit_s)
        task: Task[GrantAnswer | PeerFailure] = self.loop.spawn(call, "request slot")
        task.on_done(lambda done: self._on_reply(pending, done))

    def _on_reply(self, pending: _PendingRequest, done: Promise[GrantAnswer | PeerFailure]) -> None:
        answer = done.result()
        if isinstance(answer, GrantAnswer):
            self._handle_answer(answer)
        else:
            pending.decided.resolve(answer)
            pending.acknowledged.resolve(None)

    def _handle_answer(self, answer: GrantAnswer) -> None:
        """Pass an answer to its attempt; a grant that nobody waits for is released."""
        endpoint = EndpointId(answer.endpoint)
        now = self.loop.now()
        self.selector.record_load(endpoint, LoadHint(answer.load, answer.batch_load, now))
        pending = self.pending.get(AttemptId(answer.attempt))
        if pending is not None and pending.endpoint != endpoint:
            pending = None
        if pending is not None and not pending.decided.done:
            pending.acknowledged.resolve(None)
            if not answer.queued:
                pending.decided.resolve(answer)
        elif answer.grant and not self._is_known(answer, pending):
            self.metrics.late.inc()
            self.held.return_unused(AttemptId(answer.attempt), endpoint, None, answer.grant)

    def _is_known(self, answer: GrantAnswer, pending: _PendingRequest | None) -> bool:
        decided = pending.decided.value if pending is not None else None
        waiting = isinstance(decided, GrantAnswer) and decided.grant == answer.grant
        return waiting or answer.grant in self.held

    def _accept(self, search: _Search, answer: GrantAnswer, home: Address) -> Grant | None:
        endpoint = EndpointId(answer.endpoint)
        attempt = search.request.attempt
        settings = self.view.settings().fleet.endpoints.get(endpoint)
        if settings is None or self.held.pop_early_revocation(answer.grant):
            self.held.return_unused(attempt, endpoint, home, answer.grant)
            return None
        grant = Grant(GrantId(answer.grant), attempt, endpoint, settings.address)
        self.held.add(grant, search.request, home, search.on_revoke)
        return grant

    def _grant_locally(self, search: _Search, ranked: list[EndpointId]) -> Grant | None:
        """Take a slot on an endpoint whose home scheduler does not answer."""
        for endpoint in ranked:
            settings = self.view.settings().fleet.endpoints.get(endpoint)
            home = self.homes.address(endpoint)
            unresponsive = home is None or self.selector.is_unresponsive(home, self.loop.now())
            full = self.held.own_counts[endpoint] >= self.options.local_slots
            if settings is None or full or not unresponsive:
                continue
            self.local_count += 1
            self.metrics.local.inc()
            name = GrantId(f"{self.view.self_node().node}.{self.boot}.local{self.local_count}")
            attempt = search.request.attempt
            grant = Grant(name, attempt, endpoint, settings.address, local=True)
            self.held.add(grant, search.request, None, search.on_revoke)
            return grant
        return None
