"""Forward callers' requests to endpoints: find the route, place, send, retry where that is safe."""

import logging
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any

import msgspec

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.ids import DomainName, EndpointId, RequestId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.forward_attempt import ForwardAttempt, ForwardContext, ResponseTimeouts
from parsleyrouter.process.forward_metrics import ForwardMetrics
from parsleyrouter.request.admission import Refuse, admit
from parsleyrouter.request.attempts import (
    AttemptFailure,
    AttemptHistory,
    GiveUp,
    RetryRules,
    decide_retry,
)
from parsleyrouter.request.forwarded_request import ForwardedRequest, end_to_end
from parsleyrouter.request.placement import choose_endpoint, queue_wait_s
from parsleyrouter.request.retry_budget import RetryBudget
from parsleyrouter.version.route_table import Route, RouteKind

__all__ = ["Forwarder", "send_refusal"]

MOST_SENDS = 4
"""Endpoints tried for one request, those included that refused it."""

RETRY_SHARE = 0.3
"""Retries allowed per request, so that a failing service is not loaded twice."""

LEAST_PATIENCE_S = 0.35
"""Shortest wait for a first byte before a repeatable request is tried elsewhere; it covers a
queue of a few requests."""

RESUME_GAP_S = 0.3
"""Longest silence within a resumable answer; an engine's step takes milliseconds, and what follows
must reach the caller before the pause counts as late."""

COME_BACK_S = 0.5
"""When to come back after a refusal that no load explains."""

log = logging.getLogger(__name__)


@dataclass
class _Story:
    """What is logged of one request."""

    endpoints: list[EndpointId] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    used: int = 0
    wait_s: float = 0.0
    first_s: float = 0.0


class Forwarder:
    """Answer requests on online routes."""

    def __init__(
        self,
        calls: ForwardContext,
        routes: ActiveRoutes,
        directory: EndpointDirectory,
        domain: DomainName,
        metrics: ForwardMetrics,
        random: Random,
    ) -> None:
        self.calls = calls
        self.loop = calls.loop
        self.routes = routes
        self.directory = directory
        self.domain = domain
        self.metrics = metrics
        self.random = random
        self.budget = RetryBudget(share=RETRY_SHARE)

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request of a caller."""
        found = self._read(exchange)
        if isinstance(found, Refusal):
            send_refusal(exchange, found)
            self._log(exchange, None, found, _Story())
            return
        story = _Story()
        outcome = await self._forward(exchange, found, story)
        if outcome is None:
            exchange.finish()
        elif exchange.headers_sent or exchange.disconnected:
            exchange.abort()
        else:
            send_refusal(exchange, outcome)
        self._log(exchange, found, outcome, story)

    def _read(self, exchange: CallerExchange) -> ForwardedRequest | Refusal:
        table = self.routes.table
        if table is None:
            message = "no routes are known yet: try another entry"
            return Refusal(
                RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, COME_BACK_S
            )
        head, names = exchange.head, self.calls.names
        host = head.headers.get("host", "").partition(":")[0]
        route = table.find(host, head.path)
        if route is None:
            message = f"no route begins {head.path}: see the routes in force"
            return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
        allowed_s = min(route.timeout_s, _deadline_s(head.headers.get(names.deadline_ms)))
        connection = head.headers.get("connection", "")
        return ForwardedRequest(
            request=RequestId(head.headers.get(names.request, "")),
            route=route,
            service=route.pick_service(self.random),
            method=head.method,
            target=f"{head.path}?{head.query}" if head.query else head.path,
            headers=end_to_end(head.raw, connection, names.kept()),
            body=exchange.body,
            received_s=exchange.received_s,
            deadline_s=exchange.received_s + allowed_s,
        )

    async def _forward(
        self, exchange: CallerExchange, request: ForwardedRequest, story: _Story
    ) -> Refusal | None:
        """Try endpoints until the answer is whole; return why it is not."""
        route = request.route
        rules = RetryRules(route.repeatable, most=MOST_SENDS, max_executions=route.max_executions)
        history = AttemptHistory()
        last_event = ""
        self.budget.count_request(self.loop.now())
        while True:
            entry = self._place(request, history, story)
            if isinstance(entry, Refusal):
                return replace(entry, ran=max(entry.ran, history.ran, key=_RAN_ORDER.index))
            last = history.runs + 1 >= rules.max_executions
            attempt = ForwardAttempt(
                self.calls,
                request,
                entry,
                exchange,
                self._patience(request, exchange.headers_sent, last),
                headers_sent=exchange.headers_sent,
                last_event=last_event,
                may_retry=not last,
            )
            attempt.on_first = lambda: self._first(request, story)
            story.endpoints.append(entry.endpoint)
            exchange.on_disconnect = attempt.cancel
            failure = await attempt.run()
            last_event = attempt.last_event
            if failure is None:
                return None
            story.failures.append(f"{failure.failed_at.value}: {failure.message}")
            if exchange.disconnected:
                return Refusal(
                    RefusalKind.CANCELLED, "the caller went away", ExecutionStatus.UNKNOWN
                )
            step = decide_retry(
                rules,
                history,
                failure,
                remaining_s=request.deadline_s - self.loop.now(),
                take_retry=partial(self._take_retry, failure),
            )
            if isinstance(step, GiveUp):
                return step.refusal
            history = step.history
            self.metrics.retries.labels(failure.failed_at.value).inc()

    def _take_retry(self, failure: AttemptFailure) -> bool:
        return failure.response_started or self.budget.try_withdraw(self.loop.now())

    def _place(
        self, request: ForwardedRequest, history: AttemptHistory, story: _Story
    ) -> RegisteredEndpoint | Refusal:
        """Return the endpoint to send to, or why the request is refused."""
        now = self.loop.now()
        loads = self.calls.loads
        entries = {
            entry.endpoint: entry
            for entry in self.directory.available_for(request.service)
            if entry.endpoint not in history.endpoints
        }
        best = choose_endpoint(loads.candidates(entries.values(), now), self.domain, self.random)
        if best is None:
            message = "no endpoint of the service is known: come again"
            return Refusal(RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, COME_BACK_S)
        service_s = loads.typical_service_s(request.service)
        story.used, story.wait_s = best.used, queue_wait_s(best, service_s)
        verdict = admit(
            wait_s=story.wait_s,
            target_s=request.route.latency_target_s,
            left_s=request.deadline_s - now,
            allowed_s=request.route.timeout_s,
            spread=self.random.random(),
        )
        if isinstance(verdict, Refuse) and not history.runs:
            message = f"all endpoints are busy for {story.wait_s:.2f} s: come again"
            return Refusal(
                RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, verdict.retry_after_s
            )
        return entries[best.endpoint]

    def _patience(
        self, request: ForwardedRequest, headers_sent: bool, last: bool
    ) -> ResponseTimeouts:
        """Return how long to wait; where no other endpoint may be tried, until the deadline."""
        left_s = max(0.0, request.deadline_s - self.loop.now())
        if last or not request.route.repeatable:
            return ResponseTimeouts(left_s, left_s)
        usual_s = 4 * self.calls.loads.typical_service_s(request.service)
        if request.route.kind is RouteKind.SAFE:
            first_s = min(left_s / 2, max(LEAST_PATIENCE_S, usual_s))
            return ResponseTimeouts(first_s, first_s)
        first_s = RESUME_GAP_S if headers_sent else max(LEAST_PATIENCE_S, left_s / 3)
        return ResponseTimeouts(min(left_s, first_s), min(left_s, RESUME_GAP_S))

    def _first(self, request: ForwardedRequest, story: _Story) -> None:
        story.first_s = self.loop.now() - request.received_s
        self.metrics.first_byte.labels(request.route.kind.value).observe(story.first_s)

    def _log(
        self,
        exchange: CallerExchange,
        request: ForwardedRequest | None,
        outcome: Refusal | None,
        story: _Story,
    ) -> None:
        now = self.loop.now()
        route: Route | None = request.route if request else None
        kind = route.kind.value if route else "none"
        word = "answered" if outcome is None else outcome.kind.value
        self.metrics.requests.labels(kind, word).inc()
        fields: dict[str, Any] = {
            "request": exchange.head.headers.get(self.calls.names.request, ""),
            "route": route.name if route else "",
            "outcome": word,
            "endpoints": story.endpoints,
            "used": story.used,
            "wait_s": round(story.wait_s, 3),
            "first_s": round(story.first_s, 3),
            "took_s": round(now - exchange.received_s, 3),
            "routes_version": self.routes.version,
        }
        if outcome is None:
            log.info("request answered", extra=fields)
            return
        fields |= {"reason": outcome.message, "ran": outcome.ran.value}
        fields["failures"] = story.failures
        log.warning("request failed", extra=fields)


_RAN_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)
LONGEST_DEADLINE_S = 3600.0


def send_refusal(exchange: CallerExchange, refusal: Refusal) -> None:
    """Answer with a refusal; only one that has not run and never will gets 429 or 503."""
    status = refusal.status
    if refusal.ran is not ExecutionStatus.NOT_RUN and status in (429, 503):
        status = 502
    elif refusal.ran is ExecutionStatus.NOT_RUN and status in (502, 504):
        status = 503
    headers = [(b"Content-Type", JSON_TYPE.encode())]
    if status in (429, 503):
        after_s = refusal.retry_after_s if refusal.retry_after_s is not None else COME_BACK_S
        headers.append((b"Retry-After", b"%.3f" % after_s))
    exchange.reply(status, headers, msgspec.json.encode(refusal.body()))


def _deadline_s(given: str | None) -> float:
    """Return what a caller allows; a value that cannot be read sets no limit of its own."""
    try:
        value = float(given) / 1000 if given else LONGEST_DEADLINE_S
    except ValueError:
        return LONGEST_DEADLINE_S
    return value if value > 0 else LONGEST_DEADLINE_S
