"""Calls about jobs as a caller may make them."""

from dataclasses import replace

import msgspec

from parsleyrouter.ids import CustomerName
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.job_lookup import JobLookup
from parsleyrouter.request.forwarded_request import HeaderNames
from parsleyrouter.request.job_call import JobCall, SubmitJob
from parsleyrouter.request.shared_job import JobItem, SubmittedJob
from parsleyrouter.version.route_table import RouteKind

__all__ = ["refuse_caller", "stored_call"]


def refuse_caller(call: JobCall | Refusal, jobs: JobLookup) -> Refusal | None:
    """Return why a call is refused: its key first, unless its job was accepted without one."""
    refusal = jobs.caller.refusal
    if isinstance(call, Refusal):
        return refusal or call
    if refusal is None or (isinstance(call, SubmitJob) and _has_route(call.submitted, jobs)):
        return refusal
    if jobs.caller.open_host and not isinstance(call, SubmitJob):
        return None
    job = call.submitted.job if isinstance(call, SubmitJob) else call.job
    record = jobs.usable(job)
    return None if record is not None and record.anonymous else refusal


def stored_call(call: JobCall, jobs: JobLookup, names: HeaderNames) -> JobCall:
    """Return a call with the id under which its job is stored, and with no key in its items."""
    if not isinstance(call, SubmitJob):
        return replace(call, job=jobs.stored_id(call.job))
    submitted = call.submitted
    if not jobs.caller.needs_key:
        return call
    return SubmitJob(
        msgspec.structs.replace(
            submitted,
            job=jobs.stored_id(submitted.job),
            items=[_without_key(item, names) for item in submitted.items],
            customer=jobs.caller.name or CustomerName(""),
        )
    )


def _has_route(submitted: SubmittedJob, jobs: JobLookup) -> bool:
    route = jobs.route(submitted.host, submitted.path)
    return route is not None and route.kind is RouteKind.BATCH


def _without_key(item: JobItem, names: HeaderNames) -> JobItem:
    dropped = (names.credential, names.customer)
    headers = {name: value for name, value in item.headers.items() if name.lower() not in dropped}
    return msgspec.structs.replace(item, headers=headers)
