"""Build the messages of a grant client and the refusals it returns."""

from collections.abc import Iterable

from parsleyrouter.ids import Address, AttemptId, EndpointId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.slot_events import RefusalReason
from parsleyrouter.thrift_gen.grants.ttypes import AskGrant, GrantAnswer, LiveGrant, ReleaseGrant
from parsleyrouter.version.schema import KindClass

__all__ = [
    "HOLDER_SERVICES",
    "grant_request_message",
    "holder_addresses",
    "is_batch",
    "live_grant_message",
    "no_endpoint_refusal",
    "not_run_refusal",
    "release_message",
    "withdraw_message",
]


HOLDER_SERVICES = (Service.AGENT, Service.BATCH)
"""Services whose addresses answer ``grant.live``."""


def holder_addresses(nodes: Iterable[NodeInfo]) -> set[Address]:
    """Return the addresses of the processes that may hold grants."""
    return {
        node.addresses[service]
        for node in nodes
        for service in HOLDER_SERVICES
        if service in node.addresses
    }


def is_batch(request: GrantRequest) -> bool:
    """Return whether a request is batch work."""
    return request.kind_class is KindClass.BATCH


def grant_request_message(
    request: GrantRequest,
    endpoint: EndpointId,
    me: NodeInfo,
    reply_to: Address,
    deadline_in_s: float,
) -> AskGrant:
    """Build the message that requests a slot."""
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


def live_grant_message(grant: Grant, request: GrantRequest) -> LiveGrant:
    """Build the description of a grant in use."""
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
    """Build the message that releases a grant."""
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
    """Build the message that withdraws a slot request or releases an unused grant."""
    return ReleaseGrant(
        grant=grant,
        attempt=attempt,
        endpoint=endpoint,
        ok=False,
        endpoint_at_fault=False,
        ttft_s=0.0,
        output_tokens=0,
    )


def no_endpoint_refusal(answers: Iterable[GrantAnswer]) -> Refusal:
    """Build the refusal of a request that every tried endpoint refused."""
    reasons = {answer.refusal: answer for answer in answers}
    late = reasons.get(RefusalReason.DEADLINE.value)
    if late is not None:
        message = "the deadline cannot be met: try again later or allow more time"
        return not_run_refusal(RefusalKind.DEADLINE, message, late.retry_after_s)
    if reasons:
        return not_run_refusal(RefusalKind.OVERLOADED, "endpoints are full: try again later")
    message = "no endpoint serves this now: check the model's name and the fleet's endpoints"
    return not_run_refusal(RefusalKind.OVERLOADED, message)


def not_run_refusal(kind: RefusalKind, message: str, retry_after_s: float = 1.0) -> Refusal:
    """Build a refusal that states that the request did not run."""
    return Refusal(kind, message, ExecutionStatus.NOT_RUN, retry_after_s=retry_after_s)
