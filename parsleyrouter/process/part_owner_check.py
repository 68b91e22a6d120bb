"""Ask the owners of parts whether they still run them.

An owner that has restarted, or whose claim took effect although its reply was lost, is live but
does not run the part. The fleet view does not show this; only the owner knows.
"""

from parsleyrouter.connection.peer import PeerClient, PeerFailure
from parsleyrouter.ids import NodeId
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.job_records import PartPhase
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.thrift_gen.jobs.ttypes import PartKeys

__all__ = ["PartOwnerCheck"]

ASK_INTERVAL_S = 3.0
"""Pause between asks, and age of a record before its owner is asked; longer than any claim."""

ASK_TIMEOUT_S = 2.0


class PartOwnerCheck:
    """Find parts that their live owners do not run."""

    def __init__(self, loop: Loop, peers: PeerClient, view: FleetView, table: PartTable) -> None:
        self.loop = loop
        self.peers = peers
        self.view = view
        self.table = table
        self.last_asked_s = loop.now()
        self.asking = False

    def run_if_due(self) -> None:
        """Ask the owners if the interval has passed."""
        if not self.asking and self.loop.now() - self.last_asked_s >= ASK_INTERVAL_S:
            self.asking = True
            self.loop.spawn(self._ask_all(), "ask owners of parts")

    async def _ask_all(self) -> None:
        self.last_asked_s = self.loop.now()
        try:
            for owner, keys in self._watched().items():
                await self._ask(owner, keys)
        finally:
            self.asking = False

    def _watched(self) -> dict[NodeId, list[str]]:
        """Return the parts that run on other nodes according to their records, by owner."""
        found: dict[NodeId, list[str]] = {}
        settled_s = self.loop.now() - ASK_INTERVAL_S
        for key, known in self.table.parts.items():
            part = known.versioned.record
            elsewhere = part.phase is PartPhase.RUNNING and part.owner != self.table.node
            if elsewhere and known.unchanged_since_s <= settled_s and self.table.is_home(key):
                found.setdefault(part.owner, []).append(key)
        return found

    async def _ask(self, owner: NodeId, keys: list[str]) -> None:
        address = next(
            (node.addresses.get(Service.BATCH) for node in self.view.nodes() if node.node == owner),
            None,
        )
        if address is None:
            return
        revisions = {key: self.table.parts[key].versioned.revision for key in keys}
        answer = await self.peers.call(
            address, "parts.running", PartKeys(keys), PartKeys, ASK_TIMEOUT_S
        )
        if isinstance(answer, PeerFailure):
            return
        for key in set(keys) - set(answer.keys):
            self.table.abandon(key, revisions[key])
