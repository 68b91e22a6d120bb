"""Time the work of one attempt, to learn the speed of its endpoint."""

from parsleyrouter.connection.sse import EventSplitter
from parsleyrouter.endpoint_speed import Measure, WorkClass
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.request.forwarded_request import ForwardedRequest

__all__ = ["WorkTimer"]

MIN_GAPS = 4
"""Gaps between events in one observation at least."""

MIN_WINDOW_S = 0.02
"""Length of one observation at least; shorter ones show the network and this process."""

WHOLE_GAPS = 16
"""Gaps between events that weigh as much as a whole response."""

MAX_READER_PAUSE_S = 0.005
"""Longest wait for a caller to read; after a longer one, gaps are not those of the endpoint."""


class WorkTimer:
    """Record how long events and plain responses of one attempt take."""

    def __init__(
        self, context: ForwardContext, registration: RegisteredEndpoint, request: ForwardedRequest
    ) -> None:
        self.context = context
        self.registration = registration
        self.request = request
        self.sent_s = 0.0
        self.crowded = False
        self.window_s: float | None = None
        """When the event came after which the gaps of the present observation are counted."""
        self.gaps = 0
        self.read_s = 0.0

    def start(self) -> None:
        """Begin when the request is sent; one that may be queued does not show the speed."""
        loads, entry = self.context.loads, self.registration
        self.sent_s = self.context.loop.now()
        use = loads.total_use(entry.endpoint, self.sent_s)
        self.crowded = use.online + use.batch > entry.slots

    def read_events(self, splitter: EventSplitter | None, chunk: bytes) -> bytes:
        """Record activity; return the events that a chunk completes, of a stream of events."""
        whole = splitter.feed(chunk) if splitter is not None else b""
        self._record_events(whole)
        return whole

    def _record_events(self, whole: bytes) -> None:
        now = self.read_s = self.context.loop.now()
        self.context.loads.record_activity(self.registration.endpoint, now)
        if not whole:
            return
        if self.window_s is None:
            self.window_s, self.gaps = now, 0
            return
        self.gaps += whole.count(b"\n\n") or whole.count(b"\r\n\r\n")
        window_s = now - self.window_s
        if self.gaps >= MIN_GAPS and window_s >= MIN_WINDOW_S:
            weight = min(1.0, self.gaps / WHOLE_GAPS)
            work = WorkClass(self.request.service, self.request.route.name, Measure.EVENT)
            self._record(work, window_s / self.gaps, weight, now)
            self.window_s, self.gaps = now, 0

    def reader_ready(self) -> None:
        """Leave out the present observation if the caller kept the endpoint waiting."""
        if self.context.loop.now() - self.read_s > MAX_READER_PAUSE_S:
            self.window_s = None

    def record_response(self, status: int, size: int) -> None:
        """Record the time of a whole plain response of ``size`` bytes."""
        now = self.context.loop.now()
        if status < 300 and not self.crowded:
            request = self.request
            work = WorkClass.of_response(request.service, request.route.name, size)
            self._record(work, now - self.sent_s, 1.0, now)

    def _record(self, work: WorkClass, took_s: float, weight: float, now: float) -> None:
        self.context.loads.record_work(self.registration, work, took_s, weight, now)
