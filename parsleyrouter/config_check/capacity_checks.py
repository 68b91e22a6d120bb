"""Checks of limits against what a number of endpoints can take; without that number they pass.

What endpoints take follows from the configuration alone: requests as fast as the objective of
their route, and tokens as fast as the pause that it aims at.
"""

from collections.abc import Iterator

from parsleyrouter.config_check.document import ConfigDocument
from parsleyrouter.config_check.entry_checks import route_place
from parsleyrouter.config_check.findings import Severity
from parsleyrouter.config_check.registry import Problem, check
from parsleyrouter.ids import ServiceName
from parsleyrouter.version.route_table import Route, RouteKind, RouteTable

__all__: list[str] = []


def _places(table: RouteTable, document: ConfigDocument, service: ServiceName) -> int:
    """Return how many requests the endpoints of a service run at a time."""
    config = table.services[service]
    one = config.connection_limit if config.engine is None else config.engine.slots
    return document.endpoints[service] * one


def _online(table: RouteTable, service: ServiceName) -> list[Route]:
    """Return the routes of online requests that lead to a service."""
    return [
        route
        for route in table.routes
        if route.kind is not RouteKind.BATCH and any(t.service == service for t in route.targets)
    ]


@check(Severity.WARNING)
def customer_limits_above_endpoints(
    table: RouteTable, document: ConfigDocument
) -> Iterator[Problem]:
    """Find limits of customers that sum to more than the endpoints take within the objectives."""
    taken = 0.0
    for service in table.services:
        routes = _online(table, service)
        if not routes:
            continue
        fastest_s = min(route.latency_target_s for route in routes)
        if service not in document.endpoints or not fastest_s > 0:
            return
        taken += _places(table, document, service) / fastest_s
    allowed = sum(one.rate_per_s for one in table.customers.by_name.values() if one.limited)
    if allowed > taken > 0:
        problem = (
            f"the limits of customers sum to {allowed:g} requests/s, and the endpoints take "
            f"{taken:g} within the objectives"
        )
        yield "customers", problem, "lower the limits, or add endpoints"


@check(Severity.WARNING)
def jobs_longer_than_target(table: RouteTable, document: ConfigDocument) -> Iterator[Problem]:
    """Find batch routes that accept more tokens than the endpoints work off in a job's time."""
    for route in table.routes:
        if route.kind is not RouteKind.BATCH or not route.max_waiting_tokens:
            continue
        tokens_per_s = 0.0
        for target in route.targets:
            if target.service in table.services and target.service in document.endpoints:
                pauses_s = [one.max_pause_s for one in _online(table, target.service)]
                pause_s = min((one for one in pauses_s if one > 0), default=0.0)
                places = _places(table, document, target.service)
                tokens_per_s += places / pause_s if pause_s else 0.0
        needed_s = route.max_waiting_tokens / tokens_per_s if tokens_per_s else 0.0
        if needed_s > route.job_target_s > 0:
            problem = (
                f"a job of {route.max_waiting_tokens} tokens takes the endpoints {needed_s:.0f} s "
                f"and is due after {route.job_target_s:g} s"
            )
            yield route_place(route), problem, "lower the limit on waiting tokens, or add endpoints"
