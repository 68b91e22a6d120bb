"""Get slots from the home schedulers: the client side of grants.

``GrantClient(runtime, view, reply_to)`` is the port ``Grants``. ``reply_to`` returns the address of
a ``PeerServer`` of this process on whose methods ``add_grant_methods`` was called::

    methods = PeerMethods()
    server = PeerServer(runtime.loop, options.peer, methods, None).register(runtime)
    grants = GrantClient(runtime, view, server.bound_address)
    grants.add_grant_methods(methods)
"""

import logging
import secrets
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from prometheus_client import Counter

from parsleyrouter.connection.peer import PeerFailure, PeerFailureKind, PeerMethods
from parsleyrouter.ids import Address, AttemptId, DomainName, EndpointId, GrantId
from parsleyrouter.outcome import Ran, Refusal, RefusalKind
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.loop import Cancelled, Promise, Task, TimedOut
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.slot_events import RefusalReason
from parsleyrouter.process.view import FleetView
from parsleyrouter.request.homes import home_address
from parsleyrouter.request.routing import Candidate, in_order, model_labels, serves
from parsleyrouter.thrift_gen.grants.ttypes import (
    AskGrant,
    GrantAnswer,
    LiveGrant,
    LiveGrants,
    LiveGrantsQuery,
    ReleaseGrant,
    RenewAnswer,
    RenewGrants,
    RevokeGrant,
)
from parsleyrouter.version.schema import EndpointSettings, KindClass

__all__ = ["GrantClient", "GrantOptions"]

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class GrantOptions:
    """Times of the client in seconds, and how much it dispatches without a scheduler."""

    answer_s: float = 0.05
    call_limit_s: float = 5.0
    silent_s: float = 1.0
    ask_again_s: float = 1.0
    renew_every_s: float = 0.4
    batch_lease_s: float = 1.5
    pause_s: float = 0.05
    hint_s: float = 1.0
    local_slots: int = 2


@dataclass
class _Held:
    grant: Grant
    request: GrantRequest
    home: Address | None
    renewed_s: float
    on_revoke: Callable[[], None] | None


@dataclass
class _Asking:
    endpoint: EndpointId
    heard: Promise[None]
    settled: Promise[GrantAnswer | PeerFailure]


@dataclass
class _Hint:
    load: float
    batch_load: float
    at_s: float


@dataclass
class _Search:
    """The state of one ``acquire``."""

    request: GrantRequest
    deadline_s: float
    refused: dict[EndpointId, GrantAnswer] = field(default_factory=dict)


class GrantClient:
    """Choose endpoints, ask their homes, keep grants alive and give them back."""

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
        self.random = random or Random()
        self.boot = secrets.token_hex(4)
        self.local_count = 0
        self.held: dict[GrantId, _Held] = {}
        self.asking: dict[AttemptId, _Asking] = {}
        self.own: Tally[EndpointId] = Tally()
        self.hints: dict[EndpointId, _Hint] = {}
        self.silent: dict[Address, float] = {}
        self.revoked_early: dict[GrantId, float] = {}
        self.late = Counter(
            "parsley_late_grants", "Grants that came too late", registry=runtime.metrics
        )
        self.locals = Counter(
            "parsley_local_grants", "Dispatches without a scheduler", registry=runtime.metrics
        )
        self.loop.spawn(self._keep_renewing(), "renew grants")

    def add_grant_methods(self, methods: PeerMethods) -> None:
        """Register what schedulers call on this process."""

        @methods.add("grant.answer", GrantAnswer)
        async def answer(_: Any, message: GrantAnswer) -> None:
            self._deliver(message)

        @methods.add("grant.revoke", RevokeGrant)
        async def revoke(_: Any, message: RevokeGrant) -> None:
            self._on_revoke(message)

        @methods.add("grant.live", LiveGrantsQuery)
        async def live(_: Any, message: LiveGrantsQuery) -> LiveGrants:
            found = [self._live(held) for held in self.held.values()]
            chosen = [grant for grant in found if grant.endpoint == message.endpoint]
            return LiveGrants(chosen, str(self.view.self_node().node), self.reply_to())

    async def acquire(
        self, request: GrantRequest, on_revoke: Callable[[], None] | None = None
    ) -> Grant | Refusal:
        """Wait for a slot; a refusal is always ``not_run``."""
        search = _Search(request, self.loop.now() + request.deadline_in_s)
        while True:
            order = self._order(search)
            if not order:
                return self._no_endpoint(search)
            outcome = await self._try_in_order(search, order, on_revoke)
            if outcome is not None:
                return outcome
            if self.loop.now() + self.options.pause_s >= search.deadline_s:
                return _refusal(RefusalKind.DEADLINE, "no slot came free in time", 1.0)
            await self.loop.sleep(self.options.pause_s)

    def release(self, grant: Grant, result: CallResult) -> None:
        """Give a slot back."""
        held = self.held.pop(grant.grant, None)
        if held is None:
            return
        self.own[grant.endpoint] -= 1
        message = ReleaseGrant(
            grant=grant.grant,
            attempt=grant.attempt,
            endpoint=grant.endpoint,
            ok=result.ok,
            endpoint_at_fault=result.endpoint_at_fault,
            ttft_s=result.ttft_s,
            output_tokens=result.output_tokens,
        )
        homes = {held.home, home_address(grant.endpoint, self.view.nodes())}
        for home in homes:
            if home is not None and not (grant.local and held.home is None):
                self.peers.tell(home, "grant.release", message)

    def _order(self, search: _Search) -> list[EndpointId]:
        request = search.request
        settings = self.view.settings()
        team = settings.teams.get(request.team)
        labels = model_labels(request.model, team.models.get(request.model) if team else None)
        candidates = [
            Candidate(
                EndpointId(name), DomainName(endpoint.domain), self._load(name, endpoint, request)
            )
            for name, endpoint in settings.fleet.endpoints.items()
            if name not in request.exclude
            and name not in search.refused
            and serves(endpoint, request, labels)
        ]
        return in_order(candidates, self.view.self_node().domain, self.random)

    def _load(self, name: str, endpoint: EndpointSettings, request: GrantRequest) -> float:
        own = self.own[EndpointId(name)] / endpoint.slots
        hint = self.hints.get(EndpointId(name))
        if hint is None or self.loop.now() - hint.at_s > self.options.hint_s:
            return own
        batch = request.kind_class is KindClass.BATCH
        return max(own, hint.batch_load) if batch else hint.load

    async def _try_in_order(
        self,
        search: _Search,
        order: list[EndpointId],
        on_revoke: Callable[[], None] | None,
    ) -> Grant | Refusal | None:
        for endpoint in order:
            home = home_address(endpoint, self.view.nodes())
            if home is None or self._is_silent(home):
                continue
            answer = await self._ask(search, endpoint, home)
            if isinstance(answer, PeerFailure):
                self.silent[home] = self.loop.now() + self.options.silent_s
                continue
            if answer.grant:
                grant = self._take(search.request, answer, home, on_revoke)
                if grant is not None:
                    return grant
                continue
            if answer.refusal != RefusalReason.NOT_HOME.value:
                search.refused[endpoint] = answer
        if search.request.kind_class is KindClass.BATCH:
            return None
        return self._take_local(search, order, on_revoke)

    async def _ask(
        self, search: _Search, endpoint: EndpointId, home: Address
    ) -> GrantAnswer | PeerFailure:
        """Ask a home and wait in its queue; withdraw unless it answers with a grant or refusal."""
        attempt = search.request.attempt
        asking = _Asking(endpoint, self.loop.promise(), self.loop.promise())
        self.asking[attempt] = asking
        try:
            while True:
                self._send_ask(search, asking, home)
                await self.loop.within(self.options.answer_s, asking.heard)
                try:
                    return await self.loop.within(self.options.ask_again_s, asking.settled)
                except TimedOut:
                    asking.heard = self.loop.promise()
        except TimedOut:
            self._withdraw(attempt, endpoint, home)
            return PeerFailure(PeerFailureKind.TIMEOUT, f"{home}: no answer")
        except Cancelled:
            self._withdraw(attempt, endpoint, home)
            raise
        finally:
            if self.asking.get(attempt) is asking:
                del self.asking[attempt]

    def _send_ask(self, search: _Search, asking: _Asking, home: Address) -> None:
        request = search.request
        message = AskGrant(
            attempt=request.attempt,
            node=str(self.view.self_node().node),
            reply_to=self.reply_to(),
            endpoint=asking.endpoint,
            team=request.team,
            kind=request.kind,
            batch=request.kind_class is KindClass.BATCH,
            weight=request.weight,
            deadline_in_s=max(0.0, search.deadline_s - self.loop.now()),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            job=request.job,
            slack_s=request.slack_s,
        )
        limit_s = self.options.call_limit_s
        call = self.peers.call(home, "grant.ask", message, GrantAnswer, limit_s)
        task: Task[GrantAnswer | PeerFailure] = self.loop.spawn(call, "ask grant")
        task.on_done(lambda done: self._on_answer(asking, done))

    def _on_answer(self, asking: _Asking, done: Promise[GrantAnswer | PeerFailure]) -> None:
        answer = done.result()
        if isinstance(answer, GrantAnswer):
            self._deliver(answer)
            return
        asking.settled.resolve(answer)
        asking.heard.resolve(None)

    def _deliver(self, answer: GrantAnswer) -> None:
        """Hand an answer to its attempt; a grant that nobody waits for is given back."""
        endpoint = EndpointId(answer.endpoint)
        self.hints[endpoint] = _Hint(answer.load, answer.batch_load, self.loop.now())
        asking = self.asking.get(AttemptId(answer.attempt))
        if asking is not None and asking.endpoint == endpoint and not asking.settled.done:
            asking.heard.resolve(None)
            if not answer.queued:
                asking.settled.resolve(answer)
        elif answer.grant and not self._is_expected(answer, asking):
            self.late.inc()
            home = home_address(endpoint, self.view.nodes())
            if home is not None:
                self._withdraw(AttemptId(answer.attempt), endpoint, home, answer.grant)

    def _is_expected(self, answer: GrantAnswer, asking: _Asking | None) -> bool:
        if answer.grant in self.held:
            return True
        if asking is None or not asking.settled.done or asking.endpoint != answer.endpoint:
            return False
        settled = asking.settled.value
        return isinstance(settled, GrantAnswer) and settled.grant == answer.grant

    def _withdraw(
        self, attempt: AttemptId, endpoint: EndpointId, home: Address, grant: str = ""
    ) -> None:
        message = ReleaseGrant(
            grant=grant,
            attempt=attempt,
            endpoint=endpoint,
            ok=False,
            endpoint_at_fault=False,
            ttft_s=0.0,
            output_tokens=0,
        )
        self.peers.tell(home, "grant.release", message)

    def _take(
        self,
        request: GrantRequest,
        answer: GrantAnswer,
        home: Address,
        on_revoke: Callable[[], None] | None,
    ) -> Grant | None:
        endpoint = EndpointId(answer.endpoint)
        settings = self.view.settings().fleet.endpoints.get(endpoint)
        revoked = self.revoked_early.pop(GrantId(answer.grant), None) is not None
        if settings is None or revoked:
            self._withdraw(request.attempt, endpoint, home, answer.grant)
            return None
        grant = Grant(GrantId(answer.grant), request.attempt, endpoint, settings.address)
        self._hold(grant, request, home, on_revoke)
        return grant

    def _take_local(
        self,
        search: _Search,
        order: list[EndpointId],
        on_revoke: Callable[[], None] | None,
    ) -> Grant | None:
        endpoints = self.view.settings().fleet.endpoints
        for endpoint in order:
            home = home_address(endpoint, self.view.nodes())
            answering = home is not None and not self._is_silent(home)
            if answering or endpoint in search.refused or endpoint not in endpoints:
                continue
            if self.own[endpoint] >= self.options.local_slots:
                continue
            self.local_count += 1
            self.locals.inc()
            name = GrantId(f"{self.view.self_node().node}.{self.boot}.local{self.local_count}")
            address = endpoints[endpoint].address
            grant = Grant(name, search.request.attempt, endpoint, address, local=True)
            self._hold(grant, search.request, None, on_revoke)
            return grant
        return None

    def _hold(
        self,
        grant: Grant,
        request: GrantRequest,
        home: Address | None,
        on_revoke: Callable[[], None] | None,
    ) -> None:
        self.held[grant.grant] = _Held(grant, request, home, self.loop.now(), on_revoke)
        self.own[grant.endpoint] += 1

    def _on_revoke(self, message: RevokeGrant) -> None:
        held = self.held.get(GrantId(message.grant))
        if held is not None:
            self._notify(held)
        elif message.attempt in self.asking:
            self.revoked_early[GrantId(message.grant)] = self.loop.now()

    def _notify(self, held: _Held) -> None:
        callback, held.on_revoke = held.on_revoke, None
        if callback is not None:
            callback()

    async def _keep_renewing(self) -> None:
        while True:
            await self.loop.sleep(self.options.renew_every_s)
            self._renew_all()
            self._forget_old()

    def _renew_all(self) -> None:
        nodes = self.view.nodes()
        by_home: dict[Address, list[_Held]] = {}
        for held in self.held.values():
            home = home_address(held.grant.endpoint, nodes)
            if home is not None:
                by_home.setdefault(home, []).append(held)
        for home, group in by_home.items():
            self.loop.spawn(self._renew(home, group), "renew grants")

    async def _renew(self, home: Address, group: list[_Held]) -> None:
        asked_s = self.loop.now()
        node = str(self.view.self_node().node)
        message = RenewGrants(node, [self._live(held) for held in group], self.reply_to())
        limit_s = self.options.batch_lease_s
        answer = await self.peers.call(home, "grant.renew", message, RenewAnswer, limit_s)
        if isinstance(answer, PeerFailure):
            return
        lapsed = set(answer.lapsed)
        for held in group:
            if held.grant.grant not in lapsed:
                held.home = home
                held.renewed_s = max(held.renewed_s, asked_s)
            elif held.request.kind_class is KindClass.BATCH:
                self._notify(held)

    def _forget_old(self) -> None:
        """Give up batch grants that no home has renewed in time."""
        now = self.loop.now()
        for held in list(self.held.values()):
            batch = held.request.kind_class is KindClass.BATCH
            if batch and now - held.renewed_s > self.options.batch_lease_s:
                self._notify(held)
        oldest_s = now - self.options.call_limit_s
        self.revoked_early = {g: at for g, at in self.revoked_early.items() if at > oldest_s}

    def _live(self, held: _Held) -> LiveGrant:
        request = held.request
        return LiveGrant(
            grant=held.grant.grant,
            attempt=request.attempt,
            batch=request.kind_class is KindClass.BATCH,
            endpoint=held.grant.endpoint,
            team=request.team,
            job=request.job,
            weight=request.weight,
            kind=request.kind,
        )

    def _is_silent(self, home: Address) -> bool:
        return self.silent.get(home, 0.0) > self.loop.now()

    def _no_endpoint(self, search: _Search) -> Refusal:
        if not search.refused:
            return _refusal(
                RefusalKind.OVERLOADED,
                "no endpoint serves this now: check the model's name and the fleet's endpoints",
                1.0,
            )
        answer = next(iter(search.refused.values()))
        if answer.refusal == RefusalReason.DEADLINE.value:
            message = "the deadline cannot be met: try again later or allow more time"
            return _refusal(RefusalKind.DEADLINE, message, answer.retry_after_s)
        return _refusal(RefusalKind.OVERLOADED, "endpoints are full: try again later", 1.0)


def _refusal(kind: RefusalKind, message: str, retry_after_s: float) -> Refusal:
    return Refusal(kind, message, Ran.NOT_RUN, retry_after_s=retry_after_s)
