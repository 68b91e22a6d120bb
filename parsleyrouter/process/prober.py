"""Run the membership decisions over UDP, and the exchanges of all beliefs over TCP."""

import logging
import random
from collections.abc import Callable, Iterable

from parsleyrouter.connection.datagram import DatagramSocket
from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import Address, NodeId
from parsleyrouter.process.fleet_codec import InvalidDatagram, decode, encode, from_rumor, to_rumor
from parsleyrouter.process.fleet_view import NodeInfo
from parsleyrouter.process.member_messages import Action, Send
from parsleyrouter.process.membership import Membership
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.fleet.ttypes import Belief, MemberList
from parsleyrouter.version.replica import Watermark

__all__ = ["Prober"]

TICK_S = 0.1
SYNC_TIMEOUT_S = 2.0
BELIEF_BYTES = 200
"""About what one belief with its description takes in an exchange of all beliefs."""

log = logging.getLogger(__name__)


class Prober:
    """Own the UDP socket of an agent; every datagram carries the mark of its settings.

    A mark is dated by the tick before the last one: the socket had been emptied since, also when
    this process was paused with datagrams waiting.
    """

    def __init__(
        self,
        runtime: Runtime,
        bind: Address,
        me: NodeInfo,
        *,
        mark: Callable[[], Watermark],
        on_mark: Callable[[Address, Watermark, float], None],
        on_change: Callable[[], None],
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.membership = Membership(me, random.Random())
        self.socket = DatagramSocket(self.loop, bind, self._on_datagram).register(runtime)
        self.mark = mark
        self.on_mark = on_mark
        self.on_change = on_change
        self.told_version = -1
        self.ticks_s = (runtime.loop.now(), runtime.loop.now())
        self.dropped: Callable[[], bool] = lambda: False
        self.listed_sent = 0
        self.listed_received = 0
        self.ended = False

    def start(self) -> None:
        """Begin to probe."""
        self._tick()

    def describe(self, info: NodeInfo) -> None:
        """Announce a new description of this node."""
        self.membership.describe(info)
        self._tell()

    def push(self) -> None:
        """Send news soon, because the settings here have changed."""
        self.membership.push_due = True

    def end(self) -> None:
        """Tell others that this node ends and fall silent."""
        if not self.ended:
            self._do(self.membership.end())
            self.ended = True

    def close(self) -> None:
        """Fall silent without a word, as a lost VM does."""
        self.ended = True
        self.socket.close()

    def exchange(self, request: MemberList) -> MemberList:
        """Answer another node's beliefs with one's own; with none once this node has ended."""
        if self.ended:
            return MemberList(node=self.membership.me.node, beliefs=[])
        self.listed_received += len(request.beliefs)
        self.hear(request.beliefs)
        answer = self.beliefs()
        self.listed_sent += len(answer.beliefs)
        return answer

    def sent_bytes(self) -> int:
        """Return the bytes of all datagrams, and about those of all exchanges, sent."""
        return self.socket.sent_bytes + self.listed_sent * BELIEF_BYTES

    def received_bytes(self) -> int:
        """Return the bytes of all datagrams, and about those of all exchanges, received."""
        return self.socket.received_bytes + self.listed_received * BELIEF_BYTES

    def beliefs(self) -> MemberList:
        """Return all that this node believes."""
        rumors = self.membership.table.all_rumors()
        return MemberList(node=self.membership.me.node, beliefs=list(map(to_rumor, rumors)))

    def hear(self, beliefs: Iterable[Belief]) -> None:
        """Take in the beliefs of another node."""
        self.membership.hear(map(from_rumor, beliefs), self.loop.now())
        self._tell()

    def up(self) -> list[NodeInfo]:
        """Return the other nodes believed up."""
        return self.membership.table.up()

    def knows(self, node: NodeId) -> bool:
        """Tell whether a node is believed up."""
        return any(info.node == node for info in self.up())

    def _tick(self) -> None:
        if self.ended:
            return
        self.loop.call_later(TICK_S, self._tick)
        self.ticks_s = (self.ticks_s[1], self.loop.now())
        self._do(self.membership.tick(self.loop.now()))
        self._tell()

    def _on_datagram(self, data: bytes) -> None:
        if self.ended or self.dropped():
            return
        try:
            message, mark = decode(data)
        except InvalidDatagram as error:
            log.debug("datagram not understood", extra={"error": str(error)})
            return
        self._do(self.membership.receive(message, self.loop.now()))
        self._tell()
        self.on_mark(message.reply_to, mark, self.ticks_s[0])

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if self.ended:
                return
            if isinstance(action, Send):
                self.socket.send(action.to, encode(action.message, self.mark()))
            else:
                self.loop.spawn(self._sync(action.to), "sync members")

    async def _sync(self, address: Address) -> None:
        mine = self.beliefs()
        self.listed_sent += len(mine.beliefs)
        answer = await self.runtime.peers.call(
            address, "fleet.sync", mine, MemberList, SYNC_TIMEOUT_S
        )
        if not isinstance(answer, PeerFailure) and not self.ended:
            self.listed_received += len(answer.beliefs)
            self.hear(answer.beliefs)

    def _tell(self) -> None:
        if self.told_version != self.membership.table.version:
            self.told_version = self.membership.table.version
            self.on_change()
