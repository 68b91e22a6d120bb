"""Dependencies that the HTTP handlers of an entry share."""

from dataclasses import dataclass
from typing import Any

from parsleyrouter.connection.authentication import Authentication
from parsleyrouter.process.call_port import Calls
from parsleyrouter.process.claims import Claims
from parsleyrouter.process.job_port import Jobs
from parsleyrouter.process.locate import Locate
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.team_limits import TeamLimits
from parsleyrouter.process.view import FleetView

__all__ = ["EntryContext"]


@dataclass
class EntryContext:
    """Passed to each handler; filled when the entry is assembled.

    ``operators`` is the settings API of the operators, if this entry serves one.
    """

    runtime: Runtime
    view: FleetView
    calls: Calls
    jobs: Jobs
    authentication: Authentication
    limits: TeamLimits
    locate: Locate
    claims: Claims | None = None
    operators: Any = None
