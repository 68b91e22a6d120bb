"""Ask the owners of parts whether they still run them.

An owner that has restarted, or whose claim took effect while its answer was lost, is live and runs
nothing. The fleet view cannot tell; only the owner can.
"""

from parsleyrouter.connection.peer import PeerClient, PeerFailure
from parsleyrouter.ids import NodeId
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.job_records import PartPhase
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.thrift_gen.jobs.ttypes import PartKeys

__all__ = ["PartOwners"]

ASK_AFTER_S = 3.0
"""Seconds for which a record is unchanged before its owner is asked; longer than any claim."""

ASK_TIMEOUT_S = 2.0


class PartOwners:
    """Find parts that their live owners do not run."""

    def __init__(self, loop: Loop, peers: PeerClient, view: FleetView, table: PartTable) -> None:
        self.loop = loop
        self.peers = peers
        self.view = view
        self.table = table
        self.asked_s = loop.now()
        self.asking = False

    def poke(self) -> None:
        """Ask if it is time to."""
        if not self.asking and self.loop.now() - self.asked_s >= ASK_AFTER_S:
            self.asking = True
            self.loop.spawn(self._ask_all(), "ask owners of parts")

    async def _ask_all(self) -> None:
        self.asked_s = self.loop.now()
        try:
            for owner, keys in self._watched().items():
                await self._ask(owner, keys)
        finally:
            self.asking = False

    def _watched(self) -> dict[NodeId, list[str]]:
        """Return by owner the parts that run elsewhere, as far as their records say."""
        found: dict[NodeId, list[str]] = {}
        settled_s = self.loop.now() - ASK_AFTER_S
        for key, known in self.table.parts.items():
            part = known.held.record
            elsewhere = part.phase is PartPhase.RUNNING and part.owner != self.table.node
            if elsewhere and known.since_s <= settled_s and self.table.is_home(key):
                found.setdefault(part.owner, []).append(key)
        return found

    async def _ask(self, owner: NodeId, keys: list[str]) -> None:
        address = next(
            (node.addresses.get(Service.BATCH) for node in self.view.nodes() if node.node == owner),
            None,
        )
        if address is None:
            return
        revisions = {key: self.table.parts[key].held.revision for key in keys}
        answer = await self.peers.call(
            address, "parts.running", PartKeys(keys), PartKeys, ASK_TIMEOUT_S
        )
        if isinstance(answer, PeerFailure):
            return
        for key in set(keys) - set(answer.keys):
            self.table.abandon(key, revisions[key])
