"""Detect crashes of endpoints from requests that they cut, and what may have caused them."""

import itertools
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from secrets import token_hex

from parsleyrouter.connection.stream import ConnectFailed, ConnectionRefused, Connector
from parsleyrouter.ids import EndpointId, Fingerprint, RequestId, RunId
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.quarantine_keeper import QuarantineKeeper
from parsleyrouter.request.crash import Crash, PartGroup, Prompt
from parsleyrouter.request.crash_evidence import (
    SAME_CRASH_S,
)

__all__ = ["CrashMonitor", "RunningRequest"]

CONFIRM_TIMEOUT_S = 0.35
"""Time within which a process that runs accepts a connection or its host refuses one."""

GATHER_S = 0.03
"""Time over which the cuts by one crash are gathered; they arrive within milliseconds."""

RECENT_S = 1.0
"""A request whose answer began longer before the crash has not caused it: an endpoint crashes when
it begins to write one."""

SURVIVORS_INTERVAL_S = 0.25

MAX_ABANDONED = 1024
MAX_LOGGED_RUNS = 32

log = logging.getLogger(__name__)


@dataclass(eq=False)
class RunningRequest:
    """A request at an endpoint; ``began_s`` is when the first byte of its answer arrived."""

    registration: RegisteredEndpoint
    prompt: Prompt
    cancel: Callable[[], None]
    request: RequestId = RequestId("")
    fingerprint: Fingerprint | None = None
    sent: bool = False
    began_s: float | None = None
    survived: bool = False
    """Whether the answer is known not to have crashed the endpoint."""

    def fields(self) -> dict[str, object]:
        """Return what names the request in a log line."""
        return {"request": self.request, "fingerprint": self.fingerprint}


@dataclass
class _Cuts:
    """Requests that one start of an endpoint has just cut, and when the first of them was."""

    at_s: float
    started_ms: int
    confirmed: bool = False
    """Whether the endpoint has crashed, once that is ``checked``."""
    checked: bool = False
    runs: dict[RunId, Prompt] = field(default_factory=dict)
    requests: list[RunningRequest] = field(default_factory=list)
    answered: dict[Prompt, float] = field(default_factory=dict)
    """When the answers began that ended with their connection."""


@dataclass(frozen=True)
class _AbandonedRun:
    """A run that this node gave up; its endpoint may have read it and begin its answer later."""

    request: RunningRequest
    run: RunId
    ended_s: float


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
        self.abandoned: deque[_AbandonedRun] = deque(maxlen=MAX_ABANDONED)
        self.start_name = token_hex(4)
        self.run_numbers = itertools.count(1)
        keeper.on_quarantined.append(self._cancel_waiting)
        keeper.exchange.on_crashes.append(self._report_abandoned)
        loop.call_later(SURVIVORS_INTERVAL_S, self._report_survivors)

    def start(self, request: RunningRequest) -> None:
        """Watch a request that is about to be sent."""
        self.running.add(request)

    def end(
        self, request: RunningRequest, *, cut: bool, served: bool, abandoned: bool = False
    ) -> None:
        """Note how a request ended: its connection closed by the endpoint, answered whole, or both.

        An answer may end with its connection; it is whole only if the endpoint still runs. An
        ``abandoned`` request was ended by this node.
        """
        self.running.discard(request)
        if request.prompt:
            began = cut or served or abandoned
            self.keeper.end_trial(request.prompt, began=began, cut=cut, sent=request.sent)
        if cut:
            self._record_cut(request, served=served)
        elif not request.prompt:
            return
        elif served and request.began_s is not None:
            self.keeper.report_served(request.prompt, request.began_s)
        elif abandoned and not request.survived:
            self.abandoned.append(_AbandonedRun(request, self._name_run(), self.loop.now()))

    def _name_run(self) -> RunId:
        return RunId(f"{self.start_name}.{next(self.run_numbers):x}")

    def _take_abandoned(self, crash: Crash) -> dict[RunId, Prompt]:
        """Remove and return the runs given up at an endpoint in the second before it crashed."""
        taken = [
            one
            for one in self.abandoned
            if one.request.registration.endpoint == crash.endpoint
            and one.request.registration.started_ms == crash.started_ms
            and -GATHER_S <= crash.at_s - one.ended_s <= RECENT_S
        ]
        for one in taken:
            self.abandoned.remove(one)
        return {one.run: one.request.prompt for one in taken}

    def _report_abandoned(self, crashes: Iterable[Crash]) -> None:
        """Report the runs given up here that may have caused a crash that another node saw."""
        for crash in crashes:
            runs = self._take_abandoned(crash)
            if runs:
                found = Crash(
                    crash.endpoint, crash.at_s, set(runs.values()), crash.started_ms, runs
                )
                self.keeper.report_crash(found)

    def _record_cut(self, request: RunningRequest, *, served: bool) -> None:
        now, endpoint = self.loop.now(), request.registration.endpoint
        if not self._is_expected_to_run(request.registration):
            return
        if request.began_s is not None and now - request.began_s > RECENT_S:
            return
        cuts = self.cuts.get(endpoint)
        started_ms = request.registration.started_ms
        if cuts is None or cuts.started_ms != started_ms or now - cuts.at_s > SAME_CRASH_S:
            cuts = self.cuts[endpoint] = _Cuts(now, started_ms)
            self.loop.spawn(self._confirm(request.registration, cuts), f"check {endpoint}")
        cuts.requests.append(request)
        if not request.prompt:
            return
        run = self._name_run()
        cuts.runs[run] = request.prompt
        if served and request.began_s is not None:
            cuts.answered[request.prompt] = request.began_s
        if cuts.confirmed:
            self._report(request.registration, cuts, {run: request.prompt})
        elif cuts.checked:
            self._report_answered(cuts)

    async def _confirm(self, registration: RegisteredEndpoint, cuts: _Cuts) -> None:
        """Report a crash if the endpoint refuses connections; one request may be cut alone."""
        cuts.confirmed = await self._refuses(registration)
        if not cuts.confirmed:
            # A dying process may accept a connection after it has closed others.
            await self.loop.sleep(GATHER_S)
            cuts.confirmed = await self._refuses(registration)
        cuts.checked = True
        if cuts.confirmed:
            await self.loop.sleep(GATHER_S)
            fields = {"endpoint": registration.endpoint, "prompts": sorted(set(cuts.runs.values()))}
            cut = [one.fields() for one in cuts.requests[:MAX_LOGGED_RUNS]]
            log.warning("endpoint crashed", extra=fields | {"runs": cut})
            if cuts.runs:
                self._report(registration, cuts, dict(cuts.runs))
        else:
            self._report_answered(cuts)
        if len(self.cuts) > len(self.directory.endpoints):
            kept = self.loop.now() - SAME_CRASH_S
            self.cuts = {name: one for name, one in self.cuts.items() if one.at_s > kept}

    async def _refuses(self, registration: RegisteredEndpoint) -> bool:
        try:
            stream = await self.connector.open(registration.address, CONFIRM_TIMEOUT_S)
        except ConnectionRefused:
            return True
        except ConnectFailed as error:
            fields = {"endpoint": registration.endpoint, "reason": str(error)}
            log.info("cut not explained", extra=fields)
            return False
        stream.close()
        return False

    def _report(
        self, registration: RegisteredEndpoint, cuts: _Cuts, runs: dict[RunId, Prompt]
    ) -> None:
        crash = Crash(registration.endpoint, cuts.at_s, started_ms=registration.started_ms)
        crash.runs = runs | self._take_abandoned(crash)
        crash.prompts = set(crash.runs.values())
        self.keeper.report_crash(crash)

    def _report_answered(self, cuts: _Cuts) -> None:
        for prompt, began_s in cuts.answered.items():
            self.keeper.report_served(prompt, began_s)
        cuts.answered.clear()

    def _report_survivors(self) -> None:
        """Report answers that go on for so long that they cannot crash their endpoint any more."""
        now = self.loop.now()
        for request in self.running if self.keeper.suspicious else ():
            began_s = request.began_s
            if began_s is not None and not request.survived and now - began_s > RECENT_S:
                request.survived = True
                self.keeper.report_served(request.prompt, began_s)
        self.loop.call_later(SURVIVORS_INTERVAL_S, self._report_survivors)

    def _is_expected_to_run(self, registration: RegisteredEndpoint) -> bool:
        known = self.directory.endpoints.get(registration.endpoint)
        return known is not None and not known.leaving

    def _cancel_waiting(self, group: PartGroup) -> None:
        """Cancel the requests with quarantined parts of which no answer has begun."""
        for request in list(self.running):
            if request.began_s is None and group.issubset(request.prompt):
                request.cancel()
