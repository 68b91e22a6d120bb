"""What strangers send to the ports between nodes, by kind."""

import math
import os
import struct
from collections.abc import Callable

import msgspec
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.endpoint_speed import SpeedNews
from parsleyrouter.ids import Address, CellId, DomainName, EndpointId, NodeId
from parsleyrouter.limits.wire import MAX_ROWS as MAX_PERMIT_ROWS
from parsleyrouter.limits.wire import Ask, AskRow, GiveBack, GiveBackRow, encode_message
from parsleyrouter.process.fleet_limits import LimitReport
from parsleyrouter.process.fleet_loads import (
    CellLoadReport,
    NodeLoadChanges,
    NodeLoadReport,
    RequestCounts,
)
from parsleyrouter.process.load_changes import encode_changes
from parsleyrouter.process.load_codec import encode_cell_reports, encode_node_report
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.thrift_gen.load.ttypes import CrashNews, FleetNews, ServedNews, ServedPrompt

__all__ = ["LIMIT_KINDS", "NODE_DATAGRAMS", "Datagrams"]

SHORT_ROWS = 3800
LONG_NAME = "n" * 60_000
LARGEST = 2**63 - 1
LARGEST_COUNT = 2**31 - 1

Datagrams = Callable[[int], bytes]
"""Returns the datagram with a number."""

MARK = "~~~~~~"
"""Part of names in a datagram that is replaced by the number of the datagram."""

FIRST_SEQUENCE = 2**40


def _numbered(make: Callable[[], bytes]) -> Datagrams:
    """Return datagrams that differ only in the names that hold the mark."""
    template: list[bytes] = []

    def datagram(number: int) -> bytes:
        if not template:
            template.append(make())
        return template[0].replace(MARK.encode(), b"%06x" % number)

    return datagram


def _uses() -> dict[EndpointId, RequestCounts]:
    return {EndpointId(f"{MARK}.{row:x}"): RequestCounts(1, 1) for row in range(SHORT_ROWS)}


def _report(name: str = f"node-{MARK}", **changes: object) -> bytes:
    info = RegisteredNode(
        NodeId(name), DomainName("z1"), Address("127.0.0.1:9"), Address("127.0.0.1:9"), boot=1
    )
    fields = {"node": info.node, "boot": 1, "sequence": 1, "uses": {}}
    return encode_node_report(NodeLoadReport(**fields | changes), info, 0.0)  # type: ignore[arg-type]


def _many_rows() -> bytes:
    return _report(uses=_uses())


def _changes(number: int) -> bytes:
    """Return a report of one node, then changes of it that name ever new endpoints."""
    if number == 0:
        return _report("stranger")
    sequence = struct.pack(">Q", FIRST_SEQUENCE)
    return _first_changes(number).replace(sequence, struct.pack(">Q", FIRST_SEQUENCE + number))


_first_changes = _numbered(
    lambda: encode_changes(NodeLoadChanges(NodeId("stranger"), 1, FIRST_SEQUENCE, _uses()), 0.0)
)


def _huge() -> bytes:
    return _report(
        f"{MARK}{LONG_NAME}",
        boot=LARGEST,
        sequence=LARGEST,
        uses={EndpointId("e"): RequestCounts(LARGEST_COUNT, LARGEST_COUNT)},
        routes_version=LARGEST,
        waiting_items=LARGEST_COUNT,
        changed={"op/": LARGEST},
        store_failing=True,
        leaving=True,
        named_until_s=2e6,
    )


def _aggregates() -> bytes:
    rows = [
        CellLoadReport(
            CellId(f"cell-{MARK}-{row}"),
            NodeId(f"node-{MARK}"),
            1,
            1,
            {EndpointId(f"{MARK}.{row}.{one:x}"): RequestCounts(1, 1) for one in range(380)},
            members=tuple(NodeId(f"{MARK}-{one}") for one in range(100)),
        )
        for row in range(8)
    ]
    return encode_cell_reports(rows)


def _limits() -> bytes:
    rows = tuple(
        LimitReport(EndpointId(f"{MARK}.{row:x}"), 1, 5.0, 1e6, row) for row in range(1950)
    )
    return _report(limits=rows)


def _new_limits() -> bytes:
    rows = tuple(
        LimitReport(EndpointId(f"{MARK}.{row:x}"), 1, 5.0, 0.0, row) for row in range(1900)
    )
    return _report(limits=rows)


def _limit_numbers() -> bytes:
    # The endpoint c1 of the tests is one of them.
    odd = (math.inf, math.nan, -1e308, 1e308)
    rows = tuple(
        LimitReport(EndpointId(f"{row:x}"), LARGEST, odd[row % 4], 0.0, LARGEST)
        for row in range(1000)
    )
    return _report(limits=rows)


def _write(message: FleetNews) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())


def _crashes() -> bytes:
    rows = [
        CrashNews(
            f"e{MARK}.{row}",
            200,
            [[f"{MARK}.{row}.{one}"] for one in range(60)],
            1,
            [f"{MARK}.{row}.{one}" for one in range(60)],
        )
        for row in range(20)
    ]
    return _write(FleetNews(crashes=rows))


def _same_prompts() -> bytes:
    """Return a crash that may have been caused by what was in flight at all others."""
    prompts = [[f"p{one}", f"q{one % 7}"] for one in range(64)]
    return _write(FleetNews(crashes=[CrashNews(f"e{MARK}", 200, prompts, 1, None)]))


def _served() -> bytes:
    prompt = ServedPrompt([f"{MARK}{LONG_NAME[:50_000]}"], 0)
    parts = [f"{MARK}.{row}" for row in range(1000)]
    return _write(FleetNews(served=ServedNews([prompt], parts)))


def _groups() -> bytes:
    groups = [[f"{MARK}.{row}"] for row in range(SHORT_ROWS)]
    return _write(FleetNews(quarantined=groups))


def _few_groups() -> bytes:
    return _write(FleetNews(quarantined=[[f"{MARK}.{row}"] for row in range(12)]))


def _long_prompts() -> bytes:
    """Return a crash with as many parts as are recorded, the same at all endpoints."""
    prompts = [[f"p{one}.{part}" for part in range(17)] for one in range(64)]
    return _write(FleetNews(crashes=[CrashNews(f"e{MARK}", 200, prompts, 1, None)]))


def _long_groups() -> bytes:
    return _write(FleetNews(quarantined=[[f"{MARK}{LONG_NAME}"]]))


def _speeds() -> bytes:
    news = [SpeedNews(EndpointId(f"{MARK}.{row}"), row, 1e6, 0.0, 1e6, 1.0) for row in range(16)]
    return _report(speeds=tuple(news))


def _any_bytes(_: int) -> bytes:
    return os.urandom(1200)


NODE_DATAGRAMS: dict[str, Datagrams] = {
    "any bytes": _any_bytes,
    "reports of unknown nodes with very many short rows": _numbered(_many_rows),
    "changes of one node that name ever new endpoints": _changes,
    "reports with huge numbers and names": _numbered(_huge),
    "aggregates of unknown cells": _numbered(_aggregates),
    "limits of unknown endpoints": _numbered(_limits),
    "limits of unknown endpoints that began now": _numbered(_new_limits),
    "limits that are no numbers": _numbered(_limit_numbers),
    "crashes of very many endpoints": _numbered(_crashes),
    "crashes with the same prompts": _numbered(_same_prompts),
    "crashes with the same long prompts": _numbered(_long_prompts),
    "answers to prompts with long names": _numbered(_served),
    "very many groups of parts": _numbered(_groups),
    "few groups of parts at a time": _numbered(_few_groups),
    "groups of parts with long names": _numbered(_long_groups),
    "speeds of unknown endpoints": _numbered(_speeds),
}


def _asks(number: int) -> bytes:
    rows = [
        AskRow(number * 100 + row, row, f"c{number}.{row}", returning=True, longest_ms=LARGEST)
        for row in range(MAX_PERMIT_ROWS)
    ]
    return encode_message(Ask(f"127.0.0.{number % 200 + 1}:9", rows))


def _asks_of_a_customer(number: int) -> bytes:
    rows = [
        AskRow(number * 100 + row, row, "ant", returning=False, longest_ms=60_000)
        for row in range(MAX_PERMIT_ROWS)
    ]
    return encode_message(Ask(f"127.0.0.{number % 200 + 1}:9", rows))


def _long_asks(number: int) -> bytes:
    rows = [AskRow(number, 1, f"{number}{LONG_NAME}", returning=True, longest_ms=-1)]
    return encode_message(Ask("127.0.0.1:9", rows))


def _answers(number: int) -> bytes:
    rows = [[number * 64 + row, row % 4, 2**61, 3_600_000, 3_600_000, 100] for row in range(64)]
    return msgspec.msgpack.encode([2, rows])


def _very_many_rows(number: int) -> bytes:
    return msgspec.msgpack.encode([1, "127.0.0.1:9", [[number, 1, "a", False, 1]] * 7000])


def _returned(number: int) -> bytes:
    rows = [GiveBackRow(row, "ant", number * 64 + row) for row in range(MAX_PERMIT_ROWS)]
    return encode_message(GiveBack(rows))


LIMIT_KINDS: dict[str, Datagrams] = {
    "any bytes": _any_bytes,
    "asks of unknown customers": _asks,
    "asks of a known customer": _asks_of_a_customer,
    "asks with long names": _long_asks,
    "asks in very many short rows": _very_many_rows,
    "answers that nobody asked for": _answers,
    "permits that nobody was granted": _returned,
}
