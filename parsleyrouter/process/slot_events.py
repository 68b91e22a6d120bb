"""What a slot table is asked and what it decides."""

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
    """Say why a scheduler gives no grant; the value goes over the wire."""

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NOT_HOME = "not_home"


@dataclass(frozen=True)
class Holder:
    """The process that asks for a slot or holds one."""

    node: NodeId
    reply_to: Address


@dataclass(frozen=True)
class SlotRequest:
    """One attempt that asks for a slot; times are in seconds from now."""

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
    """One slot in use."""

    grant: GrantId
    request: SlotRequest
    granted_s: float
    expires_s: float
    cost_s: float = 0.0
    revoking: bool = False


@dataclass(frozen=True)
class SlotUsage:
    """What the use of a slot showed; zero where unknown."""

    ok: bool = True
    ttft_s: float = 0.0
    output_tokens: int = 0


@dataclass(frozen=True)
class Granted:
    """Give a slot to an attempt for ``valid_s`` seconds."""

    request: SlotRequest
    grant: GrantId
    valid_s: float


@dataclass(frozen=True)
class Queued:
    """Let an attempt wait."""

    request: SlotRequest


@dataclass(frozen=True)
class Refused:
    """Turn an attempt away; it was not run."""

    request: SlotRequest
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class Revoke:
    """Ask the holder to give a slot back at once."""

    held: HeldSlot


Action = Granted | Queued | Refused | Revoke
