"""Dependencies that the HTTP handlers of an entry share."""

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
    """Passed to each handler; filled when the entry is assembled.

    ``operators`` is the settings API of the operators, if this entry serves one.
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
