"""Reports of the endpoints whose request counts changed, between full load reports.

A full report names every endpoint that a node uses; among busy nodes most of it is the same as in
the report before. Each report of changes repeats those of the few reports before it, so that a lost
datagram leaves no wrong count if the next one arrives.
"""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from parsleyrouter.endpoint_speed import decode_speeds, encode_speeds
from parsleyrouter.ids import EndpointId, NodeId
from parsleyrouter.process.fleet_loads import CellLoadReport, NodeLoadChanges, RequestCounts
from parsleyrouter.process.load_codec import InvalidLoadReport
from parsleyrouter.process.report_bounds import MAX_USES, check_names, check_rows

__all__ = ["ChangeWindow", "SentAggregates", "decode_changes", "encode_changes", "holds_changes"]

REPEATED_REPORTS = 3
"""Reports that name a change, the first included."""

MARK = b"\xc1"
"""First byte of a report of changes; no other datagram begins with it."""

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class _Changes(msgspec.Struct, array_like=True):
    node: str
    boot: Number
    sequence: Number
    waiting_items: Count
    uses: Sequence[tuple[str, Count, Count]]
    """Endpoint, online requests and batch items; zero for an endpoint that is no longer used."""
    speeds: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Changes)


class ChangeWindow:
    """The counts in the latest report, and the endpoints that changed in the latest few."""

    def __init__(self) -> None:
        self.uses: Mapping[EndpointId, RequestCounts] = {}
        self.reports = 0
        self.changed_in: dict[EndpointId, int] = {}
        """Number of the report in which the count of an endpoint last changed."""

    def advance(self, uses: Mapping[EndpointId, RequestCounts]) -> dict[EndpointId, RequestCounts]:
        """Take the counts of the next report; return those that changed lately."""
        self.reports += 1
        for endpoint in self._changed(uses):
            self.changed_in[endpoint] = self.reports
        self.uses = uses
        oldest = self.reports - REPEATED_REPORTS
        self.changed_in = {name: at for name, at in self.changed_in.items() if at > oldest}
        return {name: uses.get(name, RequestCounts()) for name in self.changed_in}

    def _changed(self, uses: Mapping[EndpointId, RequestCounts]) -> Iterator[EndpointId]:
        for endpoint in uses.keys() | self.uses.keys():
            if uses.get(endpoint) != self.uses.get(endpoint):
                yield endpoint


@dataclass
class SentAggregates:
    """What aggregates were sent last, and when; monotonic."""

    heartbeat_s: float
    content: object = None
    at_s: float = -math.inf

    def is_due(self, reports: Sequence[CellLoadReport], now: float, interval_s: float) -> bool:
        """Return whether to send aggregates now, and note that they are sent.

        They are due ``interval_s`` after the last ones if they have changed, and as a heartbeat.
        """
        content = [
            (one.cell, one.leader, one.uses, one.waiting_nodes, one.members) for one in reports
        ]
        if now - self.at_s < (interval_s if content != self.content else self.heartbeat_s):
            return False
        self.content, self.at_s = content, now
        return True


def encode_changes(changes: NodeLoadChanges, now: float) -> bytes:
    """Encode a report of changes."""
    uses = [(name, use.online, use.batch) for name, use in sorted(changes.uses.items())]
    speeds = encode_speeds(changes.speeds, now)
    row = _Changes(
        changes.node, changes.boot, changes.sequence, changes.waiting_items, uses, speeds
    )
    return MARK + _ENCODER.encode(row)


def holds_changes(data: bytes) -> bool:
    """Return whether a datagram is a report of changes."""
    return data.startswith(MARK)


def decode_changes(data: bytes, received_s: float) -> NodeLoadChanges:
    """Decode a report of changes; raise ``InvalidLoadReport`` if that fails."""
    try:
        row = _DECODER.decode(data[len(MARK) :])
        speeds = decode_speeds(row.speeds, received_s)
        check_rows(row.uses, MAX_USES)
        check_names([row.node, *(use[0] for use in row.uses)])
    except (msgspec.MsgspecError, ValueError) as error:
        raise InvalidLoadReport(str(error)) from error
    uses = {EndpointId(name): RequestCounts(online, batch) for name, online, batch in row.uses}
    return NodeLoadChanges(
        NodeId(row.node), row.boot, row.sequence, uses, row.waiting_items, received_s, speeds
    )
