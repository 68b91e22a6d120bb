"""The components of a front process that limit the requests of customers over all nodes."""

import secrets
from collections.abc import Callable, Mapping
from random import Random

from parsleyrouter.customers import Customer
from parsleyrouter.ids import CustomerName, DomainName, NodeId
from parsleyrouter.limits.authority import ShareAuthority
from parsleyrouter.limits.holder import ShareHolder
from parsleyrouter.limits.holder_probe import HolderProbe
from parsleyrouter.limits.keeper import ShareKeeper
from parsleyrouter.limits.limiter import FleetLimiter
from parsleyrouter.limits.metrics import LimitMetrics
from parsleyrouter.limits.permit_calls import PermitCalls
from parsleyrouter.limits.shares import LIMITS_PREFIX, ShareRecord, all_shares
from parsleyrouter.process.boot_clock import boot_now_s
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.cell_reader import CellReader
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.version.route_table import RouteTable

__all__ = ["LIMITS_PREFIX", "CustomerLimits", "KnownNodes"]

UNREGISTERED_S = 20.0
"""Time for which a holder that is heard or answers but is not registered keeps its shares."""

MAX_FIRST_NUMBER = 2**48


class KnownNodes:
    """The nodes as the keeper of shares sees them."""

    def __init__(self, loop: Loop, members: CellMembers, probe: HolderProbe) -> None:
        self.loop = loop
        self.members = members
        self.probe = probe
        self.registry = members.registry
        self.unregistered_since_s: dict[tuple[NodeId, int], float] = {}

    def registered(self) -> bool:
        """Return whether this node is registered and not stopping."""
        return bool(self.registry.lease) and not self.registry.leaving

    def lives(self, record: ShareRecord) -> bool:
        """Return whether a holder is registered, or was lately and is still heard or answers."""
        process = record.node, record.boot
        registry = self.registry
        info = registry.nodes.get(record.node) or registry.recent_nodes().get(record.node)
        if info is not None and info.boot == record.boot:
            self.unregistered_since_s.pop(process, None)
            return True
        live = self.members.fleet.live_nodes(self.loop.now())
        heard = any((one.node, one.boot) == process for one in live)
        restarted = info is not None
        if not heard and (restarted or not self.probe.answers(record.address)):
            self.unregistered_since_s.pop(process, None)
            return False
        since_s = self.unregistered_since_s.setdefault(process, self.loop.now())
        return self.loop.now() - since_s < UNREGISTERED_S

    def active(self) -> Mapping[NodeId, DomainName]:
        """Return the nodes that take callers and do not stop."""
        members = self.members
        members.update()
        found = dict(members.active if members.divided else members.known_nodes)
        if not members.on_standby:
            found[self.registry.own.node] = self.registry.own
        leaving = members.stopping_nodes()
        return {node: info.domain for node, info in found.items() if node not in leaving}

    def all_nodes(self) -> Mapping[NodeId, DomainName]:
        """Return all registered nodes."""
        return {node: info.domain for node, info in self.registry.nodes.items()}


class CustomerLimits:
    """Wire the holder, the keeper and the limiter of one front process."""

    def __init__(
        self,
        runtime: Runtime,
        options: FrontOptions,
        members: CellMembers,
        reader: CellReader,
        prefix: str,
        find: Callable[[CustomerName], Customer | None],
    ) -> None:
        loop, own = runtime.loop, members.registry.own
        self.holder = ShareHolder(
            lambda share, now: self.keeper.may_grant(share, now),
            first_number=1 + secrets.randbelow(MAX_FIRST_NUMBER),
        )
        self.calls = PermitCalls(loop, options.limits, self.holder, boot_now_s)
        self.calls.datagrams.register(runtime)
        record = ShareRecord(own.node, own.boot, self.calls.address, own.domain, claims=0)
        authority = ShareAuthority(record)
        self.keeper = ShareKeeper(
            loop,
            members.registry.store,
            authority,
            self.holder,
            KnownNodes(loop, members, HolderProbe(loop, self.calls, boot_now_s)),
            boot_now_s,
        )
        watched = reader.watched_prefix(prefix)
        self.keeper.read_proof_s = lambda: watched.proved_s
        reader.proof_wanted[prefix] = lambda: any(map(authority.holds, all_shares()))
        metrics = LimitMetrics.of(runtime.metrics)
        metrics.shares.set_function(lambda: len(self.keeper.granting))
        metrics.proof_age.set_function(self.keeper.proof_age_s)
        self.limiter = FleetLimiter(
            own.node,
            own.domain,
            self.calls,
            self.keeper,
            find,
            metrics,
            boot_now_s,
            Random(f"{own.node}{own.boot}"),
        )
        self.keeper.start()

    def apply_routes(self, table: RouteTable) -> None:
        """Apply the limits of a new version."""
        self.holder.set_customers(table.customers, boot_now_s())
        self.keeper.wanted = any(one.limited for one in table.customers.by_name.values())
