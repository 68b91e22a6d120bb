"""A caller's request as it is passed on to an endpoint."""

from collections.abc import Sequence
from dataclasses import dataclass

from parsleyrouter.ids import EndpointId, RequestId, ServiceName
from parsleyrouter.version.route_table import Route

__all__ = [
    "ForwardedRequest",
    "HeaderNames",
    "Headers",
    "end_to_end",
]

Headers = Sequence[tuple[bytes, bytes]]
"""Names and values in the order and spelling of the sender."""

_ONE_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(frozen=True)
class HeaderNames:
    """The headers that the system reads or sets, in lower case."""

    request: str
    deadline_ms: str
    expected_endpoint: str
    not_executed: str
    signature: str
    """Shows that an answer is the endpoint's own."""
    load: str
    model: str
    tokens: str
    prefix: str
    last_event: str
    wait_ms: str

    def kept(self) -> frozenset[bytes]:
        """Return the headers that no ``Connection`` header may remove."""
        names = (self.request, self.model, self.tokens, self.prefix, self.last_event)
        return frozenset(name.encode() for name in names)


@dataclass(frozen=True)
class ForwardedRequest:
    """One request with its route; ``deadline_s`` is monotonic."""

    request: RequestId
    route: Route
    service: ServiceName
    method: str
    target: str
    headers: Headers
    body: bytes
    received_s: float
    deadline_s: float

    def sent_headers(
        self,
        names: HeaderNames,
        endpoint: EndpointId,
        left_s: float | None,
        last_event: str = "",
    ) -> Headers:
        """Return the headers for one endpoint; ``left_s`` is what is left of the deadline."""
        added: dict[str, str] = {names.expected_endpoint: endpoint}
        if left_s is not None:
            added[names.deadline_ms] = str(max(1, int(left_s * 1000)))
        if last_event:
            added[names.last_event] = last_event
        dropped = {name.encode() for name in added}
        lines = [line for line in self.headers if line[0].lower() not in dropped]
        lines += [(name.title().encode(), value.encode()) for name, value in added.items()]
        return lines


def end_to_end(
    headers: Headers, connection: str, kept: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers that concern more than one connection."""
    named = {token.strip().lower().encode() for token in connection.split(",")}
    dropped = _ONE_HOP | (named - kept)
    return [line for line in headers if line[0].lower() not in dropped]
