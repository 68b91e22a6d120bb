"""Decide whether to retry a failed attempt, by how far it provably got."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from parsleyrouter.ids import EndpointId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = [
    "AttemptFailure",
    "AttemptHistory",
    "RetryRules",
    "GiveUp",
    "FailurePoint",
    "Retry",
    "decide_retry",
    "refusal_after",
]

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


class FailurePoint(Enum):
    """How far a failed attempt got at the endpoint."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    """The endpoint declared that it has not run the request and will not."""
    MAYBE_SENT = "maybe_sent"
    ERROR_STATUS = "turned_away"
    RESPONSE_TRUNCATED = "answer_cut"


_EXECUTION_BY_FAILURE = {
    FailurePoint.NOT_SENT: ExecutionStatus.NOT_RUN,
    FailurePoint.REFUSED: ExecutionStatus.NOT_RUN,
    FailurePoint.MAYBE_SENT: ExecutionStatus.UNKNOWN,
    FailurePoint.ERROR_STATUS: ExecutionStatus.UNKNOWN,
    FailurePoint.RESPONSE_TRUNCATED: ExecutionStatus.RAN,
}
_EXECUTION_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)


@dataclass(frozen=True)
class RetryRules:
    """Limits on the attempts of a call."""

    idempotent: bool
    attempt_limit: int = MAX_ATTEMPTS
    max_executions: int = MAX_ATTEMPTS
    """Maximum number of endpoints that may have started to execute the call."""


@dataclass(frozen=True)
class AttemptFailure:
    """How one attempt failed.

    ``response_started`` is set if the caller has received a part of the response.
    """

    endpoint: EndpointId
    failed_at: FailurePoint
    message: str
    response_started: bool = False
    resumable: bool = False


@dataclass(frozen=True)
class AttemptHistory:
    """Summary of the earlier attempts of a call."""

    failed: int = 0
    runs: int = 0
    """Failed attempts that may have executed the call."""
    endpoints: frozenset[EndpointId] = field(default_factory=frozenset)
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    message: str = ""

    def add(self, failure: AttemptFailure) -> "AttemptHistory":
        """Return the history with one more failure; ``ran`` is the worst case of all attempts."""
        return replace(
            self,
            failed=self.failed + 1,
            runs=self.runs
            + (_EXECUTION_BY_FAILURE[failure.failed_at] is not ExecutionStatus.NOT_RUN),
            endpoints=self.endpoints | {failure.endpoint},
            ran=max(self.ran, _EXECUTION_BY_FAILURE[failure.failed_at], key=_EXECUTION_ORDER.index),
            message=failure.message,
        )


@dataclass(frozen=True)
class Retry:
    """Retry, at another endpoint if possible."""

    history: AttemptHistory


@dataclass(frozen=True)
class GiveUp:
    """Return the refusal to the caller."""

    refusal: Refusal


def decide_retry(
    rules: RetryRules,
    history: AttemptHistory,
    failure: AttemptFailure,
    *,
    remaining_s: float,
    take_retry: Callable[[], bool],
) -> Retry | GiveUp:
    """Decide whether to retry after a failure; call ``take_retry`` only if all else allows it."""
    after = history.add(failure)
    if remaining_s <= 0:
        message = f"the deadline has passed after: {failure.message}; allow more time"
        return GiveUp(Refusal(RefusalKind.DEADLINE, message, after.ran))
    if not _may_retry(rules, failure):
        return GiveUp(
            _endpoint_failed(after, "retry with the same Idempotency-Key to get its outcome")
        )
    if after.failed >= rules.attempt_limit or after.runs >= rules.max_executions:
        return GiveUp(_endpoint_failed(after, f"{after.failed} endpoints failed; try again later"))
    if not take_retry():
        return GiveUp(
            _endpoint_failed(after, "too many requests are being retried; try again later")
        )
    return Retry(after)


def refusal_after(history: AttemptHistory, refusal: Refusal) -> Refusal:
    """Add the execution status of earlier attempts to a refusal."""
    if not history.failed:
        return refusal
    message = f"{refusal.message} (after {history.message})"
    return replace(refusal, message=message, ran=history.ran)


def _may_retry(rules: RetryRules, failure: AttemptFailure) -> bool:
    if failure.response_started:
        return rules.idempotent and failure.resumable
    return rules.idempotent or failure.failed_at in (FailurePoint.NOT_SENT, FailurePoint.REFUSED)


def _endpoint_failed(history: AttemptHistory, remedy: str) -> Refusal:
    return Refusal(
        RefusalKind.ENDPOINT_FAILED, f"{history.message}: {remedy}", history.ran, RETRY_AFTER_S
    )
