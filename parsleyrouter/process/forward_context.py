"""What the attempts of forwarded requests share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from parsleyrouter.connection.endpoint_client import EndpointClient, RawHeaders
from parsleyrouter.process.crash_monitor import CrashMonitor
from parsleyrouter.process.endpoint_directory import EndpointDirectory
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.forwarded_request import HeaderNames

__all__ = ["ForwardContext", "ForwardSink", "ResponseTimeouts"]


class ForwardSink(Protocol):
    """Receives a response as it arrives."""

    def begin(self, status: int, reason: bytes, headers: RawHeaders, length: int | None) -> None:
        """Receive status and headers."""

    def send(self, data: bytes) -> None:
        """Receive a chunk of the body."""

    async def drain(self) -> None:
        """Wait until the sink accepts more."""


@dataclass(frozen=True)
class ResponseTimeouts:
    """Read timeouts for the first byte of a response and between later reads, in seconds."""

    first_byte_s: float
    gap_s: float


@dataclass(frozen=True)
class ForwardContext:
    """Dependencies that attempts share: connections, loads and header names."""

    loop: Loop
    client: EndpointClient
    loads: EndpointLoads
    names: HeaderNames
    crashes: CrashMonitor
    directory: EndpointDirectory
    shared_parts: Callable[[str], Prompt]
    """Return the parts of a prompt, as a header names them, that other requests may share."""
