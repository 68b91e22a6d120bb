"""Decide whether a batch job fits within a route's limit on waiting tokens.

Load: clients submit jobs at many nodes at once, close to the limit or far from it. The limit is
divided into shares. A submission takes from one share by a conditional write together with the
job's record, so submissions at different nodes rarely conflict. When no share has room but the
route has, the room is divided anew by a write that expects all shares. Finished tokens come from a
node's own view, which may be behind: a count is then too high for a moment, never too low.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

__all__ = [
    "MAX_RETRY_AFTER_S",
    "SHARES",
    "DivideShares",
    "QuotaFull",
    "RouteTokens",
    "TakeShare",
    "TokenShare",
    "plan_submission",
    "retry_after_s",
]

SHARES = 8
"""Shares of a limit. One transaction must be able to expect and write all of them."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
"""Bounds of the retry delay; the upper one applies while nothing finishes."""


class TokenShare(msgspec.Struct, frozen=True):
    """One share of a route's limit, as stored; counts in tokens."""

    limit: int
    """The limit that was divided."""
    version: int
    """Version of the routes that set the limit."""
    cap: int
    """Tokens that may wait in this share."""
    accepted: int
    """Tokens of all jobs ever accepted in this share."""


@dataclass(frozen=True)
class RouteTokens:
    """Tokens of one route as a node sees them."""

    shares: Sequence[TokenShare | None]
    finished: Sequence[int]
    """Tokens that no longer wait, by share, of all jobs ever accepted there."""
    unshared: int = 0
    """Waiting tokens of jobs that were accepted while there was no limit."""

    def waiting_in(self, index: int) -> int:
        """Return the waiting tokens in a share."""
        share = self.shares[index]
        return 0 if share is None else share.accepted - self.finished[index]

    @property
    def waiting(self) -> int:
        """Return all waiting tokens of the route."""
        return self.unshared + sum(self.waiting_in(index) for index in range(len(self.shares)))


@dataclass(frozen=True)
class TakeShare:
    """Accept the job by writing ``share`` in place of the share at ``index``."""

    index: int
    share: TokenShare


@dataclass(frozen=True)
class DivideShares:
    """Write all shares anew, then plan again."""

    shares: tuple[TokenShare, ...]


@dataclass(frozen=True)
class QuotaFull:
    """Refuse the job; it fits once ``excess`` more tokens have finished."""

    limit: int
    waiting: int
    excess: int


def plan_submission(
    route: RouteTokens, *, limit: int, version: int, tokens: int, preferred: int
) -> TakeShare | DivideShares | QuotaFull:
    """Plan the acceptance of a job with ``tokens``, in the share ``preferred`` if it has room.

    A limit that was stored for a newer version of the routes replaces ``limit``.
    """
    stored = max((one for one in route.shares if one), key=lambda one: one.version, default=None)
    if stored is not None and stored.version > version:
        limit, version = stored.limit, stored.version
    if route.waiting + tokens > limit:
        return QuotaFull(limit, route.waiting, route.waiting + tokens - limit)
    indexes = [(preferred + offset) % len(route.shares) for offset in range(len(route.shares))]
    for index in indexes:
        share = route.shares[index]
        if share is None or share.limit != limit:
            continue
        if route.waiting_in(index) + tokens <= share.cap:
            accepted = share.accepted + tokens
            return TakeShare(index, msgspec.structs.replace(share, accepted=accepted))
    return _divide(route, limit, version, tokens, indexes[0])


def _divide(route: RouteTokens, limit: int, version: int, tokens: int, first: int) -> DivideShares:
    """Give the first share room for the job and spread the rest evenly."""
    spare = (limit - route.waiting - tokens) // len(route.shares)
    shares = []
    for index, share in enumerate(route.shares):
        cap = route.waiting_in(index) + spare + (tokens if index == first else 0)
        shares.append(TokenShare(limit, version, cap, share.accepted if share else 0))
    return DivideShares(tuple(shares))


def retry_after_s(excess: int, finished_per_s: float) -> float:
    """Return when a refused job is expected to fit, from the rate at which tokens finish."""
    if finished_per_s <= 0:
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess / finished_per_s))
