"""What the handlers of an entry share."""

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
    """Handed to each handler; the composition root fills it.

    ``operators`` is the surface of the operators' settings, set where an entry offers one.
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
