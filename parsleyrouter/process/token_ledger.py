"""Count the batch tokens of each route that wait, as this node sees them; performs no I/O."""

import logging
import math
from dataclasses import dataclass, field

from parsleyrouter.connection.key_value import ABSENT, Entry, KeyChange
from parsleyrouter.decoding import decode_json
from parsleyrouter.ids import JobId, Revision, RouteName
from parsleyrouter.process.job_directory import JobView
from parsleyrouter.request.shared_job import UNSHARED
from parsleyrouter.request.token_quota import SHARES, RouteTokens, TokenShare

__all__ = ["SHARES_PREFIX", "TokenLedger", "share_key"]

SHARES_PREFIX = "parsley/live/quota/"

RATE_TIME_S = 5.0
"""Time constant of the rate of finished tokens: some items' time, so that it is steady."""

log = logging.getLogger(__name__)


def share_key(route: RouteName, index: int) -> str:
    """Return the key of a share."""
    return f"{SHARES_PREFIX}{route}/{index}"


@dataclass
class _RouteCounts:
    shares: list[TokenShare | None] = field(default_factory=lambda: [None] * SHARES)
    revisions: list[Revision] = field(default_factory=lambda: [ABSENT] * SHARES)
    finished: list[int] = field(default_factory=lambda: [0] * SHARES)
    unshared: int = 0
    rate_per_s: float = 0.0
    rate_at_s: float = 0.0


@dataclass
class TokenLedger:
    """Hold the shares of each route's limit and what has finished of each share."""

    routes: dict[RouteName, _RouteCounts] = field(default_factory=dict)
    finished_by_job: dict[JobId, int] = field(default_factory=dict)

    def tokens(self, route: RouteName) -> RouteTokens:
        """Return the tokens of a route."""
        counts = self._counts(route)
        return RouteTokens(tuple(counts.shares), tuple(counts.finished), counts.unshared)

    def revision(self, route: RouteName, index: int) -> Revision:
        """Return the revision of a share as last seen."""
        return self._counts(route).revisions[index]

    def put_share(self, route: RouteName, index: int, share: TokenShare, at: Revision) -> None:
        """Apply a share that was read or written, unless a newer one is known."""
        counts = self._counts(route)
        if at > counts.revisions[index]:
            counts.shares[index], counts.revisions[index] = share, at

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change from the watch."""
        if change.entry is not None:
            self.apply_entry(change.entry)

    def apply_entry(self, entry: Entry) -> None:
        """Apply a share as stored."""
        route, _, index = entry.key.removeprefix(SHARES_PREFIX).rpartition("/")
        try:
            share = decode_json(entry.value, TokenShare)
            self.put_share(RouteName(route), int(index), share, entry.revision)
        except (ValueError, IndexError) as error:
            log.warning("token share not read", extra={"key": entry.key, "reason": str(error)})

    def update_job(self, view: JobView, now: float) -> None:
        """Apply what has finished of a job."""
        if view.versioned is None or not view.versioned.record.tokens:
            return
        record = view.versioned.record
        counts = self._counts(record.route)
        left = record.tokens if view.left_tokens is None else view.left_tokens
        finished = record.tokens - left if view.open else record.tokens
        known = self.finished_by_job.get(view.job)
        gained = finished - (known or 0)
        if record.share == UNSHARED:
            counts.unshared += (record.tokens if known is None else 0) - gained
        else:
            counts.finished[record.share] += gained
        if known is not None:
            _add_to_rate(counts, gained, now)
        self.finished_by_job[view.job] = finished

    def finished_per_s(self, route: RouteName, now: float) -> float:
        """Return the recent rate at which tokens of a route finish."""
        counts = self._counts(route)
        return counts.rate_per_s * math.exp((counts.rate_at_s - now) / RATE_TIME_S)

    def _counts(self, route: RouteName) -> _RouteCounts:
        return self.routes.setdefault(route, _RouteCounts())


def _add_to_rate(counts: _RouteCounts, tokens: int, now: float) -> None:
    decayed = counts.rate_per_s * math.exp((counts.rate_at_s - now) / RATE_TIME_S)
    counts.rate_per_s, counts.rate_at_s = decayed + tokens / RATE_TIME_S, now
