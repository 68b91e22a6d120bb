"""Decode callers' questions for addresses, and encode the answers."""

from collections.abc import Sequence

import msgspec

from parsleyrouter.ids import Address, DomainName

__all__ = ["LOCATE_PATH", "READY_PATH", "caller_domain", "encode_addresses"]

LOCATE_PATH = "/resolve"
READY_PATH = "/readiness"


def caller_domain(query: dict[str, str]) -> DomainName:
    """Return the failure domain that a caller names as its own."""
    return DomainName(query.get("zone", ""))


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Return the body of an answer."""
    return msgspec.json.encode({"addresses": list(addresses), "ttlS": ttl_s})
