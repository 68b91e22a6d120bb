"""Decode the platform's calls about batch jobs, and encode the responses."""

import re
from base64 import b64decode
from collections.abc import Mapping
from urllib.parse import parse_qs

import msgspec

from parsleyrouter.connection.http_limits import RequestHead
from parsleyrouter.decoding import decode_json
from parsleyrouter.ids import ItemId, JobId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.platform.headers import HEADERS
from parsleyrouter.process.job_lookup import JobLookup
from parsleyrouter.request.job_call import (
    EndJob,
    JobCall,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from parsleyrouter.request.shared_job import ItemState, JobItem, SubmittedJob
from parsleyrouter.version.route_table import RouteKind

__all__ = ["decode_job_call", "encode_results"]

MAX_ITEMS = 200
"""Maximum number of items per job that clients of the platform may submit."""

MAX_ITEM_HEADERS = 100
"""Maximum number of headers of an item, as of a request."""

MAX_QUOTES = MAX_ITEMS * (64 + 4 * MAX_ITEM_HEADERS)
"""Quotation marks in a job of that many items with all their fields; more are not parsed."""

MAX_ITEM_TOKENS = 2**31

_JOB_PATH = re.compile(r"^/(lots|items)/([0-9A-Za-z._-]{1,64})$")


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    # Base64 text.
    body: str = ""
    # Sum of the prompt tokens and the maximum output tokens.
    tokens: int = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


def decode_job_call(head: RequestHead, body: bytes, jobs: JobLookup) -> JobCall | Refusal | None:
    """Decode a call about a job; ``None`` if the request is not about jobs.

    A stored job can be read, ended and submitted again after its route was removed.
    """
    host = head.headers.get("host", "").partition(":")[0]
    if not jobs.may_hold_jobs(host):
        return None
    route = jobs.route(host, head.path)
    found = _JOB_PATH.match(head.path)
    if found is not None:
        job = JobId(found[2])
        if route is None or jobs.takes_jobs(host) or jobs.is_known(job, host):
            return _decode_job_request(head, found[1], job)
    if route is None or route.kind is not RouteKind.BATCH:
        job = JobId(head.headers.get(HEADERS.request, ""))
        repeated = head.method == "POST" and jobs.is_known(job, host)
        return _decode_submission(head, host, body) if repeated else None
    if head.method != "POST":
        return _bad_request("submit a job by POST")
    return _decode_submission(head, host, body)


def encode_results(page: ResultPage) -> bytes:
    """Encode a page of results as a response body."""
    results = [
        {"id": one.item, "state": _STATE_NAMES[one.state], "output": one.output}
        for one in page.results
    ]
    body = {"total": page.total, "next": page.start + len(results), "results": results}
    return msgspec.json.encode(body)


_STATE_NAMES: Mapping[ItemState, str] = {
    ItemState.COMPLETED: "completed",
    ItemState.GIVEN_UP: "dead_lettered",
}


def _decode_job_request(head: RequestHead, resource: str, job: JobId) -> JobCall | Refusal:
    query = parse_qs(head.query)
    if resource == "items":
        return ReadItem(job, ItemId(query.get("id", [""])[0]))
    if head.method == "DELETE":
        return EndJob(job)
    try:
        start = int(query.get("after", ["0"])[0])
        wait_ms = float(head.headers.get(HEADERS.wait_ms, "0"))
    except ValueError:
        return _bad_request("'after' and the time to wait must be numbers")
    return ReadResults(job, min(max(0, start), MAX_ITEMS), max(0.0, wait_ms / 1000))


def _decode_submission(head: RequestHead, host: str, body: bytes) -> JobCall | Refusal:
    job = head.headers.get(HEADERS.request, "")
    if not re.match(r"^[0-9A-Za-z._-]{1,64}$", job):
        return _bad_request(f"{HEADERS.request} must name the job")
    if body.count(b'"') > MAX_QUOTES:
        return _too_many_fields()
    try:
        found = decode_json(body, _Submission)
        items = [
            JobItem(
                ItemId(one.id),
                one.path,
                one.headers,
                b64decode(one.body, validate=True),
                min(max(0, one.tokens), MAX_ITEM_TOKENS),
            )
            for one in found.items
        ]
    except ValueError as error:
        return _bad_request(f"the job cannot be read: {error}")
    if not 0 < len(items) <= MAX_ITEMS or len({one.item for one in items}) < len(items):
        return _bad_request(f"a job has 1 to {MAX_ITEMS} items with different ids")
    if any(len(one.headers) > MAX_ITEM_HEADERS for one in items):
        return _too_many_fields()
    return SubmitJob(SubmittedJob(JobId(job), host, head.path, items))


def _too_many_fields() -> Refusal:
    return _bad_request(
        f"a job has 1 to {MAX_ITEMS} items, each with at most {MAX_ITEM_HEADERS} headers"
    )


def _bad_request(message: str) -> Refusal:
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
