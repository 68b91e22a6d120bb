"""Turn what nodes tell each other of their work into datagrams and back."""

from collections.abc import Iterable, Mapping

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.ids import Address, CellId, DomainName, EndpointId, NodeId
from parsleyrouter.process.fleet_loads import CellSum, NodeLoadReport, RequestCounts
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.thrift_gen.load.ttypes import CellNews, FleetNews, LoadNews
from parsleyrouter.thrift_gen.load.ttypes import EndpointUse as WireUse

__all__ = ["BadNews", "decode", "encode_cells", "encode_node"]

Uses = Mapping[EndpointId, RequestCounts]


class BadNews(ValueError):
    """Report a datagram that is no message of ours."""


def encode_node(news: NodeLoadReport, own: RegisteredNode) -> bytes:
    """Return the datagram with the word of one node."""
    message = LoadNews(
        node=own.node,
        boot=own.boot,
        sequence=news.sequence,
        uses=_to_wire(news.uses),
        leaving=news.leaving,
        routes_version=news.routes_version,
        callers_address=own.callers,
        nodes_address=own.nodes,
        domain=own.domain,
        waiting_items=news.waiting_items,
        store_failing=news.store_failing,
    )
    return _write(FleetNews(node=message))


def encode_cells(cells: Iterable[CellSum]) -> bytes:
    """Return the datagram with the sums of some cells."""
    rows = [
        CellNews(
            cell=told.cell,
            speaker=told.speaker,
            boot=told.boot,
            sequence=told.sequence,
            uses=_to_wire(told.uses),
            contenders=told.contenders,
        )
        for told in cells
    ]
    return _write(FleetNews(cells=rows))


def decode(
    data: bytes, received_s: float
) -> tuple[tuple[NodeLoadReport, RegisteredNode] | None, list[CellSum]]:
    """Return the node and the cells of a datagram that arrived at a time; raise ``BadNews``."""
    message = FleetNews()
    try:
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        node = None if message.node is None else _node(message.node, received_s)
        return node, [_cell(row, received_s) for row in message.cells or ()]
    except Exception as error:
        raise BadNews(str(error)) from error


def _node(message: LoadNews, received_s: float) -> tuple[NodeLoadReport, RegisteredNode]:
    news = NodeLoadReport(
        node=NodeId(message.node),
        boot=message.boot,
        sequence=message.sequence,
        uses=_from_wire(message.uses),
        received_s=received_s,
        leaving=message.leaving,
        routes_version=message.routes_version,
        waiting_items=message.waiting_items or 0,
        store_failing=bool(message.store_failing),
    )
    info = RegisteredNode(
        node=NodeId(message.node),
        domain=DomainName(message.domain),
        callers=Address(message.callers_address),
        nodes=Address(message.nodes_address),
        boot=message.boot,
    )
    return news, info


def _cell(message: CellNews, received_s: float) -> CellSum:
    return CellSum(
        cell=CellId(message.cell),
        speaker=NodeId(message.speaker),
        boot=message.boot,
        sequence=message.sequence,
        uses=_from_wire(message.uses),
        contenders=message.contenders or 0,
        received_s=received_s,
    )


def _to_wire(uses: Uses) -> list[WireUse]:
    return [WireUse(name, use.online, use.batch) for name, use in sorted(uses.items())]


def _from_wire(rows: Iterable[WireUse]) -> dict[EndpointId, RequestCounts]:
    return {EndpointId(row.endpoint): RequestCounts(row.online, row.batch) for row in rows}


def _write(message: FleetNews) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())
