"""A caller's request as it is forwarded to an endpoint."""

from collections.abc import Sequence
from dataclasses import dataclass

from parsleyrouter.ids import CustomerName, EndpointId, Fingerprint, RequestId, ServiceName
from parsleyrouter.request.crash import Prompt
from parsleyrouter.version.route_table import Route

__all__ = [
    "ForwardedRequest",
    "HeaderNames",
    "Headers",
    "end_to_end_headers",
    "name_customer",
]

Headers = Sequence[tuple[bytes, bytes]]
"""Names and values in the order and spelling of the sender."""

_HOP_BY_HOP = frozenset(
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
    """Names of the headers that the system reads or sets, in lower case."""

    request: str
    deadline_ms: str
    expected_endpoint: str
    instance: str
    """The id of the endpoint that answers."""
    not_executed: str
    signature: str
    """Proves that a response was sent by the endpoint itself."""
    load: str
    leaving: str
    """Set to 1 by an endpoint that leaves."""
    limit: str
    """Requests per second that an endpoint in need takes from all nodes together."""
    model: str
    tokens: str
    prefix: str
    last_event: str
    wait_ms: str
    credential: str
    """The key by which a caller proves its customer."""
    customer: str
    """Tells an endpoint the name of the customer."""

    def protected(self) -> frozenset[bytes]:
        """Return the headers that a ``Connection`` header must not remove."""
        names = (self.request, self.model, self.tokens, self.prefix, self.last_event)
        return frozenset(name.encode() for name in names)


@dataclass(frozen=True)
class ForwardedRequest:
    """One request with its route; ``received_s`` and ``deadline_s`` are monotonic."""

    request: RequestId
    route: Route
    service: ServiceName
    method: str
    target: str
    headers: Headers
    body: bytes
    received_s: float
    deadline_s: float
    prompt: Prompt = ()
    fingerprint: Fingerprint | None = None
    """What copies of the request have in common; none of a batch item."""
    customer: CustomerName | None = None
    waited_s: float = 0.0
    """Time for which it waited here for a permit; that does not make it a retry."""
    wait_share: float | None = None
    """Share of the usual wait for a slot that it may take, where customers compete for room."""

    @property
    def traits(self) -> Prompt:
        """Return what the request has in common with others: shared parts and its fingerprint."""
        return self.prompt if self.fingerprint is None else (*self.prompt, self.fingerprint)

    def headers_for_endpoint(
        self,
        names: HeaderNames,
        endpoint: EndpointId,
        remaining_s: float | None,
        last_event: str = "",
    ) -> Headers:
        """Return the headers to send to an endpoint, with the remaining time."""
        added: dict[str, str] = {names.expected_endpoint: endpoint}
        if remaining_s is not None:
            added[names.deadline_ms] = str(max(1, int(remaining_s * 1000)))
        if last_event:
            added[names.last_event] = last_event
        dropped = {name.encode() for name in added}
        kept_headers = [header for header in self.headers if header[0].lower() not in dropped]
        kept_headers += [(name.title().encode(), value.encode()) for name, value in added.items()]
        return kept_headers


def end_to_end_headers(
    headers: Headers, connection: str, protected: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, without hop-by-hop ones."""
    named = {token.strip().lower().encode() for token in connection.split(",")}
    dropped = _HOP_BY_HOP | (named - protected)
    return [header for header in headers if header[0].lower() not in dropped]


def name_customer(
    headers: Headers, names: HeaderNames, customer: CustomerName | None
) -> list[tuple[bytes, bytes]]:
    """Return headers without any key, and with the customer's name in place of what was sent."""
    dropped = {names.credential.encode(), names.customer.encode()}
    kept = [header for header in headers if header[0].lower() not in dropped]
    if customer is not None:
        kept.append((names.customer.title().encode(), customer.encode()))
    return kept
