"""Decode address lookups of callers, and encode the responses."""

from collections.abc import Sequence

import msgspec

from parsleyrouter.ids import Address, DomainName

__all__ = ["LOCATE_PATH", "READY_PATH", "caller_domain", "encode_addresses"]

LOCATE_PATH = "/resolve"
READY_PATH = "/readiness"


def caller_domain(query: dict[str, str]) -> DomainName:
    """Return the failure domain in which a caller says it runs."""
    return DomainName(query.get("zone", ""))


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Encode the response body of an address lookup."""
    return msgspec.json.encode({"addresses": list(addresses), "ttlS": ttl_s})
