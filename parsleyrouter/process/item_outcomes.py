"""Decide what becomes of an item once its call has ended."""

from dataclasses import dataclass

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Preempted, Reply
from parsleyrouter.request.batch_item import ItemOutcome, ItemResult

__all__ = ["Ended", "RunAgain", "judge_call"]

SERVER_ERROR = 500
CLIENT_ERROR = 400
TRANSIENT_STATUSES = frozenset({408, 425, 429})

PERMANENT = frozenset(
    {
        RefusalKind.BAD_REQUEST,
        RefusalKind.UNAUTHENTICATED,
        RefusalKind.FORBIDDEN,
        RefusalKind.NOT_FOUND,
        RefusalKind.CONFLICT,
        RefusalKind.TOO_LARGE,
    }
)


@dataclass(frozen=True)
class Ended:
    """Report an item that has its result."""

    result: ItemResult


@dataclass(frozen=True)
class RunAgain:
    """Report an item that is to run again, after a pause in seconds."""

    counted: bool
    pause_s: float = 0.0
    resume_token: str = ""
    yielded: bool = False


def judge_call(
    answer: Reply | Refusal | Preempted,
    *,
    repeatable: bool,
    dispatched: bool,
    attempts: int,
    attempts_allowed: int,
) -> Ended | RunAgain:
    """Return what becomes of an item; ``attempts`` counts the ended one too."""
    if isinstance(answer, Preempted):
        if dispatched and not repeatable:
            return _unknown("its call was stopped on the way")
        return RunAgain(counted=False, resume_token=answer.resume_token, yielded=True)
    if isinstance(answer, Reply):
        return _judge_reply(answer, repeatable, attempts < attempts_allowed)
    if answer.kind in PERMANENT and answer.ran is ExecutionStatus.NOT_RUN:
        return Ended(ItemResult(ItemOutcome.ERROR, error=answer.message))
    if answer.ran is ExecutionStatus.NOT_RUN:
        return RunAgain(counted=False, pause_s=answer.retry_after_s or 0.0)
    if not repeatable:
        return _unknown(answer.message)
    if attempts < attempts_allowed:
        return RunAgain(counted=True, pause_s=answer.retry_after_s or 0.0)
    message = f"failed {attempts} times, the last one: {answer.message}"
    return Ended(ItemResult(ItemOutcome.ERROR, error=message))


def _judge_reply(reply: Reply, repeatable: bool, may_try: bool) -> Ended | RunAgain:
    if reply.status < CLIENT_ERROR:
        return Ended(ItemResult(ItemOutcome.OK, reply.status, reply.body))
    transient = reply.status >= SERVER_ERROR or reply.status in TRANSIENT_STATUSES
    if transient and repeatable and may_try:
        return RunAgain(counted=True)
    message = f"the endpoint answered with status {reply.status}"
    return Ended(ItemResult(ItemOutcome.ERROR, reply.status, reply.body, message))


def _unknown(reason: str) -> Ended:
    message = f"it may have run and is not run again: {reason}"
    return Ended(ItemResult(ItemOutcome.UNKNOWN, error=message))
