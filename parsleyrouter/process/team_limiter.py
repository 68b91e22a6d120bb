"""Limit the request rate and the open requests of each team at this entry."""

from dataclasses import dataclass

from parsleyrouter.ids import TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.version.schema import LimitSettings

__all__ = ["Permit", "TeamLimiter"]

BURST_S = 1.0
"""Capacity of the token bucket, as seconds of the team's rate."""

OPEN_RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Permit:
    """Permission for one open request."""

    team: TeamName


@dataclass
class _Usage:
    open: int = 0
    tokens: float = 0.0
    refilled_s: float = float("-inf")


class TeamLimiter:
    """Token bucket and open-request count per team; each entry enforces the limits separately."""

    def __init__(self) -> None:
        self.usage: dict[TeamName, _Usage] = {}

    def acquire(self, team: TeamName, limits: LimitSettings, now: float) -> Permit | Refusal:
        """Return a permit, or a refusal with the time after which to retry."""
        usage = self.usage.setdefault(team, _Usage())
        if usage.open >= limits.online_open:
            message = f"the team has {usage.open} requests open, its limit: wait for some to end"
            return Refusal(
                RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, OPEN_RETRY_AFTER_S
            )
        _refill(usage, limits, now)
        if usage.tokens < 1.0:
            wait_s = (1.0 - usage.tokens) / limits.online_per_s
            message = f"the team sends over {limits.online_per_s:g} requests/s: send fewer"
            return Refusal(RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, wait_s)
        usage.tokens -= 1.0
        usage.open += 1
        return Permit(team)

    def release(self, permit: Permit) -> None:
        """Release a permit."""
        self.usage[permit.team].open -= 1


def _refill(usage: _Usage, limits: LimitSettings, now: float) -> None:
    capacity = max(1.0, limits.online_per_s * BURST_S)
    if usage.refilled_s == float("-inf"):
        usage.tokens = capacity
    else:
        usage.tokens = min(capacity, usage.tokens + (now - usage.refilled_s) * limits.online_per_s)
    usage.refilled_s = now
