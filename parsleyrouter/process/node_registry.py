"""Register this node in the key-value service under a lease, and track the other nodes.

The lease shows that the process is alive; the keys of the jobs that it runs are attached to it too.
"""

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from parsleyrouter.connection.key_value import (
    Entry,
    KeyChange,
    KeyValueFailure,
    LeaseLost,
    Transaction,
    TransactionalKeyValue,
    Write,
)
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.setting_checks import address_is_valid

__all__ = ["NODES_PREFIX", "NodeRegistry", "RegisteredNode"]

NODES_PREFIX = "parsley/live/node/"

LEASE_TTL_S = 4.0
"""Time to live of the lease: it outlasts a few lost renewals and determines how soon the work of a
dead process is taken over."""

RENEW_INTERVAL_S = 1.25
"""Pause between renewals. After one that was lost, with the longest time of a call and the pause
before the next, the next one still arrives before the lease ends."""

RETRY_INTERVAL_S = 0.25

LEASE_FRESH_S = 1.75
"""Age of the latest renewal up to which no other node can have taken over this node's work: less
than half of the lease, with one renewal in between."""

REGISTER_AGAIN_S = 1.5
"""Time within which a live node registers again after its lease has lapsed in an outage."""

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class RegisteredNode:
    """Addresses of a node for callers and other nodes; ``boot`` distinguishes its starts."""

    node: NodeId
    domain: DomainName
    callers: Address
    nodes: Address
    boot: int
    capacity: float = 1.0
    """Share of the VM's processors that the process may use, in cores."""


class NodeRegistry:
    """Keep the registration of this node alive and hold those of the other nodes."""

    def __init__(self, loop: Loop, store: TransactionalKeyValue, own: RegisteredNode) -> None:
        self.loop = loop
        self.store = store
        self.own = own
        self.lease = 0
        self.renewed_s = 0.0
        self.leaving = False
        self.named_until_s = 0.0
        """While leaving, until when this node may be named to callers; monotonic."""
        self.nodes: dict[NodeId, RegisteredNode] = {}
        self.listed = False
        """Whether all registrations were listed once."""
        self.removed: dict[NodeId, tuple[RegisteredNode, float]] = {}
        """Nodes whose registration was removed, and when; monotonic."""
        self.on_lease: list[Callable[[], object]] = []

    def start(self) -> None:
        """Start registering this node and renewing its lease."""
        self.loop.spawn(self._maintain_lease(), "keep the lease")

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Replace all registrations by a full listing."""
        now = self.loop.now()
        self.listed = True
        self.removed |= {node: (info, now) for node, info in self.nodes.items()}
        self.nodes.clear()
        for entry in entries:
            self._put(entry)

    def apply_change(self, change: KeyChange) -> None:
        """Apply one registration or its removal."""
        if change.entry is not None:
            self._put(change.entry)
            return
        node = NodeId(change.key.removeprefix(NODES_PREFIX))
        info = self.nodes.pop(node, None)
        if info is not None:
            self.removed[node] = (info, self.loop.now())
            log.info("node left", extra={"node": node, "revision": change.revision})

    def recent_nodes(self) -> dict[NodeId, RegisteredNode]:
        """Return the registered nodes and those that may be about to register again."""
        since_s = self.loop.now() - REGISTER_AGAIN_S
        self.removed = {node: one for node, one in self.removed.items() if one[1] > since_s}
        return {node: info for node, (info, _) in self.removed.items()} | self.nodes

    async def leave(self, until_s: float = math.inf) -> None:
        """Revoke the lease, so that others take over at once; try until a monotonic time."""
        self.leaving = True
        while self.lease and self.loop.now() < until_s:
            failure = await self.store.revoke(self.lease)
            if failure is None:
                return
            log.warning("lease not revoked", extra={"reason": failure.message})
            await self.loop.sleep(RETRY_INTERVAL_S)

    def lease_is_fresh(self) -> bool:
        """Return whether the latest renewal is recent enough to rule out a takeover."""
        return bool(self.lease) and self.loop.now() - self.renewed_s < LEASE_FRESH_S

    def _put(self, entry: Entry) -> None:
        try:
            decoded = decode_json(entry.value, RegisteredNode)
            if not all(address_is_valid(one, 1) for one in (decoded.callers, decoded.nodes)):
                raise InvalidData("an address; allowed: ip:port")
        except InvalidData as error:
            log.warning(
                "registration cannot be decoded", extra={"key": entry.key, "reason": str(error)}
            )
            return
        if self.nodes.get(decoded.node) != decoded:
            log.info("node joined", extra={"node": decoded.node, "revision": entry.revision})
        self.nodes[decoded.node] = decoded
        self.removed.pop(decoded.node, None)

    async def _maintain_lease(self) -> None:
        while not self.leaving:
            done = await (self._renew() if self.lease else self._register())
            await self.loop.sleep(RENEW_INTERVAL_S if done else RETRY_INTERVAL_S)

    async def _renew(self) -> bool:
        sent_s = self.loop.now()
        lease = await self.store.renew(self.lease)
        if isinstance(lease, KeyValueFailure):
            return False
        if lease is None:
            log.warning("lease lost", extra={"lease": self.lease})
            self.lease = 0
            return False
        self.renewed_s = sent_s
        return True

    async def _register(self) -> bool:
        lease = await self.store.grant(LEASE_TTL_S)
        if isinstance(lease, KeyValueFailure):
            return False
        key = NODES_PREFIX + self.own.node
        write = Write(key, msgspec.json.encode(self.own), lease.id)
        done = await self.store.transact(Transaction({}, (write,)))
        if isinstance(done, KeyValueFailure | LeaseLost):
            return False
        self.lease, self.renewed_s = lease.id, self.loop.now()
        if self.leaving:
            await self.store.revoke(self.lease)
            return True
        log.info("node registered", extra={"node": self.own.node, "lease": lease.id})
        for callback in self.on_lease:
            callback()
        return True
