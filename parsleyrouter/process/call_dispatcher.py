"""Dispatch calls: acquire a slot, send directly to the endpoint, retry where that is safe."""

import itertools
import logging
import secrets
from collections.abc import Callable

from parsleyrouter.connection.call_client import CallClient
from parsleyrouter.ids import AttemptId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.attempt import Attempt
from parsleyrouter.process.call_metrics import CallMetrics
from parsleyrouter.process.call_port import Call, CallSink, Preempted, Reply
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_port import GrantProvider, GrantRequest
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.request.attempts import (
    AttemptFailure,
    AttemptHistory,
    GiveUp,
    RetryRules,
    decide_retry,
    refusal_after,
)
from parsleyrouter.request.deadline import Deadline
from parsleyrouter.request.response_sink import BufferedResponse, ResponseSink, StreamedResponse
from parsleyrouter.request.retry_budget import RetryBudget
from parsleyrouter.version.schema import KindClass

__all__ = ["CallDispatcher"]

log = logging.getLogger(__name__)


class CallDispatcher:
    """Run calls in the slots that ``grants`` provides; implements ``CallExecutor``.

    Construct one per process: ``CallDispatcher(runtime, grants, view)``.
    """

    def __init__(self, runtime: Runtime, grants: GrantProvider, view: FleetView) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.http = CallClient(runtime.loop, runtime.connector)
        self.grants = grants
        self.view = view
        self.budget = RetryBudget()
        self.metrics = CallMetrics.of(runtime.metrics)
        self.nonce = secrets.token_hex(3)
        self.numbers = itertools.count(1)

    async def run(
        self, call: Call, *, on_dispatch: Callable[[], None] | None = None
    ) -> Reply | Refusal | Preempted:
        """Run a call to its complete response; call ``on_dispatch`` before sending each attempt."""
        response = BufferedResponse()
        outcome = await self._run(call, response, on_dispatch)
        return response.reply() if outcome is None else outcome

    async def stream(self, call: Call, sink: CallSink) -> None | Refusal:
        """Run a call and stream its response; return ``None`` if the response was complete."""
        outcome = await self._run(call, StreamedResponse(sink), None)
        if isinstance(outcome, Preempted):
            message = "the slot was preempted by online work: try again"
            return Refusal(
                RefusalKind.OVERLOADED, message, ExecutionStatus.UNKNOWN, retry_after_s=1.0
            )
        return outcome

    async def _run(
        self, call: Call, response: ResponseSink, on_dispatch: Callable[[], None] | None
    ) -> None | Refusal | Preempted:
        self.metrics.open.inc()
        outcome: None | Refusal | Preempted = Preempted()
        label = "gone"
        try:
            outcome = await self._run_attempts(call, response, on_dispatch)
            label = _label(outcome)
            return outcome
        finally:
            self.metrics.open.dec()
            self.metrics.calls.labels(call.settings.kind_class.value, label).inc()

    async def _run_attempts(
        self, call: Call, response: ResponseSink, on_dispatch: Callable[[], None] | None
    ) -> None | Refusal | Preempted:
        deadline = Deadline(self.loop.now() + call.deadline_in_s)
        rules = RetryRules(call.settings.idempotent)
        history = AttemptHistory()
        self.budget.share = self.view.settings().fleet.policy.retry_share
        self.budget.count_request(self.loop.now())
        resume_token = call.resume_token
        while True:
            attempt = Attempt(self, call, self._attempt_id(call), response, deadline, resume_token)
            end = await self._run_attempt(attempt, history, on_dispatch)
            if isinstance(end, Refusal):
                return refusal_after(history, end)
            if not isinstance(end, AttemptFailure):
                return end
            self._log_failure(attempt, end)
            step = decide_retry(
                rules,
                history,
                end,
                remaining_s=(
                    1.0 if response.response_started else deadline.remaining_s(self.loop.now())
                ),
                take_retry=lambda: self.budget.try_withdraw(self.loop.now()),
            )
            if isinstance(step, GiveUp):
                return step.refusal
            self.metrics.retries.inc()
            if response.response_started:
                self.metrics.resumed.inc()
            history, resume_token = step.history, attempt.resume_token

    async def _run_attempt(
        self, attempt: Attempt, history: AttemptHistory, on_dispatch: Callable[[], None] | None
    ) -> None | Refusal | Preempted | AttemptFailure:
        call = attempt.call
        remaining_s = attempt.deadline.remaining_s(self.loop.now())
        if remaining_s <= 0 and not attempt.response.response_started:
            return attempt.deadline.refusal(ExecutionStatus.NOT_RUN)
        request = _grant_request(call, attempt.id, max(remaining_s, 1.0), history)
        batch = call.settings.kind_class is KindClass.BATCH
        requested_s = self.loop.now()
        grant = await self.grants.acquire(request, attempt.revoke if batch else None)
        wait_s = self.loop.now() - requested_s
        self.metrics.grant_wait.labels(call.settings.kind_class.value).observe(wait_s)
        if isinstance(grant, Refusal):
            return grant
        try:
            return await attempt.run(grant, on_dispatch)
        finally:
            attempt.close()
            self.grants.release(grant, attempt.result)

    def _attempt_id(self, call: Call) -> AttemptId:
        return AttemptId(f"{call.request}.{self.nonce}.{next(self.numbers)}")

    def _log_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        self.metrics.failed_attempts.labels(failure.failed_at.value).inc()
        call = attempt.call
        log.warning(
            "attempt failed",
            extra={
                "request": call.request,
                "attempt": attempt.id,
                "team": call.team,
                "endpoint": failure.endpoint,
                "happened": failure.failed_at.value,
                "reason": failure.message,
            },
        )


def _label(outcome: None | Refusal | Preempted) -> str:
    if outcome is None:
        return "answered"
    return "yielded" if isinstance(outcome, Preempted) else outcome.kind.value


def _grant_request(
    call: Call, attempt: AttemptId, remaining_s: float, history: AttemptHistory
) -> GrantRequest:
    return GrantRequest(
        attempt=attempt,
        team=call.team,
        kind=call.kind,
        kind_class=call.settings.kind_class,
        weight=call.settings.weight,
        deadline_in_s=remaining_s,
        model=call.model,
        application=call.application,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix_key=call.prefix_key,
        job=call.job,
        slack_s=call.slack_s,
        exclude=history.endpoints,
    )
