"""Forward callers' requests: find the route, choose an endpoint, send, retry where that is safe."""

from dataclasses import replace
from functools import partial
from random import Random

import msgspec

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.contention import QueueShares
from parsleyrouter.customers import Customer
from parsleyrouter.ids import CustomerName, DomainName
from parsleyrouter.limits.port import RequestLimiter, RequestPermit
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.caller_identity import CallerIdentity
from parsleyrouter.process.endpoint_chooser import RETRY_AFTER_S, EndpointChooser
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.forward_attempt import ForwardAttempt
from parsleyrouter.process.forward_context import ForwardContext, ResponseTimeouts
from parsleyrouter.process.forward_metrics import ForwardMetrics
from parsleyrouter.process.request_log import RequestTrace, log_request
from parsleyrouter.process.request_parser import ParsedRequest, RequestParser
from parsleyrouter.process.stop_gate import StopGate
from parsleyrouter.request.admission import is_retry
from parsleyrouter.request.attempts import (
    AttemptFailure,
    AttemptHistory,
    GiveUp,
    RetryRules,
    decide_retry,
)
from parsleyrouter.request.forwarded_request import ForwardedRequest
from parsleyrouter.request.retry_budget import RetryBudget
from parsleyrouter.version.route_table import RouteKind

__all__ = ["Forwarder", "send_refusal"]

MAX_ENDPOINTS_PER_REQUEST = 4
"""Maximum endpoints tried for one request, including those that refused it."""

RETRY_SHARE = 0.3
"""Retries allowed per request, so that retries don't double the load of a failing service."""

MIN_FIRST_BYTE_TIMEOUT_S = 0.35
"""Minimum timeout for the first byte before a repeatable request is retried elsewhere; it covers a
queue of a few requests."""

RESUMABLE_READ_TIMEOUT_S = 0.3
"""Read timeout within a resumable response; an engine's step takes milliseconds, and the resumed
stream must reach the caller before the pause counts as late."""


class Forwarder:
    """Forward requests on online routes."""

    def __init__(
        self,
        context: ForwardContext,
        routes: ActiveRoutes,
        directory: EndpointDirectory,
        domain: DomainName,
        metrics: ForwardMetrics,
        random: Random,
        gate: StopGate,
        identity: CallerIdentity,
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.routes = routes
        self.parser = RequestParser(routes, context.names, identity, context.shared_parts, random)
        self.chooser = EndpointChooser(directory, context.loads, domain, random)
        self.metrics = metrics
        self.random = random
        self.gate = gate
        self.budget = RetryBudget(share=RETRY_SHARE)
        self.limiter: RequestLimiter | None = None
        """Grants the requests of customers that have a limit."""
        self.shares = QueueShares()

    async def handle(self, exchange: CallerExchange) -> None:
        """Forward one request of a caller and send the response or a refusal."""
        parsed = self.parser.parse(exchange)
        trace = RequestTrace()
        if isinstance(parsed, Refusal):
            send_refusal(exchange, parsed)
            self._log(exchange, None, parsed, trace)
            return
        request = parsed.request
        outcome = self.gate.refuse_request(request.deadline_s)
        if outcome is None:
            outcome = await self._forward_permitted(exchange, parsed, trace)
        if outcome is None:
            exchange.finish()
        elif exchange.headers_sent or exchange.disconnected:
            exchange.abort()
        else:
            send_refusal(exchange, outcome)
        self._log(exchange, request, outcome, trace)

    async def _forward_permitted(
        self, exchange: CallerExchange, parsed: ParsedRequest, trace: RequestTrace
    ) -> Refusal | None:
        """Forward a request within the limit of its customer; return a refusal if it fails."""
        began_s = self.loop.now()
        left_s = parsed.request.deadline_s - began_s
        returning = is_retry(left_s, parsed.request.route.timeout_s)
        permit = await self._acquire_permit(parsed, left_s, returning=returning)
        if isinstance(permit, Refusal):
            return permit
        try:
            if exchange.disconnected:
                return _cancelled()
            usage = 0.0 if permit is None else permit.usage
            request = replace(
                parsed.request,
                waited_s=self.loop.now() - began_s,
                wait_share=self._wait_share(parsed, usage, returning=returning),
            )
            return await self._forward(exchange, request, trace)
        finally:
            if permit is not None and not trace.sent:
                permit.give_back()

    async def _acquire_permit(
        self, parsed: ParsedRequest, left_s: float, *, returning: bool
    ) -> RequestPermit | Refusal | None:
        """Return the permit of a request whose customer is limited, or why it is refused."""
        customer = parsed.customer
        if self.limiter is None or customer is None or not customer.limited:
            return None
        return await self.limiter.acquire(customer.name, left_s=left_s, returning=returning)

    def _wait_share(self, parsed: ParsedRequest, usage: float, *, returning: bool) -> float | None:
        """Return the share of the wait that a request may take, if customers compete for room."""
        table = self.routes.table
        if table is None or not table.customers:
            return None
        return self.shares.share(
            parsed.customer or _WITHOUT_KEY,
            usage=usage,
            less_urgent=parsed.request.route.priority - table.most_urgent,
            returning=returning,
            draw=self.random.random(),
            now=self.loop.now(),
        )

    async def _forward(
        self, exchange: CallerExchange, request: ForwardedRequest, trace: RequestTrace
    ) -> Refusal | None:
        """Try endpoints until a response is complete; return a refusal if none is."""
        route = request.route
        rules = RetryRules(
            route.repeatable,
            attempt_limit=MAX_ENDPOINTS_PER_REQUEST,
            max_executions=route.max_executions,
        )
        history = AttemptHistory()
        last_event = ""
        self.budget.count_request(self.loop.now())
        while True:
            chosen = self._choose(request, history, trace, exchange.headers_sent)
            if isinstance(chosen, Refusal):
                return replace(chosen, ran=max(chosen.ran, history.ran, key=_EXECUTION_ORDER.index))
            is_last = history.runs + 1 >= rules.max_executions
            attempt = ForwardAttempt(
                self.context,
                request,
                chosen,
                exchange,
                self._timeouts(request, exchange.headers_sent, is_last),
                headers_sent=exchange.headers_sent,
                last_event=last_event,
                may_retry=not is_last,
            )
            attempt.on_first_byte = lambda: self._record_first_byte(request, trace)
            trace.endpoints.append(chosen.endpoint)
            exchange.on_disconnect = attempt.cancel
            try:
                failure = await attempt.run()
            finally:
                trace.sent = trace.sent or attempt.running.sent
            last_event = attempt.last_event
            if failure is None:
                return None
            trace.failures.append(f"{failure.failed_at.value}: {failure.message}")
            if exchange.disconnected:
                return _cancelled()
            step = decide_retry(
                rules,
                history,
                failure,
                remaining_s=request.deadline_s - self.loop.now(),
                take_retry=partial(self._acquire_retry, failure),
            )
            if isinstance(step, GiveUp):
                return step.refusal
            history = step.history
            self.metrics.retries.labels(failure.failed_at.value).inc()

    def _choose(
        self,
        request: ForwardedRequest,
        history: AttemptHistory,
        trace: RequestTrace,
        headers_sent: bool,
    ) -> RegisteredEndpoint | Refusal:
        """Choose an endpoint; a stopping node retries only what ends before it exits.

        A response that has begun is resumed all the same: its caller loses nothing by that.
        """
        stopping = None
        if history.failed and not headers_sent:
            stopping = self.gate.refuse_request(request.deadline_s)
        keeper = self.context.crashes.keeper
        refusal = stopping or keeper.refusal(request.traits)
        if refusal is not None:
            return refusal
        chosen = self.chooser.choose(request, history, trace, self.loop.now())
        if isinstance(chosen, Refusal):
            keeper.end_trial(request.traits, began=False)
        return chosen

    def _acquire_retry(self, failure: AttemptFailure) -> bool:
        return failure.response_started or self.budget.try_withdraw(self.loop.now())

    def _timeouts(
        self, request: ForwardedRequest, headers_sent: bool, is_last: bool
    ) -> ResponseTimeouts:
        """Return the read timeouts; the deadline if no other endpoint may be tried."""
        remaining_s = max(0.0, request.deadline_s - self.loop.now())
        if is_last or not request.route.repeatable:
            return ResponseTimeouts(remaining_s, remaining_s)
        typical_s = 4 * self.context.loads.typical_service_s(request.service)
        if request.route.kind is RouteKind.SAFE:
            first_byte_s = min(remaining_s / 2, max(MIN_FIRST_BYTE_TIMEOUT_S, typical_s))
            return ResponseTimeouts(first_byte_s, first_byte_s)
        first_byte_s = (
            RESUMABLE_READ_TIMEOUT_S
            if headers_sent
            else max(MIN_FIRST_BYTE_TIMEOUT_S, remaining_s / 3)
        )
        return ResponseTimeouts(
            min(remaining_s, first_byte_s), min(remaining_s, RESUMABLE_READ_TIMEOUT_S)
        )

    def _record_first_byte(self, request: ForwardedRequest, trace: RequestTrace) -> None:
        trace.first_byte_s = self.loop.now() - request.received_s
        self.metrics.first_byte.labels(request.route.kind.value).observe(trace.first_byte_s)

    def _log(
        self,
        exchange: CallerExchange,
        request: ForwardedRequest | None,
        outcome: Refusal | None,
        trace: RequestTrace,
    ) -> None:
        log_request(
            self.context.names.request,
            self.metrics,
            exchange,
            request,
            outcome,
            trace,
            took_s=self.loop.now() - exchange.received_s,
            routes_version=self.routes.version,
        )


_WITHOUT_KEY = Customer(CustomerName(""))
"""All callers without a customer, on anonymous routes."""

_EXECUTION_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)


def _cancelled() -> Refusal:
    return Refusal(RefusalKind.CANCELLED, "the caller disconnected", ExecutionStatus.UNKNOWN)


def send_refusal(exchange: CallerExchange, refusal: Refusal) -> None:
    """Send a refusal; 429 and 503 are reserved for requests that have not run and never will."""
    status = refusal.status
    if refusal.ran is not ExecutionStatus.NOT_RUN and status in (429, 503):
        status = 502
    elif refusal.ran is ExecutionStatus.NOT_RUN and status in (502, 504):
        status = 503
    headers = [(b"Content-Type", JSON_TYPE.encode())]
    if status in (429, 503):
        after_s = refusal.retry_after_s if refusal.retry_after_s is not None else RETRY_AFTER_S
        headers.append((b"Retry-After", b"%.3f" % after_s))
    exchange.reply(status, headers, msgspec.json.encode(refusal.body()))
