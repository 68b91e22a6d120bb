"""Run the membership protocol over UDP, and exchanges of complete member lists over TCP."""

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

TICK_INTERVAL_S = 0.1
SYNC_TIMEOUT_S = 2.0
MEMBER_STATE_BYTES = 200
"""Approximate size of the state of one node in an exchange of member lists."""

log = logging.getLogger(__name__)


class Prober:
    """Own the UDP socket of an agent; every datagram carries its settings watermark.

    A received watermark is dated to the tick before the last one. The socket has been drained
    since then, even if this process was paused while datagrams were waiting.
    """

    def __init__(
        self,
        runtime: Runtime,
        bind: Address,
        me: NodeInfo,
        *,
        watermark: Callable[[], Watermark],
        on_watermark: Callable[[Address, Watermark, float], None],
        on_change: Callable[[], None],
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.membership = Membership(me, random.Random())
        self.socket = DatagramSocket(self.loop, bind, self._on_datagram).register(runtime)
        self.watermark = watermark
        self.on_watermark = on_watermark
        self.on_change = on_change
        self.notified_version = -1
        self.last_ticks_s = (runtime.loop.now(), runtime.loop.now())
        self.dropped: Callable[[], bool] = lambda: False
        self.sent_states = 0
        self.received_states = 0
        self.ended = False

    def start(self) -> None:
        """Start probing."""
        self._tick()

    def describe(self, info: NodeInfo) -> None:
        """Announce a new description of this node."""
        self.membership.describe(info)
        self._notify()

    def push(self) -> None:
        """Send gossip with the next tick, because the settings of this node have changed."""
        self.membership.gossip_due = True

    def end(self) -> None:
        """Notify others that this node shuts down, and stop responding."""
        if not self.ended:
            self._execute(self.membership.end())
            self.ended = True

    def close(self) -> None:
        """Stop responding without notice, as a lost VM does."""
        self.ended = True
        self.socket.close()

    def exchange(self, request: MemberList) -> MemberList:
        """Apply another node's member list and return that of this node, empty after its end."""
        if self.ended:
            return MemberList(node=self.membership.me.node, beliefs=[])
        self.received_states += len(request.beliefs)
        self.receive_states(request.beliefs)
        answer = self.member_list()
        self.sent_states += len(answer.beliefs)
        return answer

    def sent_bytes(self) -> int:
        """Return the bytes sent in datagrams and, approximately, in exchanges."""
        return self.socket.sent_bytes + self.sent_states * MEMBER_STATE_BYTES

    def received_bytes(self) -> int:
        """Return the bytes received in datagrams and, approximately, in exchanges."""
        return self.socket.received_bytes + self.received_states * MEMBER_STATE_BYTES

    def member_list(self) -> MemberList:
        """Return the member list of this node."""
        rumors = self.membership.table.all_rumors()
        return MemberList(node=self.membership.me.node, beliefs=list(map(to_rumor, rumors)))

    def receive_states(self, beliefs: Iterable[Belief]) -> None:
        """Apply the member states that another node sent."""
        self.membership.receive_rumors(map(from_rumor, beliefs), self.loop.now())
        self._notify()

    def up(self) -> list[NodeInfo]:
        """Return the other nodes considered up."""
        return self.membership.table.up()

    def knows(self, node: NodeId) -> bool:
        """Return whether a node is considered up."""
        return any(info.node == node for info in self.up())

    def _tick(self) -> None:
        if self.ended:
            return
        self.loop.call_later(TICK_INTERVAL_S, self._tick)
        self.last_ticks_s = (self.last_ticks_s[1], self.loop.now())
        self._execute(self.membership.tick(self.loop.now()))
        self._notify()

    def _on_datagram(self, data: bytes) -> None:
        if self.ended or self.dropped():
            return
        try:
            message, watermark = decode(data)
        except InvalidDatagram as error:
            log.debug("invalid datagram dropped", extra={"error": str(error)})
            return
        self._execute(self.membership.receive(message, self.loop.now()))
        self._notify()
        self.on_watermark(message.reply_to, watermark, self.last_ticks_s[0])

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if self.ended:
                return
            if isinstance(action, Send):
                self.socket.send(action.to, encode(action.message, self.watermark()))
            else:
                self.loop.spawn(self._sync(action.to), "sync members")

    async def _sync(self, address: Address) -> None:
        own_list = self.member_list()
        self.sent_states += len(own_list.beliefs)
        answer = await self.runtime.peers.call(
            address, "fleet.sync", own_list, MemberList, SYNC_TIMEOUT_S
        )
        if not isinstance(answer, PeerFailure) and not self.ended:
            self.received_states += len(answer.beliefs)
            self.receive_states(answer.beliefs)

    def _notify(self) -> None:
        if self.notified_version != self.membership.table.version:
            self.notified_version = self.membership.table.version
            self.on_change()
