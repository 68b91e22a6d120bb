"""Encode and decode load report datagrams."""

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.endpoint_speed import SpeedNews, decode_speeds, encode_speeds
from parsleyrouter.ids import (
    Address,
    CellId,
    DomainName,
    EndpointId,
    NodeId,
    PromptPart,
    Revision,
    RunId,
)
from parsleyrouter.process.fleet_limits import LimitReport
from parsleyrouter.process.fleet_loads import CellLoadReport, NodeLoadReport, RequestCounts
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.report_bounds import check_bounds
from parsleyrouter.request.crash import Crash, PartGroup, Prompt
from parsleyrouter.request.crash_evidence import MAX_PARTS
from parsleyrouter.thrift_gen.load.ttypes import (
    CellNews,
    CrashNews,
    EndpointLimit,
    FleetNews,
    LoadNews,
    ServedNews,
    ServedPrompt,
)
from parsleyrouter.thrift_gen.load.ttypes import EndpointUse as WireUse

__all__ = [
    "MAX_ROWS",
    "Datagram",
    "InvalidLoadReport",
    "decode",
    "encode_cell_reports",
    "encode_crashes",
    "encode_node_report",
    "encode_quarantined",
    "encode_served",
    "split_crash",
]

MAX_ROWS = 32
"""Prompts in one datagram."""

log = logging.getLogger(__name__)

CountsByEndpoint = Mapping[EndpointId, RequestCounts]


@dataclass(frozen=True)
class Datagram:
    """One decoded datagram; the addresses of the node are ``None`` if its report leaves them out.

    ``served`` holds when the answer of each prompt began; monotonic, here.
    """

    node: tuple[NodeLoadReport, RegisteredNode | None] | None
    cells: list[CellLoadReport]
    crashes: list[Crash]
    served: dict[Prompt, float]
    served_before: list[PromptPart]
    quarantined: list[PartGroup]


class InvalidLoadReport(ValueError):
    """Raised for a datagram that cannot be decoded."""


def encode_node_report(
    report: NodeLoadReport, own: RegisteredNode, now: float, *, addressed: bool = True
) -> bytes:
    """Encode the load report of one node, with its addresses if ``addressed``."""
    named_s = max(0.0, report.named_until_s - now) if report.leaving else 0.0
    message = LoadNews(
        node=own.node,
        boot=own.boot,
        sequence=report.sequence,
        uses=_to_wire(report.uses),
        leaving=report.leaving,
        named_ms=int(named_s * 1000),
        routes_version=report.routes_version,
        callers_address=own.callers if addressed else None,
        nodes_address=own.nodes if addressed else None,
        domain=own.domain if addressed else None,
        waiting_items=report.waiting_items,
        store_failing=report.store_failing,
        changed=dict(report.changed) if addressed else None,
        limits=[_limit_to_wire(one, now) for one in report.limits] or None,
    )
    return _write(FleetNews(node=message)) + encode_speeds(report.speeds, now)


def encode_cell_reports(cells: Iterable[CellLoadReport]) -> bytes:
    """Encode the load reports of cells in one datagram."""
    rows = [
        CellNews(
            cell=report.cell,
            speaker=report.leader,
            boot=report.boot,
            sequence=report.sequence,
            uses=_to_wire(report.uses),
            contenders=report.waiting_nodes,
            members=list(report.members),
        )
        for report in cells
    ]
    return _write(FleetNews(cells=rows))


def encode_crashes(crashes: Iterable[Crash], age_s: float) -> bytes:
    """Encode crashes that this node saw ``age_s`` ago."""
    return _write(FleetNews(crashes=[_crash_to_wire(one, age_s) for one in crashes]))


def split_crash(crash: Crash) -> list[Crash]:
    """Return a crash in pieces that fit a datagram each."""
    rows: list[tuple[RunId | None, Prompt]] = sorted(crash.runs.items())
    rows += [(None, prompt) for prompt in sorted(crash.prompts - set(crash.runs.values()))]
    pieces = []
    for first in range(0, len(rows), MAX_ROWS):
        piece = rows[first : first + MAX_ROWS]
        runs = {run: prompt for run, prompt in piece if run is not None}
        prompts = {prompt for _, prompt in piece}
        pieces.append(Crash(crash.endpoint, crash.at_s, prompts, crash.started_ms, runs))
    return pieces


def encode_served(
    prompts: Mapping[Prompt, float], parts_before: Iterable[PromptPart] = ()
) -> bytes:
    """Encode prompts with the age of their answers, and parts that were answered earlier."""
    rows = [
        ServedPrompt(list(prompt[-MAX_PARTS:]), int(age_s * 1000))
        for prompt, age_s in list(prompts.items())[:MAX_ROWS]
    ]
    return _write(FleetNews(served=ServedNews(rows, sorted(parts_before)[:MAX_ROWS])))


def encode_quarantined(group: PartGroup) -> bytes:
    """Encode a group of prompt parts that this node has put into quarantine."""
    return _write(FleetNews(quarantined=[sorted(group)]))


def decode(data: bytes, received_s: float) -> Datagram:
    """Decode a datagram received at ``received_s``; raise ``InvalidLoadReport`` if that fails."""
    message, buffer = FleetNews(), TMemoryBuffer(data)
    try:
        message.read(TCompactProtocolAccelerated(buffer))
        check_bounds(message)
        speeds = _speeds_from_rest(data[buffer.cstringio_buf.tell() :], received_s)
        node = None if message.node is None else _node_report(message.node, speeds, received_s)
        crashes = [_crash_from_wire(row, received_s) for row in message.crashes or ()]
        served = message.served or ServedNews([], [])
        return Datagram(
            node,
            [_cell_report(row, received_s) for row in message.cells or ()],
            crashes,
            {
                tuple(PromptPart(part) for part in row.parts): received_s - row.age_ms / 1000
                for row in served.prompts
            },
            [PromptPart(part) for part in served.parts_before],
            [
                frozenset(prompt)
                for prompt in _prompts_from_wire(message.quarantined or ())
                if prompt
            ],
        )
    except Exception as error:
        raise InvalidLoadReport(str(error)) from error


def _speeds_from_rest(rest: bytes, received_s: float) -> tuple[SpeedNews, ...]:
    """Return the news after a report; a form that this version does not know is left out."""
    try:
        return decode_speeds(rest, received_s)
    except msgspec.MsgspecError as error:
        log.debug("speeds in a load report not decoded", extra={"reason": str(error)})
        return ()


def _node_report(
    message: LoadNews, speeds: tuple[SpeedNews, ...], received_s: float
) -> tuple[NodeLoadReport, RegisteredNode | None]:
    report = NodeLoadReport(
        node=NodeId(message.node),
        boot=message.boot,
        sequence=message.sequence,
        uses=_from_wire(message.uses),
        received_s=received_s,
        leaving=message.leaving,
        named_until_s=received_s + (message.named_ms or 0) / 1000,
        routes_version=message.routes_version,
        waiting_items=message.waiting_items or 0,
        store_failing=bool(message.store_failing),
        changed={prefix: Revision(at) for prefix, at in (message.changed or {}).items()},
        limits=tuple(_limit_from_wire(row, received_s) for row in message.limits or ()),
        speeds=speeds,
    )
    if message.nodes_address is None:
        return report, None
    info = RegisteredNode(
        node=NodeId(message.node),
        domain=DomainName(message.domain),
        callers=Address(message.callers_address),
        nodes=Address(message.nodes_address),
        boot=message.boot,
    )
    return report, info


def _cell_report(message: CellNews, received_s: float) -> CellLoadReport:
    return CellLoadReport(
        cell=CellId(message.cell),
        leader=NodeId(message.speaker),
        boot=message.boot,
        sequence=message.sequence,
        uses=_from_wire(message.uses),
        waiting_nodes=message.contenders or 0,
        members=tuple(NodeId(node) for node in message.members or ()),
        received_s=received_s,
    )


def _crash_to_wire(crash: Crash, age_s: float) -> CrashNews:
    """Return a crash with the prompt of each run, then the prompts without a known run."""
    one_each = {prompt: run for run, prompt in crash.runs.items()}
    firsts = set(one_each.values())
    runs = sorted(crash.runs.items(), key=lambda entry: entry[0] not in firsts)[:MAX_ROWS]
    prompts: list[list[str]] = [list(prompt[-MAX_PARTS:]) for _, prompt in runs]
    prompts += _prompts_to_wire(crash.prompts - set(crash.runs.values()))
    age_ms, names = int(age_s * 1000), [run for run, _ in runs]
    return CrashNews(crash.endpoint, age_ms, prompts[:MAX_ROWS], crash.started_ms, names)


def _crash_from_wire(row: CrashNews, received_s: float) -> Crash:
    prompts = _prompts_from_wire(row.prompts)
    runs = {RunId(run): prompt for run, prompt in zip(row.runs or (), prompts, strict=False)}
    at_s = received_s - row.age_ms / 1000
    return Crash(EndpointId(row.endpoint), at_s, set(prompts), row.started_ms or 0, runs)


def _prompts_to_wire(prompts: Iterable[Prompt]) -> list[list[str]]:
    return [list(prompt[-MAX_PARTS:]) for prompt in sorted(prompts)[:MAX_ROWS]]


def _prompts_from_wire(rows: Iterable[Iterable[str]]) -> list[Prompt]:
    return [tuple(PromptPart(part) for part in row) for row in rows]


def _limit_to_wire(report: LimitReport, now: float) -> EndpointLimit:
    said_ms = int((now - report.said_s) * 1000)
    return EndpointLimit(report.endpoint, report.started_ms, report.per_s, said_ms, report.sent)


def _limit_from_wire(row: EndpointLimit, received_s: float) -> LimitReport:
    said_s = received_s - row.said_ms / 1000
    return LimitReport(EndpointId(row.endpoint), row.started_ms, row.per_s, said_s, row.sent)


def _to_wire(uses: CountsByEndpoint) -> list[WireUse]:
    return [WireUse(name, use.online, use.batch) for name, use in sorted(uses.items())]


def _from_wire(rows: Iterable[WireUse]) -> dict[EndpointId, RequestCounts]:
    return {EndpointId(row.endpoint): RequestCounts(row.online, row.batch) for row in rows}


def _write(message: FleetNews) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())
