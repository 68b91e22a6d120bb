"""Port through which requests obtain a slot on an endpoint."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from parsleyrouter.ids import AttemptId, EndpointId, GrantId, JobId, KindName, ModelName, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.version.schema import KindClass

__all__ = ["CallResult", "Grant", "GrantProvider", "GrantRequest"]


@dataclass(frozen=True)
class GrantRequest:
    """Request for one slot on an endpoint that serves a model or an application."""

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
    """Permission to use one slot; a batch grant is renewed until released or revoked."""

    grant: GrantId
    attempt: AttemptId
    endpoint: EndpointId
    address: str
    local: bool = False


@dataclass(frozen=True)
class CallResult:
    """Outcome of a call under a grant, reported on release."""

    ok: bool
    endpoint_at_fault: bool = False
    ttft_s: float = 0.0
    output_tokens: int = 0


class GrantProvider(Protocol):
    """Grant slots; implementations handle routing, admission and queueing."""

    async def acquire(
        self, request: GrantRequest, on_revoke: Callable[[], None] | None = None
    ) -> Grant | Refusal:
        """Wait for a slot; a refusal is always ``not_run``.

        ``on_revoke`` is called once if the slot must be released immediately; the holder then
        cancels its call at the endpoint and releases the grant.
        """

    def release(self, grant: Grant, result: CallResult) -> None:
        """Release a grant and report the outcome of its call."""
