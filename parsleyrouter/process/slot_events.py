"""Requests to a slot table and the actions it decides on."""

from dataclasses import dataclass
from enum import Enum

from parsleyrouter.ids import Address, AttemptId, GrantId, JobId, KindName, NodeId, TeamName

__all__ = [
    "Action",
    "Granted",
    "HeldSlot",
    "Holder",
    "Queued",
    "RefusalReason",
    "Refused",
    "Revoke",
    "SlotRequest",
    "SlotUsage",
]


class RefusalReason(Enum):
    """Why a scheduler refuses a slot; the value is sent over the wire."""

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NOT_HOME = "not_home"


@dataclass(frozen=True)
class Holder:
    """Process that requests or holds a slot."""

    node: NodeId
    reply_to: Address


@dataclass(frozen=True)
class SlotRequest:
    """Request of one attempt for a slot; times are in seconds from now."""

    attempt: AttemptId
    holder: Holder
    team: TeamName = TeamName("")
    kind: KindName = KindName("")
    batch: bool = False
    weight: float = 1.0
    team_weight: float = 1.0
    deadline_in_s: float = 30.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    job: JobId = JobId("")
    slack_s: float = 0.0


@dataclass
class HeldSlot:
    """Slot in use."""

    grant: GrantId
    request: SlotRequest
    granted_s: float
    expires_s: float
    cost_s: float = 0.0
    revoking: bool = False


@dataclass(frozen=True)
class SlotUsage:
    """Measurements of one use of a slot; 0 where unknown."""

    ok: bool = True
    ttft_s: float = 0.0
    output_tokens: int = 0


@dataclass(frozen=True)
class Granted:
    """Grant a slot to an attempt for ``valid_s`` seconds."""

    request: SlotRequest
    grant: GrantId
    valid_s: float


@dataclass(frozen=True)
class Queued:
    """Keep an attempt in the queue."""

    request: SlotRequest


@dataclass(frozen=True)
class Refused:
    """Refuse an attempt, which did not run."""

    request: SlotRequest
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class Revoke:
    """Tell the holder to release a slot immediately."""

    held: HeldSlot


Action = Granted | Queued | Refused | Revoke
