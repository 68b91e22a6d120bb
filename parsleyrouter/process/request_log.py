"""Log one line for each forwarded request."""

import logging
from dataclasses import dataclass, field
from typing import Any

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.ids import EndpointId
from parsleyrouter.outcome import ExecutionStatus, Refusal
from parsleyrouter.process.forward_metrics import ForwardMetrics
from parsleyrouter.request.forwarded_request import ForwardedRequest

__all__ = ["RequestTrace", "log_request"]

log = logging.getLogger(__name__)


@dataclass
class RequestTrace:
    """Data about one request for its log line."""

    endpoints: list[EndpointId] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    sent: bool = False
    """Whether any attempt was sent to an endpoint."""
    used: int = 0
    wait_s: float = 0.0
    first_byte_s: float = 0.0


def log_request(
    request_header: str,
    metrics: ForwardMetrics,
    exchange: CallerExchange,
    request: ForwardedRequest | None,
    outcome: Refusal | None,
    trace: RequestTrace,
    *,
    took_s: float,
    routes_version: int,
) -> None:
    """Count a request that has ended and log how it did."""
    route = request.route if request else None
    outcome_label = "answered" if outcome is None else outcome.kind.value
    metrics.requests.labels(route.kind.value if route else "none", outcome_label).inc()
    fields: dict[str, Any] = {
        "request": exchange.head.headers.get(request_header, ""),
        "route": route.name if route else "",
        "outcome": outcome_label,
        "endpoints": trace.endpoints,
        "used": trace.used,
        "wait_s": round(trace.wait_s, 3),
        "first_s": round(trace.first_byte_s, 3),
        "took_s": round(took_s, 3),
        "routes_version": routes_version,
        **exchange.stop_fields(),
    }
    if request is not None and request.customer is not None:
        fields["customer"] = request.customer
        metrics.customers.count(request.customer, _customer_outcome(outcome))
    if outcome is None:
        log.info("request answered", extra=fields)
        return
    fields |= {"reason": outcome.message, "ran": outcome.ran.value}
    fields["fingerprint"] = request.fingerprint if request else None
    fields["failures"] = trace.failures
    log.warning("request failed", extra=fields)


def _customer_outcome(outcome: Refusal | None) -> str:
    if outcome is None:
        return "answered"
    return "refused" if outcome.ran is ExecutionStatus.NOT_RUN else "failed"
