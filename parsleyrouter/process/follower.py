"""``FleetView`` of a process that follows the agent of its VM over loopback."""

import dataclasses
import logging
from collections.abc import Callable

from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.fleet_codec import from_member, from_record
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.fleet.ttypes import Follow, FollowAnswer
from parsleyrouter.version.replica import SettingsReplica
from parsleyrouter.version.snapshot import SettingsSnapshot
from parsleyrouter.version.snapshot_builder import SnapshotBuilder

__all__ = ["Follower"]

POLL_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.5
CALL_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


class Follower:
    """Implement ``FleetView`` by long-polling the VM's agent.

    The agent answers a poll once something changes or after a second. While it is unreachable, the
    last view stays. ``address`` is where this process serves ``service``; call ``start`` to begin.
    """

    def __init__(
        self,
        runtime: Runtime,
        agent: Address,
        service: Service,
        address: Address,
        *,
        node: NodeId,
        domain: DomainName,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.agent = agent
        self.service = service
        self.address = address
        self.me = NodeInfo(node, domain, {service: address})
        self.others: tuple[NodeInfo, ...] = ()
        self.view_version = 0
        self.settings_sequence = 0
        self.replica = SettingsReplica()
        self.builder = SnapshotBuilder()
        self.snapshot = SettingsSnapshot()
        self.leaving = False
        self.agent_reachable = False
        self.callbacks: list[Callable[[], None]] = []

    def serve(self, address: Address) -> None:
        """Set the address of this process once its socket is bound."""
        self.address = address
        self.me = dataclasses.replace(self.me, addresses={self.service: address})

    def start(self) -> None:
        """Start polling the agent."""
        self.loop.spawn(self._run(), "follower")

    def self_node(self) -> NodeInfo:
        """Return the node of this process."""
        return self.me

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes considered up, ordered by id."""
        return tuple(sorted((self.me, *self.others), key=lambda info: info.node))

    def settings(self) -> SettingsSnapshot:
        """Return the active settings of this process."""
        return self.snapshot

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of nodes or settings."""
        self.callbacks.append(callback)

    async def leave(self) -> None:
        """Tell the agent that this process accepts no new work."""
        self.leaving = True
        self._apply_answer(await self._poll())

    async def _run(self) -> None:
        while True:
            answer = await self._poll()
            self._apply_answer(answer)
            agent_failed = isinstance(answer, PeerFailure)
            await self.loop.sleep(RETRY_PAUSE_S if agent_failed else POLL_PAUSE_S)

    async def _poll(self) -> FollowAnswer | PeerFailure:
        request = Follow(
            role=self.service.value,
            address="" if self.leaving else self.address,
            view=self.view_version,
            settings=self.settings_sequence,
        )
        return await self.runtime.peers.call(
            self.agent, "fleet.follow", request, FollowAnswer, CALL_TIMEOUT_S
        )

    def _apply_answer(self, answer: FollowAnswer | PeerFailure) -> None:
        if isinstance(answer, PeerFailure):
            self._handle_agent_failure(answer.message)
            return
        self.agent_reachable = True
        changed = answer.view != self.view_version
        self.view_version = answer.view
        if answer.members is not None:
            self._apply_members([from_member(belief.member) for belief in answer.members.beliefs])
        if answer.settings is not None:
            self.settings_sequence = answer.settings.sequence
            self.replica.merge(map(from_record, answer.settings.records))
        proved = bool(answer.proved_current)
        if answer.settings is not None or proved != self.snapshot.proved_current:
            self.snapshot = self.builder.build(self.replica.records.values(), proved)
            changed = True
        if changed:
            self._notify()

    def _apply_members(self, infos: list[NodeInfo]) -> None:
        own = [info for info in infos if info.node == self.me.node]
        if own:
            addresses = {**own[0].addresses, self.service: self.address}
            self.me = dataclasses.replace(own[0], addresses=addresses)
        self.others = tuple(info for info in infos if info.node != self.me.node)

    def _handle_agent_failure(self, reason: str) -> None:
        if self.agent_reachable:
            log.warning("the agent of this VM does not answer", extra={"reason": reason})
        self.agent_reachable = False
        self.view_version = 0
        if self.snapshot.proved_current:
            self.snapshot = dataclasses.replace(self.snapshot, proved_current=False)
            self._notify()

    def _notify(self) -> None:
        for callback in self.callbacks:
            callback()
