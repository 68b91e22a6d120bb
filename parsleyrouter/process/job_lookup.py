"""Tell which hosts and ids calls about jobs may name, by the stored jobs and the routes."""

from copy import copy
from dataclasses import dataclass, field

from parsleyrouter.customers import JobCaller, job_id_of, may_use_job
from parsleyrouter.ids import JobId
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.request.shared_job import JobRecord
from parsleyrouter.version.route_table import Route, RouteKind, RouteTable

__all__ = ["JobLookup", "UnknownJobReads"]

READS_SHARE = 0.1
"""Share of this node's calls to the key-value service for ids that it does not know."""

READS_BURST_S = 2.0
"""Time whose reads may be made at once."""


class JobLookup:
    """Know the hosts that take jobs or have taken any, and the stored jobs.

    A job outlives its route, and a node may start after the route was removed.
    """

    def __init__(self, routes: ActiveRoutes, jobs: JobDirectory) -> None:
        self.routes = routes
        self.jobs = jobs
        self.former_hosts: set[str] = set()
        self.caller = JobCaller()
        """The caller as which jobs are looked up; by default one that may use all."""
        routes.on_change.append(self._add_hosts)

    def seen_by(self, caller: JobCaller) -> "JobLookup":
        """Return the same for one caller, who knows of no job that it may not use."""
        seen = copy(self)
        seen.caller = caller
        return seen

    def stored_id(self, job: JobId) -> JobId:
        """Return the id under which a job that the caller names is or would be stored."""
        own = job_id_of(job, self.caller.name)
        if own == job or own in self.jobs.jobs or self.usable(job) is None:
            return own
        return job

    def usable(self, job: JobId) -> JobRecord | None:
        """Return the record of a stored job if it is known here and the caller may use it."""
        view = self.jobs.jobs.get(job)
        if view is None or view.versioned is None or not self.may_use(view.versioned.record):
            return None
        return view.versioned.record

    def may_use(self, record: JobRecord) -> bool:
        """Return whether the caller may use a job."""
        return may_use_job(self.caller, record.customer, anonymous=record.anonymous)

    def route(self, host: str, path: str) -> Route | None:
        """Return the active route of a path."""
        table = self.routes.table
        return table.find(host, path) if table is not None else None

    def takes_jobs(self, host: str) -> bool:
        """Return whether jobs may be submitted at a host now."""
        table = self.routes.table
        return table is not None and table.serves_jobs(host)

    def may_hold_jobs(self, host: str) -> bool:
        """Return whether there may be jobs of a host; true until the stored jobs are known."""
        host = host.lower()
        known = host in self.former_hosts or host in self.jobs.hosts
        return known or not self.jobs.listed or self.takes_jobs(host)

    def is_known(self, job: JobId, host: str) -> bool:
        """Return whether a job of a host is known here that the caller may use."""
        record = self.usable(self.stored_id(job))
        return record is not None and record.host.lower() == host.lower()

    def _add_hosts(self, table: RouteTable) -> None:
        self.former_hosts |= {one.host for one in table.routes if one.kind is RouteKind.BATCH}


@dataclass
class UnknownJobReads:
    """Limit the reads for ids that this node does not know, which anyone may guess.

    Almost every job is known from the watch; one that was accepted a moment ago is read.
    """

    calls_per_s: float
    ready_s: float = field(default=0.0, init=False)
    """When the reads made so far are paid for; monotonic."""

    def wait_s(self, now: float) -> float:
        """Count a read and return 0, or return the time until one may be made."""
        interval_s = 1 / (READS_SHARE * self.calls_per_s)
        wait_s = self.ready_s - now - READS_BURST_S
        if wait_s > 0:
            return wait_s
        self.ready_s = max(self.ready_s, now) + interval_s
        return 0.0
