"""The port through which one call is run at an endpoint, retries included."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from parsleyrouter.ids import JobId, KindName, ModelName, RequestId, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.version.schema import KindSettings

__all__ = ["Call", "CallSink", "CallExecutor", "Reply", "Preempted"]


@dataclass(frozen=True)
class Call:
    """One call of a team, ready to be dispatched."""

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
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Preempted:
    """Report a batch call that gave its slot to online work; run it again, it counts no attempt."""

    resume_token: str = ""


class CallSink(Protocol):
    """Take an answer piece by piece."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take status and headers."""

    async def send(self, data: bytes) -> None:
        """Take one piece; returns when the next may come."""


class CallExecutor(Protocol):
    """Run calls at endpoints."""

    async def run(
        self,
        call: Call,
        *,
        on_dispatch: Callable[[], None] | None = None,
    ) -> Reply | Refusal | Preempted:
        """Run a call to its whole answer; ``on_dispatch`` comes before its first byte."""

    async def stream(self, call: Call, sink: CallSink) -> None | Refusal:
        """Run a call and hand its answer on as it comes; ``None`` when it was whole."""
