"""Decide whether an item is finished or retried after its call has ended."""

from dataclasses import dataclass

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Preempted, Reply
from parsleyrouter.request.batch_item import ItemOutcome, ItemResult

__all__ = ["ItemFinished", "ItemRetry", "decide_item"]

SERVER_ERROR = 500
CLIENT_ERROR = 400
TRANSIENT_STATUSES = frozenset({408, 425, 429})

PERMANENT_REFUSALS = frozenset(
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
class ItemFinished:
    """The item has its result."""

    result: ItemResult


@dataclass(frozen=True)
class ItemRetry:
    """The item is to run again after a pause."""

    counts_as_attempt: bool
    pause_s: float = 0.0
    resume_token: str = ""
    yielded: bool = False


def decide_item(
    answer: Reply | Refusal | Preempted,
    *,
    repeatable: bool,
    dispatched: bool,
    attempts: int,
    max_attempts: int,
) -> ItemFinished | ItemRetry:
    """Return the decision for an item; ``attempts`` includes the one that has just ended."""
    if isinstance(answer, Preempted):
        if dispatched and not repeatable:
            return _unknown("its call was stopped on the way")
        return ItemRetry(counts_as_attempt=False, resume_token=answer.resume_token, yielded=True)
    if isinstance(answer, Reply):
        return _decide_reply(answer, repeatable, attempts < max_attempts)
    if answer.kind in PERMANENT_REFUSALS and answer.ran is ExecutionStatus.NOT_RUN:
        return ItemFinished(ItemResult(ItemOutcome.ERROR, error=answer.message))
    if answer.ran is ExecutionStatus.NOT_RUN:
        return ItemRetry(counts_as_attempt=False, pause_s=answer.retry_after_s or 0.0)
    if not repeatable:
        return _unknown(answer.message)
    if attempts < max_attempts:
        return ItemRetry(counts_as_attempt=True, pause_s=answer.retry_after_s or 0.0)
    message = f"failed {attempts} times, the last one: {answer.message}"
    return ItemFinished(ItemResult(ItemOutcome.ERROR, error=message))


def _decide_reply(reply: Reply, repeatable: bool, may_retry: bool) -> ItemFinished | ItemRetry:
    if reply.status < CLIENT_ERROR:
        return ItemFinished(ItemResult(ItemOutcome.OK, reply.status, reply.body))
    transient = reply.status >= SERVER_ERROR or reply.status in TRANSIENT_STATUSES
    if transient and repeatable and may_retry:
        return ItemRetry(counts_as_attempt=True)
    message = f"the endpoint answered with status {reply.status}"
    return ItemFinished(ItemResult(ItemOutcome.ERROR, reply.status, reply.body, message))


def _unknown(reason: str) -> ItemFinished:
    message = f"it may have run and is not run again: {reason}"
    return ItemFinished(ItemResult(ItemOutcome.UNKNOWN, error=message))
