"""Checks of the numbers of a configuration: ranges, and limits that contradict each other."""

import math
from collections.abc import Iterator

from parsleyrouter.config_check.document import ConfigDocument
from parsleyrouter.config_check.entry_checks import route_place
from parsleyrouter.config_check.findings import Severity
from parsleyrouter.config_check.registry import Problem, check
from parsleyrouter.version.route_table import RouteKind, RouteTable

__all__: list[str] = []

MIN_HEADER_BYTES = 512
"""Headers of an ordinary request."""


def _positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


@check(Severity.ERROR)
def times_out_of_range(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find routes without a time to answer, or with times that are no number."""
    for route in table.routes:
        if route.kind is not RouteKind.BATCH and not _positive(route.timeout_s):
            yield route_place(route), f"its timeout is {route.timeout_s:g} s", "write more than 0"
        if not _positive(route.latency_target_s):
            problem = f"its objective is {route.latency_target_s:g} s"
            yield route_place(route), problem, "write more than 0"
        if not math.isfinite(route.max_pause_s) or route.max_pause_s < 0:
            yield route_place(route), f"its pause is {route.max_pause_s:g} s", "write 0 or more"


@check(Severity.ERROR)
def priorities_out_of_range(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find priorities below the highest."""
    for route in table.routes:
        if route.priority < 0:
            problem = f"its priority is {route.priority}, and 0 is the highest"
            yield route_place(route), problem, "write 0 or more"


@check(Severity.ERROR)
def caller_limits_out_of_range(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find limits on callers that refuse every request."""
    limits = table.limits
    if limits.header_bytes < MIN_HEADER_BYTES:
        problem = f"headers may have {limits.header_bytes} bytes: every request is refused"
        yield "limits", problem, f"write at least {MIN_HEADER_BYTES}"
    if limits.body_bytes < 0:
        yield "limits", f"bodies may have {limits.body_bytes} bytes", "write 0 or more"
    for what, value in (("headers", limits.header_timeout_s), ("idle", limits.idle_timeout_s)):
        if not _positive(value):
            yield "limits", f"the {what} timeout is {value:g} s", "write more than 0"


@check(Severity.ERROR)
def connections_out_of_range(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find services whose endpoints take no connection or run nothing."""
    for name, service in table.services.items():
        if service.connection_limit < 1:
            problem = f"its endpoints take {service.connection_limit} connections"
            yield f"service {name!r}", problem, "write 1 or more"
        if service.engine is not None and service.engine.slots < 1:
            problem = f"its endpoints run {service.engine.slots} requests at a time"
            yield f"service {name!r}", problem, "write 1 or more"


@check(Severity.WARNING)
def objectives_above_timeout(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find objectives that a request reaches only after its timeout."""
    for route in table.routes:
        if route.kind is not RouteKind.BATCH and route.latency_target_s > route.timeout_s > 0:
            problem = (
                f"its objective of {route.latency_target_s:g} s is above its timeout of "
                f"{route.timeout_s:g} s"
            )
            yield route_place(route), problem, "raise the timeout or lower the objective"


@check(Severity.WARNING)
def bursts_below_one(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find limited customers whose burst holds no request."""
    for name, customer in table.customers.by_name.items():
        if customer.limited and customer.burst < 1:
            problem = f"its burst of {customer.burst:g} holds no request"
            yield f"customer {name!r}", problem, "write at least 1"


@check(Severity.WARNING)
def bursts_without_rate(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find bursts of customers without a limit."""
    for name, customer in table.customers.by_name.items():
        if customer.burst and not customer.limited:
            problem = "its burst has no effect without a rate"
            yield f"customer {name!r}", problem, "add a rate, or remove the burst"


@check(Severity.WARNING)
def jobs_abandoned_early(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find batch routes whose items may be abandoned before they are due."""
    for route in table.routes:
        if route.kind is RouteKind.BATCH and route.job_retention_s < route.job_target_s:
            problem = (
                f"its items may be abandoned after {route.job_retention_s:g} s and are due after "
                f"{route.job_target_s:g} s"
            )
            yield route_place(route), problem, "raise the retention"


@check(Severity.WARNING)
def waiting_tokens_below_one_item(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find limits on waiting tokens below the largest item that an endpoint could run."""
    for route in table.routes:
        engines = [
            table.services[t.service].engine for t in route.targets if t.service in table.services
        ]
        largest = max((one.kv_capacity_tokens for one in engines if one is not None), default=0)
        if route.kind is RouteKind.BATCH and 0 < route.max_waiting_tokens < largest:
            problem = (
                f"its limit of {route.max_waiting_tokens} waiting tokens is below the {largest} of "
                "one item that its endpoints can run: such a job is never accepted"
            )
            yield route_place(route), problem, "raise the limit"
