"""Turn members and settings into thrift messages and back."""

from parsleyrouter.ids import Address, DomainName, NodeId, Revision
from parsleyrouter.process.view import NodeInfo, NodeState, Service
from parsleyrouter.thrift_gen.fleet.ttypes import Member, SettingsMark, SettingsRecord
from parsleyrouter.version.merge import HeldRecord, Mark

__all__ = [
    "from_mark",
    "from_member",
    "from_record",
    "to_mark",
    "to_member",
    "to_record",
]

LONGEST_AGE_MS = 2**31 - 1


def to_member(info: NodeInfo) -> Member:
    """Return the message of a node."""
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
    """Return the node of a message; services unknown to this version are left out."""
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


def to_mark(mark: Mark) -> SettingsMark:
    """Return the message of a mark."""
    age_ms = int(min(mark.proof_age_s * 1000, LONGEST_AGE_MS))
    return SettingsMark(head=mark.head, complete=mark.complete, proof_age_ms=age_ms)


def from_mark(message: SettingsMark) -> Mark:
    """Return the mark of a message."""
    age_s = message.proof_age_ms / 1000
    if message.proof_age_ms >= LONGEST_AGE_MS:
        age_s = float("inf")
    return Mark(Revision(message.head), Revision(message.complete), age_s)


def to_record(held: HeldRecord) -> SettingsRecord:
    """Return the message of a record."""
    return SettingsRecord(subtree=held.subtree, revision=held.revision, data=held.data)


def from_record(message: SettingsRecord) -> HeldRecord:
    """Return the record of a message."""
    return HeldRecord(message.subtree, Revision(message.revision), message.data)
