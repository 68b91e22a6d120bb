"""Renew the grants that this process holds, and notify their holders of revocation."""

from collections import Counter as Tally
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import Address, AttemptId, EndpointId, GrantId
from parsleyrouter.process.grant_messages import (
    is_batch,
    live_grant_message,
    release_message,
    withdraw_message,
)
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.grants.ttypes import LiveGrant, RenewAnswer, RenewGrants

__all__ = ["HeldGrants"]

RENEW_INTERVAL_S = 0.4
BATCH_LEASE_S = 1.4
"""Time after its last renewal at which the holder gives up a batch grant.

Schedulers expire it later, by more than ``RENEW_INTERVAL_S``, so that no slot is granted twice.
"""

EARLY_REVOCATION_TTL_S = 5.0
"""How long a revocation that arrived before its grant is remembered."""


@dataclass
class _Held:
    grant: Grant
    request: GrantRequest
    home: Address | None
    renewed_s: float
    on_revoke: Callable[[], None] | None


@dataclass
class HeldGrants:
    """Hold, renew and release grants; ``home`` is ``None`` for grants taken without a scheduler."""

    runtime: Runtime
    homes: HomeMap
    reply_to: Callable[[], Address]
    held: dict[GrantId, _Held] = field(default_factory=dict)
    own_counts: Tally[EndpointId] = field(default_factory=Tally)
    revoked_early: dict[GrantId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = self.runtime.loop
        self.peers = self.runtime.peers
        self.loop.spawn(self._renew_loop(), "renew grants")

    def __contains__(self, grant: str) -> bool:
        return GrantId(grant) in self.held

    def add(
        self,
        grant: Grant,
        request: GrantRequest,
        home: Address | None,
        on_revoke: Callable[[], None] | None,
    ) -> None:
        """Start to hold and renew a grant."""
        self.held[grant.grant] = _Held(grant, request, home, self.loop.now(), on_revoke)
        self.own_counts[grant.endpoint] += 1

    def request(self, grant: Grant) -> GrantRequest | None:
        """Return the request of a held grant, ``None`` if it is not held."""
        held = self.held.get(grant.grant)
        return None if held is None else held.request

    def pop_early_revocation(self, grant: str) -> bool:
        """Return whether a grant was revoked before it arrived, and forget the revocation."""
        return self.revoked_early.pop(GrantId(grant), None) is not None

    def release(self, grant: Grant, result: CallResult) -> None:
        """Release a held grant."""
        held = self.held.pop(grant.grant)
        self.own_counts[grant.endpoint] -= 1
        message = release_message(grant, result)
        for home in {held.home, self.homes.address(grant.endpoint)} - {None}:
            self.peers.send_oneway(Address(str(home)), "grant.release", message)

    def return_unused(
        self, attempt: AttemptId, endpoint: EndpointId, home: Address | None, grant: str = ""
    ) -> None:
        """Withdraw a slot request or release a grant that was never used."""
        for address in {home, self.homes.address(endpoint)} - {None}:
            message = withdraw_message(attempt, endpoint, grant)
            self.peers.send_oneway(Address(str(address)), "grant.release", message)

    def revoke(self, grant: GrantId, expected: bool) -> None:
        """Notify the holder; a revocation of an ``expected`` grant may arrive before the grant."""
        held = self.held.get(grant)
        if held is not None:
            self._notify_holder(held)
        elif expected:
            self.revoked_early[grant] = self.loop.now()

    def live(self, endpoint: str) -> list[LiveGrant]:
        """Return the grants in use at an endpoint."""
        return [
            live_grant_message(held.grant, held.request)
            for held in self.held.values()
            if held.grant.endpoint == endpoint
        ]

    def _notify_holder(self, held: _Held) -> None:
        callback, held.on_revoke = held.on_revoke, None
        if callback is not None:
            callback()

    async def _renew_loop(self) -> None:
        while True:
            await self.loop.sleep(RENEW_INTERVAL_S)
            for home, group in self._by_home().items():
                self.loop.spawn(self._renew(home, group), "renew grants")
            self._expire_grants()

    def _by_home(self) -> dict[Address, list[_Held]]:
        groups: dict[Address, list[_Held]] = {}
        for held in self.held.values():
            home = self.homes.address(held.grant.endpoint)
            if home is not None:
                groups.setdefault(home, []).append(held)
        return groups

    async def _renew(self, home: Address, group: list[_Held]) -> None:
        sent_s = self.loop.now()
        grants = [live_grant_message(held.grant, held.request) for held in group]
        message = RenewGrants(self.homes.view.self_node().node, grants, self.reply_to())
        answer = await self.peers.call(home, "grant.renew", message, RenewAnswer, BATCH_LEASE_S)
        if isinstance(answer, PeerFailure):
            return
        renewed = set(answer.renewed)
        lapsed = set(answer.lapsed)
        for held in group:
            if held.grant.grant in renewed:
                held.home = home
                held.renewed_s = max(held.renewed_s, sent_s)
        self._notify_holders(held for held in group if held.grant.grant in lapsed)

    def _expire_grants(self) -> None:
        now = self.loop.now()
        self._notify_holders(
            held for held in self.held.values() if held.renewed_s < now - BATCH_LEASE_S
        )
        remembered = self.revoked_early.items()
        self.revoked_early = {
            grant: at for grant, at in remembered if at > now - EARLY_REVOCATION_TTL_S
        }

    def _notify_holders(self, lapsed: Iterable[_Held]) -> None:
        for held in [held for held in lapsed if is_batch(held.request)]:
            self._notify_holder(held)
