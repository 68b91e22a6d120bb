"""What the handlers of an entry share."""

from dataclasses import dataclass
from typing import Any

from parsleyrouter.connection.authentication import Authentication
from parsleyrouter.process.call_port import CallExecutor
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.idempotency_claims import IdempotencyClaims
from parsleyrouter.process.job_port import Jobs
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.team_limiter import TeamLimiter

__all__ = ["EntryContext"]


@dataclass
class EntryContext:
    """Handed to each handler; the composition root fills it.

    ``operators`` is the surface of the operators' settings, set where an entry offers one.
    """

    runtime: Runtime
    view: FleetView
    calls: CallExecutor
    jobs: Jobs
    authentication: Authentication
    limits: TeamLimiter
    locator: EntryLocator
    claims: IdempotencyClaims | None = None
    operators: Any = None
