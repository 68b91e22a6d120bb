"""Record what endpoints say about themselves in the heads of their answers."""

import logging
import time

from parsleyrouter.connection.endpoint_client import EndpointExchange
from parsleyrouter.endpoint_speed import parse_load_report
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.fleet_limits import parse_limit
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.request.forwarded_request import HeaderNames
from parsleyrouter.version.route_table import Route

__all__ = [
    "MISDIRECTED_STATUS",
    "body_length",
    "content_type",
    "proves_status",
    "record_head",
    "refuses_request",
]

MISDIRECTED_STATUS = 421

PROMISING_STATUSES = frozenset({408, 429, 503})
"""Statuses by which callers are promised that a request has not run and never will."""

log = logging.getLogger(__name__)


def record_head(
    context: ForwardContext, registration: RegisteredEndpoint, exchange: EndpointExchange
) -> None:
    """Record activity, load, limit and leaving of the endpoint that sent an answer's head.

    A copy of an earlier answer tells of the past. A status 421 is not used either: another endpoint
    may have taken over the address.
    """
    now, endpoint = context.loop.now(), registration.endpoint
    context.loads.record_activity(endpoint, now)
    if exchange.status == MISDIRECTED_STATUS or not exchange.answers_request:
        return
    headers, names = exchange.headers, context.names
    report = parse_load_report(headers.get(names.load, ""))
    if report.requests is not None:
        context.loads.record_report(endpoint, report.requests, now)
    if report.slowness is not None:
        context.loads.speeds.record_report(endpoint, registration.started_ms, report.slowness, now)
    leaving, unix_ms = headers.get(names.leaving) == "1", int(time.time() * 1000)
    if leaving and context.directory.mark_leaving(registration, now, unix_ms):
        fields = {"endpoint": endpoint, "state": "leaving", "request": exchange.request}
        log.info("endpoint changed", extra=fields)
    per_s = parse_limit(headers.get(names.limit))
    if per_s is not None or exchange.has_request_id:
        context.loads.limits.record_answer(registration, per_s, now)


def refuses_request(
    context: ForwardContext, endpoint: EndpointId, exchange: EndpointExchange
) -> bool:
    """Return whether a refusal belongs to the request and not to an earlier one.

    An endpoint may write a refusal twice. One that is not provably that of the request must come
    from another endpoint than the expected one, which refuses all requests of the connection.
    """
    instance = exchange.headers.get(context.names.instance)
    elsewhere = exchange.status == MISDIRECTED_STATUS and instance not in (None, endpoint)
    proven = exchange.answers_request or elsewhere
    context.client.note_refusal(exchange, endpoint, proven=proven)
    return proven


def proves_status(names: HeaderNames, route: Route, exchange: EndpointExchange) -> bool:
    """Return whether an answer proves that it is that of the endpoint to the request."""
    status = exchange.status
    verified = exchange.has_request_id and names.signature in exchange.headers
    unverified_success = status < 300 and (not verified or "content-encoding" in exchange.headers)
    promise = status in PROMISING_STATUSES and not route.repeatable
    return exchange.has_request_id and not unverified_success and not promise


def content_type(exchange: EndpointExchange) -> str:
    """Return the type of an answer's body, empty if it is not given."""
    return exchange.headers.get("content-type", "")


def body_length(exchange: EndpointExchange) -> int | None:
    """Return the length of an answer's body, ``None`` if it is not given."""
    if "transfer-encoding" in exchange.headers:
        return None
    length = exchange.headers.get("content-length")
    return int(length) if length is not None else None
