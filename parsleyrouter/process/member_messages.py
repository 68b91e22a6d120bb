"""Messages of the membership protocol: datagrams, and exchanges of complete member lists."""

from dataclasses import dataclass
from enum import Enum

from parsleyrouter.ids import Address, NodeId
from parsleyrouter.process.member_table import Rumor

__all__ = ["Action", "Message", "MessageKind", "Send", "Sync"]


class MessageKind(Enum):
    """Purpose of a datagram; ``PING_REQ`` requests an indirect probe."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    GOSSIP = 3


@dataclass(frozen=True)
class Message:
    """One datagram; ``target`` is the node to probe, or the node that answered."""

    kind: MessageKind
    sender: NodeId
    reply_to: Address
    sequence: int = 0
    target: NodeId = NodeId("")
    target_agent: Address = Address("")
    rumors: tuple[Rumor, ...] = ()
    digest: int = 0
    load: float = 0.0


@dataclass(frozen=True)
class Send:
    """Send a datagram."""

    to: Address
    message: Message


@dataclass(frozen=True)
class Sync:
    """Exchange complete member lists with an agent."""

    to: Address


Action = Send | Sync
