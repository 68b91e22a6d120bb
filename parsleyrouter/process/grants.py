"""Get slots from the home schedulers: the client side of grants.

``GrantClient(runtime, view, reply_to)`` is the port ``Grants``. ``reply_to`` returns the address of
a ``PeerServer`` of this process on whose methods ``add_grant_methods`` was called::

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
from parsleyrouter.process.endpoint_selector import EndpointChoice, LoadHint
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import ask_message, is_batch, no_endpoint, not_run
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

OnRevoke = Callable[[], None] | None

MAX_REFUSALS = 4
"""Endpoints that may turn a request away before it is refused."""

MAX_SILENT = 2
"""Homes that may leave a request unanswered before it does without a scheduler."""


@dataclass(frozen=True)
class GrantOptions:
    """Times of the client in seconds, and how many slots it takes without a scheduler."""

    answer_s: float = 0.05
    call_limit_s: float = 5.0
    silent_s: float = 1.0
    ask_again_s: float = 1.0
    pause_s: float = 0.05
    local_slots: int = 2


@dataclass
class _Asking:
    """One ask under way: any answer, and the one that settles it."""

    endpoint: EndpointId
    home: Address
    heard: Promise[None]
    settled: Promise[GrantAnswer | PeerFailure]


@dataclass
class _Search:
    """One ``acquire`` under way."""

    request: GrantRequest
    on_revoke: OnRevoke
    deadline_s: float
    refused: dict[EndpointId, GrantAnswer] = field(default_factory=dict)


class GrantClient:
    """Choose endpoints, ask their homes, and do without them for a few requests."""

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
        self.choice = EndpointChoice(view, self.held.own, random or Random())
        self.asking: dict[AttemptId, _Asking] = {}
        self.boot = secrets.token_hex(4)
        self.local_count = 0
        self.metrics = ClientMetrics.of(runtime.metrics)

    def add_grant_methods(self, methods: PeerMethods) -> None:
        """Register what schedulers call on this process."""

        @methods.add("grant.answer", GrantAnswer)
        async def answer(_: Any, message: GrantAnswer) -> None:
            self._deliver(message)

        @methods.add("grant.revoke", RevokeGrant)
        async def revoke(_: Any, message: RevokeGrant) -> None:
            expected = AttemptId(message.attempt) in self.asking
            self.held.revoke(GrantId(message.grant), expected)

        @methods.add("grant.live", LiveGrantsQuery)
        async def live(_: Any, message: LiveGrantsQuery) -> LiveGrants:
            found = self.held.live(message.endpoint)
            return LiveGrants(found, self.view.self_node().node, self.reply_to())

    async def acquire(self, request: GrantRequest, on_revoke: OnRevoke = None) -> Grant | Refusal:
        """Wait for a slot; a refusal is always ``not_run``."""
        search = _Search(request, on_revoke, self.loop.now() + request.deadline_in_s)
        while True:
            order = self.choice.order(request, search.refused, self.loop.now())
            if not order or len(search.refused) >= MAX_REFUSALS:
                return no_endpoint(search.refused.values())
            grant = await self._try(search, order)
            if grant is not None:
                return grant
            if self.loop.now() + self.options.pause_s >= search.deadline_s:
                return not_run(RefusalKind.DEADLINE, "no slot came free: allow more time")
            await self.loop.sleep(self.options.pause_s)

    def release(self, grant: Grant, result: CallResult) -> None:
        """Give a slot back."""
        request = self.held.request(grant)
        if request is not None:
            self.held.release(grant, result)
            self.choice.ended(request, grant.endpoint, result, self.loop.now())

    async def _try(self, search: _Search, order: list[EndpointId]) -> Grant | None:
        """Try the endpoints in order until one gives a slot or turns the request away."""
        silent = 0
        for endpoint in order:
            home = self.homes.address(endpoint)
            if home is None or self.choice.is_silent(home, self.loop.now()):
                continue
            if silent >= MAX_SILENT:
                break
            answer = await self._ask(search, endpoint, home)
            if answer is None:
                return None
            if isinstance(answer, PeerFailure):
                silent += 1
                self.metrics.silent.inc()
                self.choice.mark_silent(home, self.loop.now() + self.options.silent_s)
                continue
            if answer.grant:
                return self._take(search, answer, home)
            if answer.refusal != RefusalReason.NOT_HOME.value:
                search.refused[endpoint] = answer
                return None
        return None if is_batch(search.request) else self._take_local(search, order)

    async def _ask(
        self, search: _Search, endpoint: EndpointId, home: Address
    ) -> GrantAnswer | PeerFailure | None:
        """Ask a home and wait in its queue; ``None`` if batch work should look elsewhere."""
        asking = _Asking(endpoint, home, self.loop.promise(), self.loop.promise())
        attempt = search.request.attempt
        self.asking[attempt] = asking
        answer: GrantAnswer | PeerFailure | None = None
        try:
            answer = await self._wait(search, asking)
        except TimedOut:
            answer = PeerFailure(PeerFailureKind.TIMEOUT, f"{home}: no answer")
        finally:
            del self.asking[attempt]
            if not isinstance(answer, GrantAnswer):
                self._abandon(asking, attempt)
        return answer

    async def _wait(self, search: _Search, asking: _Asking) -> GrantAnswer | PeerFailure | None:
        while True:
            self._send_ask(search, asking)
            await self.loop.within(self.options.answer_s, asking.heard)
            try:
                return await self.loop.within(self.options.ask_again_s, asking.settled)
            except TimedOut:
                if is_batch(search.request) and self._is_better_elsewhere(search, asking):
                    return None
                asking.heard = self.loop.promise()

    def _is_better_elsewhere(self, search: _Search, asking: _Asking) -> bool:
        order = self.choice.order(search.request, search.refused, self.loop.now())
        return bool(order) and order[0] != asking.endpoint

    def _abandon(self, asking: _Asking, attempt: AttemptId) -> None:
        """Withdraw an ask; a grant that has just come goes with it."""
        answer = asking.settled.value if asking.settled.done else None
        grant = answer.grant if isinstance(answer, GrantAnswer) else ""
        self.held.give_back(attempt, asking.endpoint, asking.home, grant)

    def _send_ask(self, search: _Search, asking: _Asking) -> None:
        left_s = search.deadline_s - self.loop.now()
        me = self.view.self_node()
        message = ask_message(search.request, asking.endpoint, me, self.reply_to(), left_s)
        limit_s = self.options.call_limit_s
        call = self.peers.call(asking.home, "grant.ask", message, GrantAnswer, limit_s)
        task: Task[GrantAnswer | PeerFailure] = self.loop.spawn(call, "ask grant")
        task.on_done(lambda done: self._on_reply(asking, done))

    def _on_reply(self, asking: _Asking, done: Promise[GrantAnswer | PeerFailure]) -> None:
        answer = done.result()
        if isinstance(answer, GrantAnswer):
            self._deliver(answer)
        else:
            asking.settled.resolve(answer)
            asking.heard.resolve(None)

    def _deliver(self, answer: GrantAnswer) -> None:
        """Hand an answer to its attempt; a grant that nobody waits for is given back."""
        endpoint = EndpointId(answer.endpoint)
        now = self.loop.now()
        self.choice.heard(endpoint, LoadHint(answer.load, answer.batch_load, now))
        asking = self.asking.get(AttemptId(answer.attempt))
        if asking is not None and asking.endpoint != endpoint:
            asking = None
        if asking is not None and not asking.settled.done:
            asking.heard.resolve(None)
            if not answer.queued:
                asking.settled.resolve(answer)
        elif answer.grant and not self._is_known(answer, asking):
            self.metrics.late.inc()
            self.held.give_back(AttemptId(answer.attempt), endpoint, None, answer.grant)

    def _is_known(self, answer: GrantAnswer, asking: _Asking | None) -> bool:
        settled = asking.settled.value if asking is not None else None
        waiting = isinstance(settled, GrantAnswer) and settled.grant == answer.grant
        return waiting or answer.grant in self.held

    def _take(self, search: _Search, answer: GrantAnswer, home: Address) -> Grant | None:
        endpoint = EndpointId(answer.endpoint)
        attempt = search.request.attempt
        settings = self.view.settings().fleet.endpoints.get(endpoint)
        if settings is None or self.held.was_revoked(answer.grant):
            self.held.give_back(attempt, endpoint, home, answer.grant)
            return None
        grant = Grant(GrantId(answer.grant), attempt, endpoint, settings.address)
        self.held.add(grant, search.request, home, search.on_revoke)
        return grant

    def _take_local(self, search: _Search, order: list[EndpointId]) -> Grant | None:
        """Take a slot of an endpoint whose home is silent."""
        for endpoint in order:
            settings = self.view.settings().fleet.endpoints.get(endpoint)
            home = self.homes.address(endpoint)
            silent = home is None or self.choice.is_silent(home, self.loop.now())
            full = self.held.own[endpoint] >= self.options.local_slots
            if settings is None or full or not silent:
                continue
            self.local_count += 1
            self.metrics.local.inc()
            name = GrantId(f"{self.view.self_node().node}.{self.boot}.local{self.local_count}")
            attempt = search.request.attempt
            grant = Grant(name, attempt, endpoint, settings.address, local=True)
            self.held.add(grant, search.request, None, search.on_revoke)
            return grant
        return None
