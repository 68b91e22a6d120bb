"""Count the usage of teams in batch jobs, from committed results and exactly once."""

import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import msgspec

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyValue,
    KeyValueFailure,
    WriteApplied,
)
from parsleyrouter.ids import JobId, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.job_keys import CHUNK_PREFIX, JOB_PREFIX, shard_home, team_prefix
from parsleyrouter.process.job_records import JobPhase, JobRecord, Tally, decode_record
from parsleyrouter.process.job_writer import platform_refusal
from parsleyrouter.process.loop import Loop

__all__ = ["ExpiredUsage", "JobExpiry", "JobUsage", "OpenJobCounts", "OpenJobs", "read_usage"]

USAGE_PREFIX = "/parsley/usage/"
EXPIRY_SHARD = "expiry"
EXPIRY_INTERVAL_S = 3600.0
SCAN_PAGE_ENTRIES = 500
PAUSE_PER_PAGE_S = 1.0
MAX_COUNTED_JOBS = 2000
COUNTS_TTL_S = 10.0


@dataclass(frozen=True)
class ExpiredUsage:
    """Usage of a team in jobs whose records are deleted.

    ``counted`` holds the jobs added last, so that a repeated deletion adds none of them twice.
    """

    tally: Tally = Tally()
    counted: tuple[JobId, ...] = ()


@dataclass(frozen=True)
class JobUsage:
    """Total usage of a team."""

    jobs_kept: int
    tally: Tally


@dataclass(frozen=True)
class OpenJobs:
    """Number of jobs and items of a team that have not ended."""

    jobs: int = 0
    items: int = 0


async def scan_jobs(
    kv: KeyValue, prefix: str
) -> AsyncIterator[tuple[Entry, JobRecord] | KeyValueFailure]:
    """Yield all job records under a prefix, or a failure as the last value."""
    after, more = "", True
    while more:
        page = await kv.scan(prefix, after=after, limit=SCAN_PAGE_ENTRIES)
        if isinstance(page, KeyValueFailure):
            yield page
            return
        for entry in page.entries:
            after = entry.key
            yield entry, decode_record(JobRecord, entry.value)
        more = page.more


def is_open(job: JobRecord) -> bool:
    """Return whether a job has not ended."""
    return job.phase in (JobPhase.ACCEPTING, JobPhase.RUNNING)


async def count_open_jobs(kv: KeyValue, team: TeamName) -> OpenJobs | KeyValueFailure:
    """Count the jobs of a team that have not ended."""
    found = OpenJobs()
    async for one in scan_jobs(kv, team_prefix(team)):
        if isinstance(one, KeyValueFailure):
            return one
        job = one[1]
        if is_open(job):
            found = OpenJobs(found.jobs + 1, found.items + job.items - job.tally.items)
    return found


async def read_usage(kv: KeyValue, team: TeamName) -> JobUsage | Refusal:
    """Return the usage of a team; a part counts once its results are in its job's record."""
    kept, tally = 0, Tally()
    counted: set[JobId] = set()
    expired = await kv.get(USAGE_PREFIX + team)
    if isinstance(expired, KeyValueFailure):
        return platform_refusal(expired)
    if expired is not None:
        before = msgspec.json.decode(expired.value, type=ExpiredUsage)
        tally += before.tally
        counted = set(before.counted)
    async for one in scan_jobs(kv, team_prefix(team)):
        if isinstance(one, KeyValueFailure):
            return platform_refusal(one)
        job = one[1]
        if job.job not in counted:
            kept += 1
            tally += job.tally
    return JobUsage(kept, tally)


class OpenJobCounts:
    """Cache the open jobs and items of each team for some seconds."""

    def __init__(self, loop: Loop, kv: KeyValue) -> None:
        self.loop = loop
        self.kv = kv
        self.counts: dict[TeamName, tuple[float, OpenJobs]] = {}

    async def of(self, team: TeamName) -> OpenJobs | KeyValueFailure:
        """Return the open jobs and items of a team."""
        until_s, found = self.counts.get(team, (0.0, OpenJobs()))
        if self.loop.now() < until_s:
            return found
        fresh = await count_open_jobs(self.kv, team)
        if isinstance(fresh, OpenJobs):
            self.counts[team] = (self.loop.now() + COUNTS_TTL_S, fresh)
        return fresh

    def add(self, team: TeamName, items: int) -> None:
        """Count a job accepted on this node."""
        until_s, found = self.counts.get(team, (0.0, OpenJobs()))
        self.counts[team] = (until_s, OpenJobs(found.jobs + 1, found.items + items))


class JobExpiry:
    """Delete the records of jobs whose retention has ended, after counting their usage.

    The home node of one fixed shard does this; two nodes at once do no harm.
    """

    def __init__(
        self, loop: Loop, kv: KeyValue, view: FleetView, *, every_s: float = EXPIRY_INTERVAL_S
    ) -> None:
        self.loop = loop
        self.kv = kv
        self.view = view
        self.every_s = every_s

    def start(self) -> None:
        """Delete expired jobs periodically."""
        self.loop.call_later(self.every_s, self._check)

    async def expire(self, now: float) -> int | KeyValueFailure:
        """Delete the jobs that expired before ``now``, seconds since 1970; return how many."""
        gone = 0
        async for one in scan_jobs(self.kv, JOB_PREFIX):
            if isinstance(one, KeyValueFailure):
                return one
            entry, job = one
            if job.expires_s < now and await self._remove(entry, job):
                gone += 1
            if job.expires_s < now:
                await self.loop.sleep(PAUSE_PER_PAGE_S / SCAN_PAGE_ENTRIES)
        return gone

    def _check(self) -> None:
        if shard_home(EXPIRY_SHARD, self.view.nodes()) == self.view.self_node().node:
            self.loop.spawn(self.expire(time.time()), "expire jobs")
        self.loop.call_later(self.every_s, self._check)

    async def _remove(self, entry: Entry, job: JobRecord) -> bool:
        """Count the usage, then delete; a job that is still changing is left to the next check."""
        if is_open(job):
            ended = replace(job, phase=JobPhase.CANCELLED)
            value = msgspec.json.encode(ended)
            swapped = await self.kv.compare_and_swap(entry.key, value, entry.revision)
            if not isinstance(swapped, WriteApplied):
                return False
            entry = Entry(entry.key, value, swapped.revision)
        if not await self._count(job):
            return False
        await self._remove_chunks(job.job)
        return isinstance(await self.kv.delete(entry.key, entry.revision), WriteApplied)

    async def _count(self, job: JobRecord) -> bool:
        key = USAGE_PREFIX + job.team
        entry = await self.kv.get(key)
        if isinstance(entry, KeyValueFailure):
            return False
        usage = ExpiredUsage()
        if entry is not None:
            usage = msgspec.json.decode(entry.value, type=ExpiredUsage)
        if job.job in usage.counted:
            return True
        counted = (*usage.counted, job.job)[-MAX_COUNTED_JOBS:]
        value = msgspec.json.encode(ExpiredUsage(usage.tally + job.tally, counted))
        outcome = await self.kv.compare_and_swap(
            key, value, ABSENT if entry is None else entry.revision
        )
        return not isinstance(outcome, Conflict | KeyValueFailure)

    async def _remove_chunks(self, job: JobId) -> None:
        """Delete chunks that are in the key-value service because there were too few disk VMs."""
        page = await self.kv.scan(f"{CHUNK_PREFIX}{job}/", limit=SCAN_PAGE_ENTRIES)
        for entry in () if isinstance(page, KeyValueFailure) else page.entries:
            await self.kv.delete(entry.key, entry.revision)
