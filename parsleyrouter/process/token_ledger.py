"""Count the batch tokens that wait in each limit, as this node sees them; performs no I/O."""

import logging
import math
from dataclasses import dataclass, field
from typing import NewType

from parsleyrouter.connection.key_value import ABSENT, Entry, KeyChange
from parsleyrouter.customers import SUFFIX_SEPARATOR, customer_suffix
from parsleyrouter.decoding import decode_json
from parsleyrouter.ids import CustomerName, JobId, Revision, RouteName
from parsleyrouter.process.job_directory import JobView
from parsleyrouter.request.shared_job import UNSHARED
from parsleyrouter.request.token_quota import SHARES, RouteTokens, TokenShare

__all__ = ["SHARES_PREFIX", "QuotaName", "TokenLedger", "quota_of", "share_key"]

SHARES_PREFIX = "parsley/live/quota/"

CUSTOMER_SHARES = 2
"""Shares of a limit of one customer, which few nodes take from at the same time."""

QuotaName = NewType("QuotaName", str)
"""A limit on waiting tokens: a route's, or that of a customer on a route."""

RATE_TIME_S = 5.0
"""Time constant of the rate of finished tokens: some items' time, so that it is steady."""

log = logging.getLogger(__name__)


def quota_of(route: RouteName, customer: CustomerName) -> QuotaName:
    """Return the name of a limit: the route's, or the one of a customer on the route."""
    return QuotaName(route + customer_suffix(customer) if customer else route)


def share_key(quota: QuotaName, index: int) -> str:
    """Return the key of a share."""
    return f"{SHARES_PREFIX}{quota}/{index}"


def _share_count(quota: QuotaName) -> int:
    return CUSTOMER_SHARES if SUFFIX_SEPARATOR in quota else SHARES


@dataclass
class _Counts:
    shares: list[TokenShare | None]
    revisions: list[Revision]
    finished: list[int]
    unshared: int = 0
    rate_per_s: float = 0.0
    rate_at_s: float = 0.0


@dataclass
class TokenLedger:
    """Hold the shares of each limit and what has finished of each share."""

    quotas: dict[QuotaName, _Counts] = field(default_factory=dict)
    finished_by_job: dict[JobId, int] = field(default_factory=dict)

    def tokens(self, quota: QuotaName) -> RouteTokens:
        """Return the tokens of a limit."""
        counts = self._counts(quota)
        return RouteTokens(tuple(counts.shares), tuple(counts.finished), counts.unshared)

    def revision(self, quota: QuotaName, index: int) -> Revision:
        """Return the revision of a share as last seen."""
        return self._counts(quota).revisions[index]

    def put_share(self, quota: QuotaName, index: int, share: TokenShare, at: Revision) -> None:
        """Apply a share that was read or written, unless a newer one is known."""
        counts = self._counts(quota)
        if at > counts.revisions[index]:
            counts.shares[index], counts.revisions[index] = share, at

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change from the watch."""
        if change.entry is not None:
            self.apply_entry(change.entry)

    def apply_entry(self, entry: Entry) -> None:
        """Apply a share as stored."""
        quota, _, index = entry.key.removeprefix(SHARES_PREFIX).rpartition("/")
        try:
            share = decode_json(entry.value, TokenShare)
            self.put_share(QuotaName(quota), int(index), share, entry.revision)
        except (ValueError, IndexError) as error:
            log.warning("token share not read", extra={"key": entry.key, "reason": str(error)})

    def update_job(self, view: JobView, now: float) -> None:
        """Apply what has finished of a job."""
        if view.versioned is None or not view.versioned.record.tokens:
            return
        record = view.versioned.record
        counts = self._counts(quota_of(record.route, record.customer))
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

    def finished_per_s(self, quota: QuotaName, now: float) -> float:
        """Return the recent rate at which tokens of a limit finish."""
        counts = self._counts(quota)
        return counts.rate_per_s * math.exp((counts.rate_at_s - now) / RATE_TIME_S)

    def _counts(self, quota: QuotaName) -> _Counts:
        if quota not in self.quotas:
            count = _share_count(quota)
            self.quotas[quota] = _Counts([None] * count, [ABSENT] * count, [0] * count)
        return self.quotas[quota]


def _add_to_rate(counts: _Counts, tokens: int, now: float) -> None:
    decayed = counts.rate_per_s * math.exp((counts.rate_at_s - now) / RATE_TIME_S)
    counts.rate_per_s, counts.rate_at_s = decayed + tokens / RATE_TIME_S, now
