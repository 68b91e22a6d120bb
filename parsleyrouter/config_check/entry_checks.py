"""Checks of the entries of a configuration: names, references, and entries without effect."""

from collections import Counter
from collections.abc import Iterator

from parsleyrouter.config_check.document import ConfigDocument
from parsleyrouter.config_check.findings import Severity
from parsleyrouter.config_check.registry import Problem, check
from parsleyrouter.nearest import nearest_name
from parsleyrouter.version.route_table import Route, RouteKind, RouteTable

__all__ = ["route_place"]


def route_place(route: Route) -> str:
    """Return how findings name a route."""
    return f"route {route.name!r}"


@check(Severity.ERROR)
def route_names_repeated(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find routes with the same name, which jobs and metrics cannot tell apart."""
    for name, count in Counter(route.name for route in table.routes).items():
        if count > 1:
            yield f"route {name!r}", f"{count} routes have this name", "give each its own name"


@check(Severity.ERROR)
def service_names_repeated(_: RouteTable, document: ConfigDocument) -> Iterator[Problem]:
    """Find services with the same name, of which only the last one counts."""
    for name, count in Counter(document.services).items():
        if count > 1:
            problem = f"{count} services have this name, and only the last one counts"
            yield f"service {name!r}", problem, "keep one of them"


@check(Severity.ERROR)
def services_unknown(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find routes to services that are not there."""
    for route in table.routes:
        for target in route.targets:
            if target.service not in table.services:
                nearest = nearest_name(target.service, table.services)
                remedy = f"write {nearest!r}, or add the service" if nearest else "add the service"
                yield route_place(route), f"its service {target.service!r} is not listed", remedy


@check(Severity.ERROR)
def prefixes_malformed(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find prefixes that do not begin and end with a slash."""
    for route in table.routes:
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            remedy = f"write {'/' + route.prefix.strip('/') + '/'!r}".replace("'//'", "'/'")
            problem = f"its prefix {route.prefix!r} does not begin and end with a slash"
            yield route_place(route), problem, remedy


@check(Severity.ERROR)
def shares_impossible(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find shares below 0, and routes whose shares are all 0: no service could be chosen."""
    for route in table.routes:
        weights = [target.weight for target in route.targets]
        if any(not 0 <= weight < float("inf") for weight in weights):
            yield route_place(route), "a share is below 0 or no number", "write 0 or more"
        elif len(weights) > 1 and not sum(weights):
            yield route_place(route), "all shares are 0", "give one service a share above 0"


@check(Severity.WARNING)
def shares_of_zero(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find services with a share of 0, which get no requests."""
    for route in table.routes:
        for target in route.targets:
            if target.weight == 0 and len(route.targets) > 1:
                problem = f"the service {target.service!r} has a share of 0 and gets no requests"
                yield route_place(route), problem, "remove it, or give it a share"


@check(Severity.WARNING)
def routes_unreachable(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find routes behind another one with the same host and prefix."""
    first: dict[tuple[str, str], Route] = {}
    for route in table.routes:
        earlier = first.setdefault((route.host, route.prefix), route)
        if earlier is not route:
            problem = f"it never matches: {route_place(earlier)} has the same host and prefix"
            yield route_place(route), problem, "remove one, or change its prefix"


@check(Severity.WARNING)
def customers_without_keys(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find customers of whom no request can be recognized."""
    with_keys = set(table.customers.by_digest.values())
    for name in table.customers.by_name:
        if name not in with_keys:
            yield f"customer {name!r}", "it has no key, so none of its calls", "add a key"


@check(Severity.WARNING)
def services_unused(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find services to which no route leads."""
    used = {target.service for route in table.routes for target in route.targets}
    for name in table.services:
        if name not in used:
            yield f"service {name!r}", "no route leads to it", "remove it, or add a route"


@check(Severity.WARNING)
def options_without_effect(table: RouteTable, _: ConfigDocument) -> Iterator[Problem]:
    """Find options of routes that count only for another kind."""
    for route in table.routes:
        if route.resumable and route.kind is not RouteKind.STREAM:
            yield route_place(route), "only streams can be resumable", "remove the option"
        if route.max_waiting_tokens and route.kind is not RouteKind.BATCH:
            problem = "only batch routes have a limit on waiting tokens"
            yield route_place(route), problem, "remove the limit"
