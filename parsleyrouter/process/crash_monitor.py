"""Detect crashes of endpoints from requests that they cut, and what may have caused them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from parsleyrouter.connection.stream import ConnectFailed, ConnectionRefused, Connector
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.quarantine_keeper import QuarantineKeeper
from parsleyrouter.request.crash_evidence import SAME_CRASH_S, Crash, PartGroup, Prompt

__all__ = ["CrashMonitor", "RunningRequest"]

CONFIRM_TIMEOUT_S = 0.35
"""Time within which a process that runs accepts a connection or its host refuses one."""

GATHER_S = 0.03
"""Time over which the cuts by one crash are gathered; they arrive within milliseconds."""

RECENT_S = 1.0
"""A request whose answer began longer before the crash has not caused it: an endpoint crashes when
it begins to write one."""

log = logging.getLogger(__name__)


@dataclass(eq=False)
class RunningRequest:
    """A request at an endpoint; ``began_s`` is when the first byte of its answer arrived."""

    registration: RegisteredEndpoint
    prompt: Prompt
    cancel: Callable[[], None]
    began_s: float | None = None


@dataclass
class _Cuts:
    """Requests that an endpoint has just cut, and when the first of them was."""

    at_s: float
    confirmed: bool = False
    prompts: set[Prompt] = field(default_factory=set)


class CrashMonitor:
    """Watch the requests at endpoints; report an endpoint that cuts some and accepts no more."""

    def __init__(
        self,
        loop: Loop,
        connector: Connector,
        directory: EndpointDirectory,
        keeper: QuarantineKeeper,
    ) -> None:
        self.loop = loop
        self.connector = connector
        self.directory = directory
        self.keeper = keeper
        self.running: set[RunningRequest] = set()
        self.cuts: dict[EndpointId, _Cuts] = {}
        keeper.on_quarantined.append(self._cancel_waiting)

    def start(self, request: RunningRequest) -> None:
        """Watch a request that is about to be sent."""
        if request.prompt:
            self.running.add(request)

    def end(self, request: RunningRequest, *, cut: bool, served: bool) -> None:
        """Note how a request ended: cut by the endpoint, answered whole, or neither."""
        self.running.discard(request)
        if not request.prompt:
            return
        if served:
            self.keeper.report_served(request.prompt)
        elif cut:
            self._record_cut(request)

    def _record_cut(self, request: RunningRequest) -> None:
        now, endpoint = self.loop.now(), request.registration.endpoint
        if not self._is_expected_to_run(request.registration):
            return
        if request.began_s is not None and now - request.began_s > RECENT_S:
            return
        cuts = self.cuts.get(endpoint)
        if cuts is None or now - cuts.at_s > SAME_CRASH_S:
            cuts = self.cuts[endpoint] = _Cuts(now)
            self.loop.spawn(self._confirm(request.registration, cuts), f"check {endpoint}")
        cuts.prompts.add(request.prompt)
        if cuts.confirmed:
            self.keeper.report_crash(Crash(endpoint, cuts.at_s, {request.prompt}))

    async def _confirm(self, registration: RegisteredEndpoint, cuts: _Cuts) -> None:
        """Report a crash if the endpoint refuses connections; one request may be cut alone."""
        endpoint = registration.endpoint
        try:
            stream = await self.connector.open(registration.address, CONFIRM_TIMEOUT_S)
        except ConnectionRefused as error:
            await self.loop.sleep(GATHER_S)
            cuts.confirmed = True
            fields = {"endpoint": endpoint, "reason": str(error), "prompts": sorted(cuts.prompts)}
            log.warning("endpoint crashed", extra=fields)
            self.keeper.report_crash(Crash(endpoint, cuts.at_s, set(cuts.prompts)))
        except ConnectFailed as error:
            log.info("cut not explained", extra={"endpoint": endpoint, "reason": str(error)})
        else:
            stream.close()
        if len(self.cuts) > len(self.directory.endpoints):
            kept = self.loop.now() - SAME_CRASH_S
            self.cuts = {name: one for name, one in self.cuts.items() if one.at_s > kept}

    def _is_expected_to_run(self, registration: RegisteredEndpoint) -> bool:
        known = self.directory.endpoints.get(registration.endpoint)
        return known is not None and not known.leaving

    def _cancel_waiting(self, group: PartGroup) -> None:
        """Cancel the requests with quarantined parts of which no answer has begun."""
        for request in list(self.running):
            if request.began_s is None and group.issubset(request.prompt):
                request.cancel()
