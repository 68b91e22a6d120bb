"""Convert the messages that a scheduler receives and build its answers."""

from parsleyrouter.ids import Address, AttemptId, JobId, KindName, NodeId, TeamName
from parsleyrouter.process.slot_events import (
    Granted,
    Holder,
    Queued,
    RefusalReason,
    Refused,
    SlotRequest,
)
from parsleyrouter.process.slot_table import SlotTable
from parsleyrouter.thrift_gen.grants.ttypes import AskGrant, GrantAnswer, LiveGrant

__all__ = ["grant_answer", "not_home_answer", "read_live_grant", "read_request"]


def read_request(message: AskGrant, team_weight: float) -> SlotRequest:
    """Convert a request for a slot."""
    return SlotRequest(
        attempt=AttemptId(message.attempt),
        holder=Holder(NodeId(message.node), Address(message.reply_to)),
        team=TeamName(message.team),
        kind=KindName(message.kind),
        batch=message.batch,
        weight=message.weight,
        team_weight=team_weight,
        deadline_in_s=message.deadline_in_s,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        job=JobId(message.job),
        slack_s=message.slack_s,
    )


def read_live_grant(live: LiveGrant, holder: Holder) -> SlotRequest:
    """Convert a grant of a previous home to the request it was made for."""
    return SlotRequest(
        attempt=AttemptId(live.attempt),
        holder=holder,
        team=TeamName(live.team),
        kind=KindName(live.kind),
        batch=live.batch,
        weight=live.weight,
        job=JobId(live.job),
    )


def grant_answer(table: SlotTable, action: Granted | Queued | Refused, now: float) -> GrantAnswer:
    """Build the answer to an attempt, with the load of the endpoint."""
    answer = GrantAnswer(
        grant="",
        attempt=action.request.attempt,
        refusal="",
        retry_after_s=0.0,
        valid_s=0.0,
        queued=isinstance(action, Queued),
        endpoint=table.endpoint,
        load=table.online_load(now),
        batch_load=table.total_load(now),
    )
    if isinstance(action, Granted):
        answer.grant = action.grant
        answer.valid_s = action.valid_s
    elif isinstance(action, Refused):
        answer.refusal = action.reason.value
        answer.retry_after_s = action.retry_after_s
    return answer


def not_home_answer(message: AskGrant) -> GrantAnswer:
    """Build the answer to a request for an endpoint that this node is not home for."""
    return GrantAnswer(
        grant="",
        attempt=message.attempt,
        refusal=RefusalReason.NOT_HOME.value,
        retry_after_s=0.0,
        valid_s=0.0,
        queued=False,
        endpoint=message.endpoint,
        load=0.0,
        batch_load=0.0,
    )
