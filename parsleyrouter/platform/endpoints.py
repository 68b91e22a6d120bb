"""Decode endpoint registrations."""

import msgspec

from parsleyrouter.connection.key_value import Entry
from parsleyrouter.ids import Address, DomainName, EndpointId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.setting_checks import address_is_valid

__all__ = ["ENDPOINTS_PREFIX", "decode_endpoint", "endpoint_of_key"]

ENDPOINTS_PREFIX = "servers/"

_DRAINING_BY_STATE = {"ready": False, "draining": True}


class _Registration(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    born: int = 0


def endpoint_of_key(key: str) -> EndpointId:
    """Return the endpoint whose registration a key holds."""
    return EndpointId(key.removeprefix(ENDPOINTS_PREFIX))


def decode_endpoint(entry: Entry) -> RegisteredEndpoint | None:
    """Decode a registration; ``None`` if another writer stored an invalid one."""
    try:
        found = msgspec.json.decode(entry.value, type=_Registration)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if (
        found.state not in _DRAINING_BY_STATE
        or found.slots < 1
        or not address_is_valid(found.address)
    ):
        return None
    return RegisteredEndpoint(
        endpoint=endpoint_of_key(entry.key),
        service=ServiceName(found.service),
        address=Address(found.address),
        domain=DomainName(found.zone),
        slots=found.slots,
        leaving=_DRAINING_BY_STATE[found.state],
        started_ms=found.born,
        cold_remaining_s=found.cold_remaining_ms / 1000,
    )
