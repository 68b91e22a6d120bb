"""Register this node in the key-value service under a lease, and know the others.

The lease shows that the process lives; the keys of the jobs that it runs hang on it too.
"""

import logging
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
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.loop import Loop

__all__ = ["NODES_PREFIX", "NodeRegistry", "RegisteredNode"]

NODES_PREFIX = "parsley/live/node/"

LEASE_S = 4.0
"""Life of the lease without renewal: it outlasts a few lost renewals and sets how soon the work
of a dead process is taken over."""

RENEW_S = 1.0
RETRY_S = 0.25

SURE_S = 1.5
"""Age of the latest renewal up to which nobody else can have taken this node's work over: below
half of the lease, with a renewal in between."""

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class RegisteredNode:
    """Where a node serves callers and other nodes; ``boot`` tells its starts apart."""

    node: NodeId
    domain: DomainName
    callers: Address
    nodes: Address
    boot: int


class NodeRegistry:
    """Keep the own registration alive and hold those of the other nodes."""

    def __init__(self, loop: Loop, store: TransactionalKeyValue, own: RegisteredNode) -> None:
        self.loop = loop
        self.store = store
        self.own = own
        self.lease = 0
        self.renewed_s = 0.0
        self.leaving = False
        self.nodes: dict[NodeId, RegisteredNode] = {}
        self.on_lease: list[Callable[[], object]] = []

    def start(self) -> None:
        """Begin to register and renew."""
        self.loop.spawn(self._keep(), "keep the lease")

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Take all registrations."""
        self.nodes.clear()
        for entry in entries:
            self._put(entry)

    def apply_change(self, change: KeyChange) -> None:
        """Take one registration or its end."""
        if change.entry is not None:
            self._put(change.entry)
            return
        node = NodeId(change.key.removeprefix(NODES_PREFIX))
        if self.nodes.pop(node, None) is not None:
            log.info("node left", extra={"node": node, "revision": change.revision})

    async def leave(self) -> None:
        """End the lease, so that others take over at once."""
        self.leaving = True
        if self.lease:
            await self.store.revoke(self.lease)

    def lease_is_fresh(self) -> bool:
        """Tell whether the lease has been renewed lately."""
        return bool(self.lease) and self.loop.now() - self.renewed_s < SURE_S

    def _put(self, entry: Entry) -> None:
        try:
            known = msgspec.json.decode(entry.value, type=RegisteredNode)
        except msgspec.DecodeError as error:
            log.warning("registration not read", extra={"key": entry.key, "reason": str(error)})
            return
        if self.nodes.get(known.node) != known:
            log.info("node joined", extra={"node": known.node, "revision": entry.revision})
        self.nodes[known.node] = known

    async def _keep(self) -> None:
        while not self.leaving:
            done = await (self._renew() if self.lease else self._register())
            await self.loop.sleep(RENEW_S if done else RETRY_S)

    async def _renew(self) -> bool:
        asked_s = self.loop.now()
        lease = await self.store.renew(self.lease)
        if isinstance(lease, KeyValueFailure):
            return False
        if lease is None:
            log.warning("lease lost", extra={"lease": self.lease})
            self.lease = 0
            return False
        self.renewed_s = asked_s
        return True

    async def _register(self) -> bool:
        lease = await self.store.grant(LEASE_S)
        if isinstance(lease, KeyValueFailure):
            return False
        key = NODES_PREFIX + self.own.node
        write = Write(key, msgspec.json.encode(self.own), lease.id)
        done = await self.store.transact(Transaction({}, (write,)))
        if isinstance(done, KeyValueFailure | LeaseLost):
            return False
        self.lease, self.renewed_s = lease.id, self.loop.now()
        log.info("node registered", extra={"node": self.own.node, "lease": lease.id})
        for callback in self.on_lease:
            callback()
        return True
