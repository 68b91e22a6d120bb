"""Convert members, settings and gossip datagrams to thrift messages and back."""

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.ids import Address, DomainName, NodeId, Revision
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service
from parsleyrouter.process.member_messages import Message, MessageKind
from parsleyrouter.process.member_table import MemberHealth, Rumor
from parsleyrouter.thrift_gen.fleet.ttypes import (
    Belief,
    Member,
    Probe,
    SettingsMark,
    SettingsRecord,
)
from parsleyrouter.version.replica import StoredRecord, Watermark

__all__ = [
    "InvalidDatagram",
    "decode",
    "encode",
    "from_watermark",
    "from_member",
    "from_record",
    "from_rumor",
    "to_watermark",
    "to_member",
    "to_record",
    "to_rumor",
]

MAX_AGE_MS = 2**31 - 1


class InvalidDatagram(ValueError):
    """Raised for a datagram that cannot be decoded."""


def to_member(info: NodeInfo) -> Member:
    """Convert a node to its thrift message."""
    services = {
        service.value: address
        for service, address in info.addresses.items()
        if service is not Service.AGENT
    }
    return Member(
        node=info.node,
        domain=info.domain,
        agent=info.addresses.get(Service.AGENT, ""),
        services=services,
        leaving=info.state is NodeState.LEAVING,
        load=info.load,
        incarnation=info.incarnation,
    )


def from_member(member: Member) -> NodeInfo:
    """Convert a thrift message to a node; drop services that this version does not know."""
    known = {service.value: service for service in Service}
    addresses = {
        known[name]: Address(address) for name, address in member.services.items() if name in known
    }
    addresses[Service.AGENT] = Address(member.agent)
    return NodeInfo(
        node=NodeId(member.node),
        domain=DomainName(member.domain),
        addresses=addresses,
        state=NodeState.LEAVING if member.leaving else NodeState.LIVE,
        load=member.load,
        incarnation=member.incarnation,
    )


def to_watermark(mark: Watermark) -> SettingsMark:
    """Convert a settings watermark to its thrift message."""
    age_ms = int(min(mark.proof_age_s * 1000, MAX_AGE_MS))
    return SettingsMark(head=mark.head, complete=mark.complete, proof_age_ms=age_ms)


def from_watermark(message: SettingsMark) -> Watermark:
    """Convert a thrift message to a settings watermark."""
    age_s = message.proof_age_ms / 1000
    if message.proof_age_ms >= MAX_AGE_MS:
        age_s = float("inf")
    return Watermark(Revision(message.head), Revision(message.complete), age_s)


def to_record(held: StoredRecord) -> SettingsRecord:
    """Convert a settings record to its thrift message."""
    return SettingsRecord(subtree=held.subtree, revision=held.revision, data=held.data)


def from_record(message: SettingsRecord) -> StoredRecord:
    """Convert a thrift message to a settings record."""
    return StoredRecord(message.subtree, Revision(message.revision), message.data)


def to_rumor(rumor: Rumor) -> Belief:
    """Convert a rumor to its thrift message."""
    member = None if rumor.info is None else to_member(rumor.info)
    return Belief(
        health=rumor.health.value,
        node=rumor.node,
        incarnation=rumor.incarnation,
        member=member,
    )


def from_rumor(belief: Belief) -> Rumor:
    """Convert a thrift message to a rumor."""
    info = None if belief.member is None else from_member(belief.member)
    return Rumor(NodeId(belief.node), belief.incarnation, MemberHealth(belief.health), info)


def encode(message: Message, mark: Watermark) -> bytes:
    """Encode a message and the sender's settings watermark as a datagram."""
    probe = Probe(
        kind=message.kind.value,
        sender=message.sender,
        sequence=message.sequence,
        target=message.target or None,
        target_agent=message.target_agent or None,
        beliefs=list(map(to_rumor, message.rumors)),
        settings=to_watermark(mark),
        digest=message.digest,
        reply_to=message.reply_to,
        load=message.load,
    )
    buffer = TMemoryBuffer()
    probe.write(TCompactProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())


def decode(data: bytes) -> tuple[Message, Watermark]:
    """Decode a datagram; raise ``InvalidDatagram`` if that fails."""
    probe = Probe()
    try:
        probe.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        return _message(probe), from_watermark(probe.settings)
    except Exception as error:
        raise InvalidDatagram(str(error)) from error


def _message(probe: Any) -> Message:
    return Message(
        kind=MessageKind(probe.kind),
        sender=NodeId(probe.sender),
        reply_to=Address(probe.reply_to),
        sequence=probe.sequence,
        target=NodeId(probe.target or ""),
        target_agent=Address(probe.target_agent or ""),
        rumors=tuple(map(from_rumor, probe.beliefs)),
        digest=probe.digest,
        load=probe.load,
    )
