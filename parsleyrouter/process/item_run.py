"""Run a batch item at one endpoint, resuming its output where the last run stopped."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from parsleyrouter.connection.endpoint_client import RawHeaders
from parsleyrouter.connection.sse import event_data, is_event_stream, last_event_id
from parsleyrouter.ids import CustomerName, RequestId, ServiceName
from parsleyrouter.process.crash_monitor import RECENT_S
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.forward_attempt import ForwardAttempt
from parsleyrouter.process.forward_context import ForwardContext, ResponseTimeouts
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.forwarded_request import ForwardedRequest, Headers, name_customer
from parsleyrouter.request.shared_job import JobItem
from parsleyrouter.version.route_table import Route

__all__ = ["ItemEnd", "ItemProgress", "ItemRun", "item_prompt"]

IMPOSSIBLE_STATUS = 422
FAILED_STATUS = 500

ITEM_TIMEOUTS = ResponseTimeouts(first_byte_s=2.0, gap_s=1.0)
"""How long an endpoint may send nothing. An item may be queued after a misjudged load, and no
caller waits for its next event."""

MAX_OUTPUT_BYTES = 1_000_000
"""Size of a page of results, so a longer output could not be read."""


class ItemEnd(Enum):
    """How one run of an item ended."""

    COMPLETED = "whole"
    IMPOSSIBLE = "impossible"
    FAILED = "failed"
    """The endpoint ran the item and failed."""
    STOPPED = "stopped"
    """Interrupted, refused or cancelled; the output so far is kept."""
    YIELDED = "yielded"
    """Cancelled for an online request; the output so far is kept."""


@dataclass
class ItemProgress:
    """Output of an item so far, kept from one run to the next."""

    pieces: list[str] = field(default_factory=list)
    last_event: str = ""
    failures: int = 0
    runs: int = 0
    spent_s: float = 0.0
    """Total time of all runs at endpoints."""
    accepts: bool = True
    """Whether the answer in progress is a successful stream of events."""
    output_bytes: int = 0
    """Size of the output, counted from the start of a run on."""
    on_too_long: Callable[[], None] = field(default=lambda: None)

    def begin(self, status: int, reason: bytes, headers: RawHeaders, length: int | None) -> None:
        """Accept the body of a successful stream of events only."""
        types = [value for name, value in headers if name.lower() == b"content-type"]
        self.accepts = status == 200 and is_event_stream(b"".join(types).decode("latin-1"))

    def send(self, data: bytes) -> None:
        """Append the data of complete events."""
        if not self.accepts:
            return
        new = event_data(data)
        self.pieces.extend(new)
        self.output_bytes += sum(map(len, new)) + len(new)
        self.last_event = last_event_id(data) or self.last_event
        if self.too_long:
            self.on_too_long()

    async def drain(self) -> None:
        """Return at once, since output is only kept in memory."""

    @property
    def too_long(self) -> bool:
        """Whether the output is larger than a result may be."""
        return self.output_bytes > MAX_OUTPUT_BYTES

    def restart(self) -> None:
        """Drop the output, so that the next run begins anew."""
        self.pieces, self.last_event = [], ""

    @property
    def output(self) -> str:
        """Return the data of all events."""
        return "\n".join(self.pieces)


class ItemRun:
    """One run of an item at one endpoint."""

    def __init__(
        self,
        context: ForwardContext,
        route: Route,
        service: ServiceName,
        item: JobItem,
        entry: RegisteredEndpoint,
        progress: ItemProgress,
        left_s: float,
        *,
        is_trial: bool = False,
        customer: CustomerName | None = None,
        has_customers: bool = False,
    ) -> None:
        now = context.loop.now()
        self.item = item
        self.entry = entry
        self.progress = progress
        self.started_s = now
        self.cancelled_as: ItemEnd | None = None
        """How a cancelled run ends unless it completes first."""
        self.due_s = now + left_s
        """Deadline of the item's job; monotonic."""
        self.job_route = route.name
        """The route that took the job."""
        self.is_trial = is_trial
        """Whether its parts are in quarantine."""
        request = ForwardedRequest(
            request=RequestId(item.item),
            route=replace(route, resumable=True),
            service=service,
            method="POST",
            target=item.path,
            headers=_headers(context, route, item, customer, has_customers),
            body=item.body,
            received_s=now,
            deadline_s=now + left_s,
            prompt=item_prompt(context, item),
            customer=customer,
        )
        self.attempt = ForwardAttempt(
            context,
            request,
            entry,
            progress,
            ITEM_TIMEOUTS,
            headers_sent=bool(progress.last_event),
            last_event=progress.last_event,
            batch=True,
            new_connection=is_trial,
        )
        progress.output_bytes = sum(map(len, progress.pieces)) + len(progress.pieces)
        progress.on_too_long = self._end_too_long
        self.attempt.reserve()

    async def run(self) -> tuple[ItemEnd, str]:
        """Run to the end; return how the run ended and the reason."""
        self.progress.runs += 1
        failure = await self.attempt.run()
        self.progress.spent_s += self.attempt.context.loop.now() - self.started_s
        status = self.attempt.status
        if self.progress.too_long:
            self.progress.restart()
            return ItemEnd.STOPPED, "the output was too long, and is dropped"
        if status == IMPOSSIBLE_STATUS:
            return ItemEnd.IMPOSSIBLE, "the endpoint reported the item as impossible"
        if status == FAILED_STATUS:
            self.progress.failures += 1
            return ItemEnd.FAILED, "the endpoint failed"
        if failure is not None:
            return self.cancelled_as or ItemEnd.STOPPED, failure.message
        if status != 200:
            return ItemEnd.STOPPED, f"answered with status {status}"
        if not self.progress.accepts:
            return ItemEnd.STOPPED, "answered with something else than events"
        return ItemEnd.COMPLETED, ""

    def fields(self) -> dict[str, object]:
        """Return the log fields of a run that has ended."""
        return {
            "request": self.item.item,
            "endpoint": self.entry.endpoint,
            "run": self.progress.runs,
            "failures": self.progress.failures,
            "last_event": self.progress.last_event,
            "took_s": round(self.attempt.context.loop.now() - self.started_s, 3),
        }

    @property
    def is_undecided_trial(self) -> bool:
        """Return whether its answer may still crash the endpoint; preempted, it tells nothing."""
        began_s = self.attempt.running.began_s
        now = self.attempt.context.loop.now()
        return self.is_trial and (began_s is None or now - began_s < RECENT_S)

    def _end_too_long(self) -> None:
        if self.attempt.exchange is not None:
            self.attempt.exchange.fail_invalid(f"an output of more than {MAX_OUTPUT_BYTES} bytes")

    def cancel(self, end: ItemEnd) -> None:
        """Cancel the run and free its slot; the output so far is kept."""
        self.cancelled_as = end
        self.attempt.cancel()


def _headers(
    context: ForwardContext,
    route: Route,
    item: JobItem,
    customer: CustomerName | None,
    has_customers: bool,
) -> Headers:
    own = {"host", context.names.request}
    lines = [(b"Host", route.host.encode()), (context.names.request.encode(), item.item.encode())]
    lines += [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in item.headers.items()
        if name.lower() not in own
    ]
    return name_customer(lines, context.names, customer) if has_customers else lines


def item_prompt(context: ForwardContext, item: JobItem) -> Prompt:
    """Return the parts of an item's prompt that other requests may share."""
    named = {name.lower(): value for name, value in item.headers.items()}
    return context.shared_parts(named.get(context.names.prefix, ""))
