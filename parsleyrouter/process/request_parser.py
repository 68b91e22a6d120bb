"""Read a caller's request: its route, its customer and what is sent to the endpoint."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.customers import Customer
from parsleyrouter.ids import RequestId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.caller_identity import CallerIdentity
from parsleyrouter.process.endpoint_chooser import RETRY_AFTER_S
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.fingerprint import fingerprint_of
from parsleyrouter.request.forwarded_request import (
    ForwardedRequest,
    HeaderNames,
    Headers,
    end_to_end_headers,
    name_customer,
)
from parsleyrouter.version.route_table import Route, RouteTable

__all__ = ["ParsedRequest", "RequestParser"]

MAX_DEADLINE_S = 3600.0


@dataclass(frozen=True)
class ParsedRequest:
    """A request and the customer that sends it, if the configuration has customers."""

    request: ForwardedRequest
    customer: Customer | None


@dataclass
class RequestParser:
    """Find the route and the customer of requests by one version of the configuration."""

    routes: ActiveRoutes
    names: HeaderNames
    identity: CallerIdentity
    shared_parts: Callable[[str], Prompt]
    random: Random

    def parse(self, exchange: CallerExchange) -> ParsedRequest | Refusal:
        """Return a request, or why it is refused: no routes, then no route, then no key."""
        table, head = self.routes.table, exchange.head
        if table is None:
            message = "no routes are known yet: try another entry"
            return Refusal(
                RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, RETRY_AFTER_S
            )
        host = head.headers.get("host", "").partition(":")[0]
        route = table.find(host, head.path)
        if route is None:
            message = f"no route matches {head.path}: see the active routes"
            return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
        customer = self.identity.identify(table, head, anonymous=route.anonymous)
        if isinstance(customer, Refusal):
            return customer
        deadline_s = _parse_deadline_s(head.headers.get(self.names.deadline_ms))
        target = f"{head.path}?{head.query}" if head.query else head.path
        request = ForwardedRequest(
            request=RequestId(head.headers.get(self.names.request, "")),
            route=_route_of(route, customer),
            service=route.pick_service(self.random),
            method=head.method,
            target=target,
            headers=self._headers(table, customer, head.raw, head.headers.get("connection", "")),
            body=exchange.body,
            received_s=exchange.received_s,
            deadline_s=exchange.received_s + min(route.timeout_s, deadline_s),
            prompt=self.shared_parts(head.headers.get(self.names.prefix, "")),
            fingerprint=fingerprint_of(host, head.method, target, exchange.body),
            customer=None if customer is None else customer.name,
        )
        return ParsedRequest(request, customer)

    def _headers(
        self,
        table: RouteTable,
        customer: Customer | None,
        sent: Sequence[tuple[bytes, bytes]],
        connection: str,
    ) -> Headers:
        kept = end_to_end_headers(sent, connection, self.names.protected())
        if not table.customers:
            return kept
        return name_customer(kept, self.names, None if customer is None else customer.name)


def _route_of(route: Route, customer: Customer | None) -> Route:
    """Return the route with the priority of the customer, if it has one."""
    if customer is None or customer.priority is None:
        return route
    return replace(route, priority=customer.priority)


def _parse_deadline_s(given: str | None) -> float:
    """Return the caller's deadline in seconds; an invalid value means the maximum."""
    try:
        value = float(given) / 1000 if given else MAX_DEADLINE_S
    except ValueError:
        return MAX_DEADLINE_S
    return value if value > 0 else MAX_DEADLINE_S
