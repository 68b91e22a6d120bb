"""Shares of the customers' limits and the records that name their holders in the store."""

from dataclasses import dataclass

import msgspec
from xxhash import xxh3_64_intdigest

from parsleyrouter.customers import Customer
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import Address, CustomerName, DomainName, NodeId, ShareId
from parsleyrouter.process.setting_checks import address_is_valid

__all__ = [
    "GROUPS",
    "LIMITS_PREFIX",
    "SHARES_PER_GROUP",
    "ShareRecord",
    "all_shares",
    "capacity_of",
    "decode_record",
    "encode_record",
    "group_of",
    "rate_of",
    "share_of_key",
    "shares_of",
    "share_key",
]

LIMITS_PREFIX = "parsley/live/limit/"

GROUPS = 4
SHARES_PER_GROUP = 4
"""Parts of each limit; one that has no holder for some seconds leaves three quarters."""

MIN_CAPACITY = 1.0
"""Permits that each share can keep at least: with less it could never grant one."""

RETURN_ROOM = 1.0
"""Permits that each share can keep in addition: without it, callers that come by chance take the
room of those that were told to return."""


@dataclass(frozen=True)
class ShareRecord:
    """The process that holds a share; ``boot`` distinguishes the starts of a node."""

    node: NodeId
    boot: int
    address: Address
    """Takes asks for permits over UDP."""
    domain: DomainName
    claims: int
    """Claims of the share so far; distinguishes two claims by one process."""
    clear: bool = False
    """Whether no former holder can grant any more."""
    settled: bool = False
    """Whether the share was held long enough for the next holder to begin with a permit."""
    released: bool = False
    """Whether the holder has given the share up."""

    def same_process(self, other: "ShareRecord") -> bool:
        """Return whether two records name one process."""
        return (self.node, self.boot) == (other.node, other.boot)


def all_shares() -> list[ShareId]:
    """Return all shares of all groups."""
    return [ShareId(number) for number in range(GROUPS * SHARES_PER_GROUP)]


def group_of(customer: CustomerName) -> int:
    """Return the group of a customer."""
    return xxh3_64_intdigest(customer.encode("utf-8", "surrogatepass")) % GROUPS


def shares_of(group: int) -> list[ShareId]:
    """Return the shares of a group of customers."""
    first = group * SHARES_PER_GROUP
    return [ShareId(number) for number in range(first, first + SHARES_PER_GROUP)]


def rate_of(customer: Customer) -> float:
    """Return the permits a second that accrue in each share of a customer's limit."""
    return customer.rate_per_s / SHARES_PER_GROUP


def capacity_of(customer: Customer) -> float:
    """Return the permits that each share of a customer's limit can keep."""
    return max(MIN_CAPACITY, customer.burst / SHARES_PER_GROUP) + RETURN_ROOM


def share_key(share: ShareId) -> str:
    """Return the key of a share."""
    return f"{LIMITS_PREFIX}{share // SHARES_PER_GROUP}/{share % SHARES_PER_GROUP}"


_SHARES_BY_KEY = {share_key(share): share for share in all_shares()}


def share_of_key(key: str) -> ShareId | None:
    """Return the share that a key belongs to."""
    return _SHARES_BY_KEY.get(key)


def encode_record(record: ShareRecord) -> bytes:
    """Return a record as stored."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> ShareRecord:
    """Return a stored record; raise ``InvalidData`` if it cannot be read."""
    record = decode_json(data, ShareRecord)
    if not address_is_valid(record.address, 1):
        raise InvalidData("an address; allowed: ip:port")
    return record
