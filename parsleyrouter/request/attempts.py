"""Decide what follows a failed attempt, by what provably happened to it."""

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
    "refused_later",
]

MOST_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


class FailurePoint(Enum):
    """Say how far a failed attempt came at the endpoint."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    """The endpoint said that it has not run the request and will not."""
    MAYBE_SENT = "maybe_sent"
    ERROR_STATUS = "turned_away"
    RESPONSE_TRUNCATED = "answer_cut"


_RAN = {
    FailurePoint.NOT_SENT: ExecutionStatus.NOT_RUN,
    FailurePoint.REFUSED: ExecutionStatus.NOT_RUN,
    FailurePoint.MAYBE_SENT: ExecutionStatus.UNKNOWN,
    FailurePoint.ERROR_STATUS: ExecutionStatus.UNKNOWN,
    FailurePoint.RESPONSE_TRUNCATED: ExecutionStatus.RAN,
}
_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)


@dataclass(frozen=True)
class RetryRules:
    """What a call allows."""

    idempotent: bool
    most: int = MOST_ATTEMPTS
    max_executions: int = MOST_ATTEMPTS
    """The most endpoints that may have begun the call."""


@dataclass(frozen=True)
class AttemptFailure:
    """How one attempt failed; ``shown`` when the caller has seen a part of its answer."""

    endpoint: EndpointId
    failed_at: FailurePoint
    message: str
    response_started: bool = False
    resumable: bool = False


@dataclass(frozen=True)
class AttemptHistory:
    """What the earlier attempts of a call left behind."""

    failed: int = 0
    runs: int = 0
    """Failures after which the call may have been run."""
    endpoints: frozenset[EndpointId] = field(default_factory=frozenset)
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    message: str = ""

    def add(self, failure: AttemptFailure) -> "AttemptHistory":
        """Return the history with one more failure; ``ran`` keeps the worst of all attempts."""
        return replace(
            self,
            failed=self.failed + 1,
            runs=self.runs + (_RAN[failure.failed_at] is not ExecutionStatus.NOT_RUN),
            endpoints=self.endpoints | {failure.endpoint},
            ran=max(self.ran, _RAN[failure.failed_at], key=_ORDER.index),
            message=failure.message,
        )


@dataclass(frozen=True)
class Retry:
    """Try again, elsewhere where that is possible."""

    history: AttemptHistory


@dataclass(frozen=True)
class GiveUp:
    """Tell the caller."""

    refusal: Refusal


def decide_retry(
    rules: RetryRules,
    history: AttemptHistory,
    failure: AttemptFailure,
    *,
    remaining_s: float,
    take_retry: Callable[[], bool],
) -> Retry | GiveUp:
    """Return what follows a failure; ``take_retry`` is asked last and only if a retry is due."""
    after = history.add(failure)
    if remaining_s <= 0:
        message = f"the deadline has passed after: {failure.message}; allow more time"
        return GiveUp(Refusal(RefusalKind.DEADLINE, message, after.ran))
    if not _repeatable(rules, failure):
        return GiveUp(_failed(after, "ask again with the same Idempotency-Key to learn more"))
    if after.failed >= rules.most or after.runs >= rules.max_executions:
        return GiveUp(_failed(after, f"{after.failed} endpoints failed; try again later"))
    if not take_retry():
        return GiveUp(_failed(after, "too many requests are being retried; try again later"))
    return Retry(after)


def refused_later(history: AttemptHistory, refusal: Refusal) -> Refusal:
    """Return a refusal that came after earlier attempts, which may have run."""
    if not history.failed:
        return refusal
    message = f"{refusal.message} (after {history.message})"
    return replace(refusal, message=message, ran=history.ran)


def _repeatable(rules: RetryRules, failure: AttemptFailure) -> bool:
    if failure.response_started:
        return rules.idempotent and failure.resumable
    return rules.idempotent or failure.failed_at in (FailurePoint.NOT_SENT, FailurePoint.REFUSED)


def _failed(history: AttemptHistory, remedy: str) -> Refusal:
    return Refusal(
        RefusalKind.ENDPOINT_FAILED, f"{history.message}: {remedy}", history.ran, RETRY_AFTER_S
    )
