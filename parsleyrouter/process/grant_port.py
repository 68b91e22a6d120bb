"""The port through which requests get leave to use an endpoint."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from parsleyrouter.ids import AttemptId, EndpointId, GrantId, JobId, KindName, ModelName, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.version.schema import KindClass

__all__ = ["CallResult", "Grant", "GrantRequest", "GrantProvider"]


@dataclass(frozen=True)
class GrantRequest:
    """Ask for one slot on an endpoint that serves a model or an application."""

    attempt: AttemptId
    team: TeamName
    kind: KindName
    kind_class: KindClass
    weight: float
    deadline_in_s: float
    model: ModelName = ModelName("")
    application: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_key: str = ""
    job: JobId = JobId("")
    slack_s: float = 0.0
    exclude: frozenset[EndpointId] = field(default_factory=frozenset)


@dataclass(frozen=True)
class Grant:
    """Leave to use one slot; a batch grant is renewed until released or revoked."""

    grant: GrantId
    attempt: AttemptId
    endpoint: EndpointId
    address: str
    local: bool = False


@dataclass(frozen=True)
class CallResult:
    """What came of a grant, told when it is given back."""

    ok: bool
    endpoint_at_fault: bool = False
    ttft_s: float = 0.0
    output_tokens: int = 0


class GrantProvider(Protocol):
    """Hand out slots; routing, admission and queueing lie behind it."""

    async def acquire(
        self, request: GrantRequest, on_revoke: Callable[[], None] | None = None
    ) -> Grant | Refusal:
        """Wait for a slot; a refusal is always ``not_run``.

        ``on_revoke`` is called once if the slot must be given back at once; the holder cancels at
        the endpoint and releases.
        """

    def release(self, grant: Grant, result: CallResult) -> None:
        """Give a slot back."""
