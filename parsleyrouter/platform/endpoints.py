"""Decode endpoint registrations."""

import logging
import re

import msgspec

from parsleyrouter.connection.key_value import Entry
from parsleyrouter.decoding import MAX_COUNT, MAX_UNIX_MS, InvalidData, decode_json
from parsleyrouter.ids import Address, DomainName, EndpointId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.setting_checks import address_is_valid

__all__ = ["ENDPOINTS_PREFIX", "decode_endpoint", "endpoint_of_key"]

ENDPOINTS_PREFIX = "servers/"

MAX_COLD_MS = 86_400_000

_DRAINING_BY_STATE = {"ready": False, "draining": True}
_ID = re.compile(r"[\x21-\x7e]{1,200}")
"""Ids are sent in a header."""

log = logging.getLogger(__name__)


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
    """Decode a registration; ``None`` and a log line if another writer stored an invalid one."""
    try:
        found = decode_json(entry.value, _Registration)
        _check(entry.key, found)
    except InvalidData as error:
        fields = {"key": entry.key[:200], "revision": entry.revision, "reason": str(error)}
        log.warning("endpoint not read", extra=fields)
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


def _check(key: str, found: _Registration) -> None:
    """Raise ``InvalidData`` for a value that no endpoint can have."""
    if found.state not in _DRAINING_BY_STATE:
        raise InvalidData(f"state {found.state[:40]!r}; allowed: {', '.join(_DRAINING_BY_STATE)}")
    if not 1 <= found.slots <= MAX_COUNT:
        raise InvalidData(f"slots; allowed: 1 to {MAX_COUNT}")
    if not 0 <= found.born <= MAX_UNIX_MS:
        raise InvalidData(f"born; allowed: 0 to {MAX_UNIX_MS}")
    if not 0 <= found.cold_remaining_ms <= MAX_COLD_MS:
        raise InvalidData(f"coldRemainingMs; allowed: 0 to {MAX_COLD_MS}")
    if not address_is_valid(found.address, lowest_port=1):
        raise InvalidData(f"address {found.address[:40]!r}; allowed: ip:port")
    if not _ID.fullmatch(endpoint_of_key(key)):
        raise InvalidData("the id; allowed: up to 200 visible ASCII characters")
