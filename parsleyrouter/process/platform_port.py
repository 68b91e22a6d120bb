"""Interface between a front process and the platform that it runs on."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.connection.key_value import Entry, TransactionalKeyValue, Write
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.shared_job_handler import DecodeCall, EncodeResults
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.forwarded_request import HeaderNames
from parsleyrouter.version.route_table import RouteTable

__all__ = ["PlatformPort"]


@dataclass(frozen=True)
class PlatformPort:
    """Names and conversions of the platform; the functions are stateless."""

    headers: HeaderNames
    shared_parts: Callable[[str], Prompt]
    """The parts of a prompt, as a header names them, that other requests may share."""
    operator_prefix: str
    """Prefix of the keys that the operator writes."""
    routes_key: str
    endpoints_prefix: str
    locate_path: str
    ready_path: str
    open_store: Callable[[Runtime, Address, BudgetSettings], TransactionalKeyValue]
    decode_routes: Callable[[bytes], RouteTable]
    """Raises ``InvalidData`` for an invalid record."""
    decode_endpoint: Callable[[Entry], RegisteredEndpoint | None]
    endpoint_of_key: Callable[[str], EndpointId]
    caller_domain: Callable[[dict[str, str]], DomainName]
    encode_addresses: Callable[[Sequence[Address], float], bytes]
    decode_job_call: DecodeCall
    encode_results: EncodeResults
    node_to_drain: Callable[[str], NodeId | None]
    """The store VM that the operator's key asks to drain, if it is such a key."""
    encode_drained: Callable[[NodeId], Write]
    """The write that reports a store VM as drained."""
