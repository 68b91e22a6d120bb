"""Identify the customers of callers by the active configuration."""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.connection.http_limits import RequestHead
from parsleyrouter.customers import Customer, JobCaller, authenticate, may_miss_removals
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.request.forwarded_request import HeaderNames
from parsleyrouter.version.route_table import RouteKind, RouteTable

__all__ = ["CallerIdentity", "suspended_s"]

STALE_RETRY_AFTER_S = 0.2
"""Retry delay of callers whose key this node cannot check: others most likely can."""


@dataclass
class CallerIdentity:
    """Check the key of each request against the newest version, on kept connections too."""

    routes: ActiveRoutes
    names: HeaderNames
    strict: bool
    """Whether a node refuses requests that need a key once it may have missed a removal."""
    revoke_within_s: float
    age_s: Callable[[], float]
    """Return the time since the store answered about the configuration."""

    def identify(
        self, table: RouteTable, head: RequestHead, *, anonymous: bool
    ) -> Customer | Refusal | None:
        """Return the customer of a request, ``None`` if none is needed, or a refusal."""
        customers = table.customers
        if not customers:
            return None
        name = self.names.credential.encode()
        presented = [value for key, value in head.raw if key.lower() == name]
        found = authenticate(
            customers, presented, anonymous=anonymous, header=self.names.credential
        )
        if anonymous or not isinstance(found, Customer) or not self._may_be_stale():
            return found
        message = "this node may not know which keys were taken away: try another entry"
        return Refusal(
            RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, STALE_RETRY_AFTER_S
        )

    def job_caller(self, table: RouteTable, head: RequestHead) -> JobCaller:
        """Return who calls about a job.

        A call that names a job by its id needs no key where the host takes jobs without one. A key
        that cannot be trusted still finds jobs without a customer there, and is refused for others.
        """
        host = head.headers.get("host", "").partition(":")[0]
        route, needs_key = table.find(host, head.path), bool(table.customers)
        if route is not None and route.kind is RouteKind.BATCH:
            found = self.identify(table, head, anonymous=route.anonymous)
            open_host = False
        else:
            found = self.identify(table, head, anonymous=False)
            batch = (one for one in table.routes_of(host) if one.kind is RouteKind.BATCH)
            open_host = any(one.anonymous for one in batch)
        if not isinstance(found, Refusal):
            return JobCaller(found, None, open_host, needs_key)
        if open_host and self.names.credential not in head.headers:
            return JobCaller(None, None, open_host, needs_key)
        return JobCaller(None, found, open_host, needs_key)

    def max_read_wait_s(self) -> float:
        """Return how long a read of the configuration may wait for a change.

        A store that has no changes must answer before keys are not trusted any more: the other half
        of the time is for reads that are slow or repeated.
        """
        table = self.routes.table
        has_customers = table is not None and bool(table.customers)
        return self.revoke_within_s / 2 if self.strict and has_customers else math.inf

    def _may_be_stale(self) -> bool:
        return self.strict and may_miss_removals(
            age_s=self.age_s(), strict=self.strict, revoke_within_s=self.revoke_within_s
        )


def suspended_s() -> float:
    """Return the time that the machine was suspended since it was booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
