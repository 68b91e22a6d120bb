"""Keep each team within its rate and number of open requests at this entry."""

from dataclasses import dataclass

from parsleyrouter.ids import TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.version.schema import LimitSettings

__all__ = ["TeamLimiter", "Permit"]

BURST_S = 1.0
OPEN_RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Permit:
    """Leave of one request to be under way."""

    team: TeamName


@dataclass
class _Usage:
    open: int = 0
    tokens: float = 0.0
    filled_s: float = float("-inf")


class TeamLimiter:
    """Count per team; the limits are those of the settings and hold at each entry by itself."""

    def __init__(self) -> None:
        self.usage: dict[TeamName, _Usage] = {}

    def acquire(self, team: TeamName, limits: LimitSettings, now: float) -> Permit | Refusal:
        """Take a ticket or say when to come again."""
        usage = self.usage.setdefault(team, _Usage())
        if usage.open >= limits.online_open:
            message = f"the team has {usage.open} requests open, its limit: wait for some to end"
            return Refusal(
                RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, OPEN_RETRY_AFTER_S
            )
        _fill(usage, limits, now)
        if usage.tokens < 1.0:
            wait_s = (1.0 - usage.tokens) / limits.online_per_s
            message = f"the team sends over {limits.online_per_s:g} requests/s: send fewer"
            return Refusal(RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, wait_s)
        usage.tokens -= 1.0
        usage.open += 1
        return Permit(team)

    def release(self, ticket: Permit) -> None:
        """Give a ticket back."""
        self.usage[ticket.team].open -= 1


def _fill(usage: _Usage, limits: LimitSettings, now: float) -> None:
    most = max(1.0, limits.online_per_s * BURST_S)
    if usage.filled_s == float("-inf"):
        usage.tokens = most
    else:
        usage.tokens = min(most, usage.tokens + (now - usage.filled_s) * limits.online_per_s)
    usage.filled_s = now
