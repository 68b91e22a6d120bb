"""Model of nodes that accept jobs under a limit, by the real plan and conditional writes."""

from dataclasses import dataclass, field

from parsleyrouter.request.token_quota import (
    SHARES,
    DivideShares,
    QuotaFull,
    RouteTokens,
    TakeShare,
    TokenShare,
    plan_submission,
)


@dataclass
class StoredRoute:
    """What the key-value service holds: shares with revisions, and open jobs."""

    shares: list[TokenShare | None] = field(default_factory=lambda: [None] * SHARES)
    revisions: list[int] = field(default_factory=lambda: [0] * SHARES)
    finished: list[int] = field(default_factory=lambda: [0] * SHARES)
    jobs: dict[int, tuple[int, int]] = field(default_factory=dict)
    """Share and tokens of each open job."""
    revision: int = 0

    @property
    def waiting(self) -> int:
        return sum(tokens for _, tokens in self.jobs.values())

    def apply(self, write: "LateWrite") -> bool:
        """Apply a conditional write; return whether its conditions held."""
        if any(self.revisions[index] != at for index, at in write.expected.items()):
            return False
        self.revision += 1
        for index, share in write.shares.items():
            self.shares[index], self.revisions[index] = share, self.revision
        if write.job is not None:
            (index,) = write.shares
            self.jobs[write.job] = (index, write.tokens)
        return True


@dataclass
class LateWrite:
    """A conditional write under way."""

    expected: dict[int, int]
    shares: dict[int, TokenShare]
    job: int | None = None
    tokens: int = 0


@dataclass
class ModelNode:
    """A node with its own, possibly old view."""

    number: int
    shares: list[TokenShare | None] = field(default_factory=lambda: [None] * SHARES)
    revisions: list[int] = field(default_factory=lambda: [0] * SHARES)
    finished: list[int] = field(default_factory=lambda: [0] * SHARES)

    def look(self, stored: StoredRoute) -> None:
        """Bring the view up to date."""
        self.shares, self.revisions = list(stored.shares), list(stored.revisions)
        self.finished = list(stored.finished)

    def look_at_shares(self, stored: StoredRoute) -> None:
        """See the shares only, as after a conflict."""
        self.shares, self.revisions = list(stored.shares), list(stored.revisions)

    def plan(self, limit: int, version: int, job: int, tokens: int) -> LateWrite | QuotaFull:
        """Return the next write of a submission."""
        route = RouteTokens(self.shares, self.finished)
        plan = plan_submission(
            route, limit=limit, version=version, tokens=tokens, preferred=self.number % SHARES
        )
        if isinstance(plan, QuotaFull):
            return plan
        if isinstance(plan, DivideShares):
            return LateWrite(dict(enumerate(self.revisions)), dict(enumerate(plan.shares)))
        assert isinstance(plan, TakeShare)
        expected = {plan.index: self.revisions[plan.index]}
        return LateWrite(expected, {plan.index: plan.share}, job, tokens)


def submit(
    node: ModelNode, stored: StoredRoute, limit: int, version: int, job: int, tokens: int
) -> tuple[bool, int]:
    """Submit until accepted or refused; return whether accepted, and the number of calls."""
    calls = 0
    while calls < 12:
        write = node.plan(limit, version, job, tokens)
        if isinstance(write, QuotaFull):
            return False, calls
        calls += 1
        applied = stored.apply(write)
        node.look_at_shares(stored)
        if applied and write.job is not None:
            return True, calls
    raise AssertionError("no decision after twelve calls")
