"""Choose the endpoint of an online request, or refuse it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import DomainName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_limits import LimitedRequest
from parsleyrouter.process.request_log import RequestTrace
from parsleyrouter.request.admission import Refuse, admit, is_retry
from parsleyrouter.request.attempts import AttemptHistory
from parsleyrouter.request.forwarded_request import ForwardedRequest
from parsleyrouter.request.permit_queue import PermitQueue
from parsleyrouter.request.placement import choose_endpoint, queue_wait_s

__all__ = ["RETRY_AFTER_S", "EndpointChooser"]

RETRY_AFTER_S = 0.5
"""Retry-After of a refusal that is not caused by load."""

MIN_LEFT_S = 0.01


@dataclass
class EndpointChooser:
    """Choose by registrations, loads and limits."""

    directory: EndpointDirectory
    loads: EndpointLoads
    domain: DomainName
    random: Random
    permit_queue: PermitQueue = field(default_factory=PermitQueue)

    def choose(
        self, request: ForwardedRequest, history: AttemptHistory, trace: RequestTrace, now: float
    ) -> RegisteredEndpoint | Refusal:
        """Return the endpoint to send to, or why the request is refused."""
        registrations = {
            registration.endpoint: registration
            for registration in self.directory.available_for(request.service)
            if registration.endpoint not in history.endpoints
        }
        candidates = self.loads.candidates(registrations.values(), now)
        left_s = request.deadline_s - now
        allowed_s = request.route.timeout_s - request.waited_s
        continued = history.failed or is_retry(left_s, allowed_s)
        needed = LimitedRequest.CONTINUED if continued else LimitedRequest.NEW
        permitted = [one for one in candidates if one.permits >= needed.value]
        best = choose_endpoint(permitted, self.domain, self.random)
        if best is None and candidates:
            return self._refuse_limited(request, registrations.values(), needed, now)
        if best is None:
            message = "no endpoint of the service is known: try again later"
            return Refusal(RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, RETRY_AFTER_S)
        service_s = self.loads.typical_service_s(request.service)
        trace.used, trace.wait_s = best.used, queue_wait_s(best, service_s)
        verdict = admit(
            wait_s=trace.wait_s,
            target_s=request.route.latency_target_s,
            left_s=left_s,
            allowed_s=allowed_s,
            spread=self.random.random(),
            wait_share=None if history.failed else request.wait_share,
        )
        if isinstance(verdict, Refuse) and not history.runs:
            message = f"all endpoints are busy for {trace.wait_s:.2f} s: try again later"
            return Refusal(
                RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, verdict.retry_after_s
            )
        return registrations[best.endpoint]

    def _refuse_limited(
        self,
        request: ForwardedRequest,
        registrations: Iterable[RegisteredEndpoint],
        needed: LimitedRequest,
        now: float,
    ) -> Refusal:
        known, limits = list(registrations), self.loads.limits
        nodes = 1 + len(self.loads.fleet.live_nodes(now))
        left_s = max(MIN_LEFT_S, request.deadline_s - now)
        rates = [limits.rate(entry) for entry in known]
        after_s = self.permit_queue.retry_after_s(
            request.service,
            wait_s=min(limits.wait_s(entry, needed.value, now) for entry in known),
            per_s=max(sum(rates), 1 / left_s) / nodes,
            left_s=left_s,
            now=now,
        )
        message = "all endpoints have got as many requests as they take: try again later"
        return Refusal(RefusalKind.OVERLOADED, message, ExecutionStatus.NOT_RUN, after_s)
