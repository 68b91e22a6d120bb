"""Write the messages that a grant client sends, and read its refusals."""

from collections.abc import Iterable

from parsleyrouter.ids import Address, AttemptId, EndpointId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.fleet_view import NodeInfo
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.slot_events import RefusalReason
from parsleyrouter.thrift_gen.grants.ttypes import AskGrant, GrantAnswer, LiveGrant, ReleaseGrant
from parsleyrouter.version.schema import KindClass

__all__ = [
    "ask_message",
    "is_batch",
    "live_message",
    "no_endpoint",
    "not_run",
    "release_message",
    "withdraw_message",
]


def is_batch(request: GrantRequest) -> bool:
    """Tell whether a request is batch work."""
    return request.kind_class is KindClass.BATCH


def ask_message(
    request: GrantRequest,
    endpoint: EndpointId,
    me: NodeInfo,
    reply_to: Address,
    deadline_in_s: float,
) -> AskGrant:
    """Return the message that asks for a slot."""
    return AskGrant(
        attempt=request.attempt,
        node=me.node,
        reply_to=reply_to,
        endpoint=endpoint,
        team=request.team,
        kind=request.kind,
        batch=is_batch(request),
        weight=request.weight,
        deadline_in_s=max(0.0, deadline_in_s),
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        job=request.job,
        slack_s=request.slack_s,
    )


def live_message(grant: Grant, request: GrantRequest) -> LiveGrant:
    """Return the message that describes a grant in use."""
    return LiveGrant(
        grant=grant.grant,
        attempt=request.attempt,
        batch=is_batch(request),
        endpoint=grant.endpoint,
        team=request.team,
        job=request.job,
        weight=request.weight,
        kind=request.kind,
    )


def release_message(grant: Grant, result: CallResult) -> ReleaseGrant:
    """Return the message that gives a slot back."""
    return ReleaseGrant(
        grant=grant.grant,
        attempt=grant.attempt,
        endpoint=grant.endpoint,
        ok=result.ok,
        endpoint_at_fault=result.endpoint_at_fault,
        ttft_s=result.ttft_s,
        output_tokens=result.output_tokens,
    )


def withdraw_message(attempt: AttemptId, endpoint: EndpointId, grant: str = "") -> ReleaseGrant:
    """Return the message that takes an ask back, or gives back a grant that was never used."""
    return ReleaseGrant(
        grant=grant,
        attempt=attempt,
        endpoint=endpoint,
        ok=False,
        endpoint_at_fault=False,
        ttft_s=0.0,
        output_tokens=0,
    )


def no_endpoint(answers: Iterable[GrantAnswer]) -> Refusal:
    """Return the refusal to a request that every endpoint turned away."""
    reasons = {answer.refusal: answer for answer in answers}
    late = reasons.get(RefusalReason.DEADLINE.value)
    if late is not None:
        message = "the deadline cannot be met: try again later or allow more time"
        return not_run(RefusalKind.DEADLINE, message, late.retry_after_s)
    if reasons:
        return not_run(RefusalKind.OVERLOADED, "endpoints are full: try again later")
    message = "no endpoint serves this now: check the model's name and the fleet's endpoints"
    return not_run(RefusalKind.OVERLOADED, message)


def not_run(kind: RefusalKind, message: str, retry_after_s: float = 1.0) -> Refusal:
    """Return a refusal to a request that was not run."""
    return Refusal(kind, message, ExecutionStatus.NOT_RUN, retry_after_s=retry_after_s)
