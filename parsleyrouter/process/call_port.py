"""Interface for running one call at the endpoints, including retries."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from parsleyrouter.ids import JobId, KindName, ModelName, RequestId, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.version.schema import KindSettings

__all__ = ["Call", "CallSink", "CallExecutor", "Reply", "Preempted"]


@dataclass(frozen=True)
class Call:
    """One call of a team, ready to dispatch."""

    request: RequestId
    team: TeamName
    kind: KindName
    settings: KindSettings
    method: str
    path: str
    body: bytes
    model: ModelName = ModelName("")
    application: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    deadline_in_s: float = 30.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_key: str = ""
    job: JobId = JobId("")
    slack_s: float = 0.0
    resume_token: str = ""


@dataclass(frozen=True)
class Reply:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Preempted:
    """A batch call that lost its slot to online work; to be rerun without counting an attempt."""

    resume_token: str = ""


class CallSink(Protocol):
    """Receive a response in chunks."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive status and headers."""

    async def send(self, data: bytes) -> None:
        """Receive one chunk; return when the sink accepts the next."""


class CallExecutor(Protocol):
    """Run calls at endpoints, with retries."""

    async def run(
        self,
        call: Call,
        *,
        on_dispatch: Callable[[], None] | None = None,
    ) -> Reply | Refusal | Preempted:
        """Run a call to its complete response; call ``on_dispatch`` before sending each attempt."""

    async def stream(self, call: Call, sink: CallSink) -> None | Refusal:
        """Run a call and stream its response; return ``None`` if the response was complete."""
