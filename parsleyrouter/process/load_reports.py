"""Estimate from engines' load reports, which lag, the slots used without own grants.

``LoadReportPoller`` polls ``/metrics`` of the engines that this node is home for.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from prometheus_client.parser import text_string_to_metric_families

from parsleyrouter.connection.http import HttpReply
from parsleyrouter.ids import Address, EndpointId
from parsleyrouter.process.runtime import Runtime

__all__ = ["ForeignLoadEstimator", "LoadReport", "LoadReportPoller", "parse_report"]

MAX_REPORT_AGE_S = 3.0
"""Reports older than this are ignored."""

CONFIRMING_REPORTS = 2
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
MAX_CONCURRENT_POLLS = 8

RUNNING_SUFFIX = "num_requests_running"
WAITING_SUFFIX = "num_requests_waiting"

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LoadReport:
    """Requests that an endpoint reports as running and as waiting in its own queue."""

    running: int
    waiting: int = 0


def parse_report(text: str) -> LoadReport | None:
    """Parse a report in the Prometheus text format; ``None`` if it has no load metrics."""
    totals: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for suffix in (RUNNING_SUFFIX, WAITING_SUFFIX):
            if family.name.endswith(suffix):
                totals[suffix] = sum(sample.value for sample in family.samples)
    if RUNNING_SUFFIX not in totals:
        return None
    return LoadReport(int(totals[RUNNING_SUFFIX]), int(totals.get(WAITING_SUFFIX, 0)))


@dataclass
class ForeignLoadEstimator:
    """Estimate how many requests at one endpoint run without a grant of this scheduler.

    A report is compared with the largest number of grants during the time in which it may have
    been made, and takes effect once the next report confirms it.
    """

    own_counts: deque[tuple[float, int]] = field(default_factory=deque)
    excess: deque[int] = field(default_factory=lambda: deque(maxlen=CONFIRMING_REPORTS))
    reported_s: float = 0.0

    def record_own(self, count: int, now: float) -> None:
        """Record the current number of grants."""
        self.own_counts.append((now, count))
        while self.own_counts[0][0] < now - MAX_REPORT_AGE_S:
            self.own_counts.popleft()

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report received now."""
        max_own = max((count for _, count in self.own_counts), default=0)
        self.excess.append(max(0, report.running + report.waiting - max_own))
        self.reported_s = now

    def foreign(self, now: float) -> int:
        """Return the number of slots to count as used by others."""
        if now - self.reported_s > MAX_REPORT_AGE_S or len(self.excess) < CONFIRMING_REPORTS:
            return 0
        return min(self.excess)


class LoadReportPoller:
    """Poll the endpoints that ``addresses`` returns and pass their reports to ``on_report``."""

    def __init__(
        self,
        runtime: Runtime,
        addresses: Callable[[], dict[EndpointId, Address]],
        on_report: Callable[[EndpointId, LoadReport], None],
        random: Random | None = None,
    ) -> None:
        self.loop = runtime.loop
        self.http = runtime.http
        self.addresses = addresses
        self.on_report = on_report
        self.random = random or Random()
        self.polling: set[EndpointId] = set()
        self.loop.spawn(self._poll_loop(), "load reports")

    async def _poll_loop(self) -> None:
        while True:
            await self.loop.sleep(POLL_INTERVAL_S * self.random.uniform(0.8, 1.2))
            for endpoint, address in self.addresses().items():
                if endpoint not in self.polling and len(self.polling) < MAX_CONCURRENT_POLLS:
                    self.loop.spawn(self._poll(endpoint, address), "poll load")

    async def _poll(self, endpoint: EndpointId, address: Address) -> None:
        self.polling.add(endpoint)
        try:
            reply = await self.http.request(address, "GET", "/metrics", timeout_s=POLL_TIMEOUT_S)
            if not isinstance(reply, HttpReply) or reply.status != 200:
                return
            report = parse_report(reply.body.decode("utf-8", "replace"))
            if report is not None:
                self.on_report(endpoint, report)
        except ValueError as error:
            log.warning("malformed load report", extra={"endpoint": endpoint, "error": str(error)})
        finally:
            self.polling.discard(endpoint)
