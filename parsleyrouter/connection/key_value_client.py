"""Base of the key-value clients: call budget, metrics and failure handling."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from parsleyrouter.connection.call_budget import BudgetRefusal, BudgetSettings, CallBudget
from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.connection.key_value import KeyValueFailure, KeyValueFailureKind
from parsleyrouter.connection.key_value_metrics import KeyValueMetrics
from parsleyrouter.connection.service_contact import SendWindow, ServiceContact
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime

__all__ = ["CALL_TIMEOUT_S", "KeyValueClient", "failure_of_reply"]

CALL_TIMEOUT_S = 2.0
"""Maximum wait for a reply; a healthy service replies within milliseconds."""

TOO_MANY_REQUESTS_STATUS = 429
SERVER_ERROR_STATUS = 500
WRITE_KINDS = frozenset({"swap", "delete", "grant", "revoke", "transact"})
URGENT_KINDS = frozenset({"changes", "renew"})
"""Few calls, on which the age of state depends: a process has one of each in flight per prefix."""

log = logging.getLogger(__name__)


class KeyValueClient:
    """Make calls within the call budget of this process.

    ``not_applied_statuses`` are the HTTP statuses that guarantee that nothing was applied.
    """

    not_applied_statuses: frozenset[int] = frozenset()

    def __init__(
        self,
        runtime: Runtime,
        address: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        budget: BudgetSettings | None = None,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.address = Address(address)
        self.timeout_s = timeout_s
        self.budget = CallBudget(budget)
        self.metrics = KeyValueMetrics.of(runtime.metrics)
        self.call_counts: Counter[str] = Counter()
        """Calls by kind since the process started."""
        self.failing = False
        """Whether the latest call got no reply, or one that reports a failed service."""
        self.contact = ServiceContact()
        self.budget_waits_s: dict[str, float] = {}
        """How long the latest call of each kind waited for the call budget."""
        self.on_failure: list[Callable[[], object]] = []
        """Callbacks that run after each such call."""
        self.on_lost: list[Callable[[SendWindow], object]] = []
        """Callbacks that get when calls were sent that will probably never be answered."""

    async def wait_for_budget(self, kind: str) -> KeyValueFailure | None:
        """Wait until the budget allows the call, then count it."""
        reservation = self.budget.reserve(self.loop.now(), urgent=kind in URGENT_KINDS)
        if isinstance(reservation, BudgetRefusal):
            return self.count_failure(kind, _BUDGET_FAILURES[reservation])
        self.budget_waits_s[kind] = reservation
        if reservation > 0:
            await self.loop.sleep(reservation)
        self.call_counts[kind] += 1
        self.metrics.calls.labels(kind).inc()
        return None

    async def call(
        self, kind: str, path: str, request: dict[str, Any]
    ) -> dict[str, Any] | KeyValueFailure:
        """POST one call and return the reply's JSON object."""
        reply = await self.exchange(kind, "POST", path, msgspec.json.encode(request))
        if isinstance(reply, KeyValueFailure):
            return reply
        outcome = _decode_object(reply, kind)
        if isinstance(outcome, KeyValueFailure):
            return self.handle_failure(kind, outcome)
        return outcome

    async def exchange(
        self, kind: str, method: str, target: str, body: bytes = b"", *, wait_s: float = 0.0
    ) -> HttpReply | KeyValueFailure:
        """Make one call and return the reply unless it reports that the service failed.

        ``wait_s`` is how long the service may hold a long poll.
        """
        refused = await self.wait_for_budget(kind)
        if refused is not None:
            return refused
        started_s = self.loop.now()
        reply = await self.runtime.http.request(
            self.address,
            method,
            target,
            headers={"content-type": "application/json"},
            body=body,
            timeout_s=self.timeout_s + wait_s,
        )
        failure = failure_of_reply(reply, kind, self.not_applied_statuses)
        timed_out = failure is not None and failure.kind is KeyValueFailureKind.TIMEOUT
        if failure is not None and timed_out and self.contact.is_outdated(started_s):
            # Neither starts a back-off nor defers anything: the service has answered since.
            self._report_lost(SendWindow(started_s - self.timeout_s, started_s + self.timeout_s))
            return self.count_failure(kind, failure)
        if failure is not None:
            return self.handle_failure(kind, failure)
        assert isinstance(reply, HttpReply)
        self._record_answer(kind, started_s)
        if not wait_s:
            self.metrics.seconds.observe(self.loop.now() - started_s)
        return reply

    def handle_failure(self, kind: str, failure: KeyValueFailure) -> KeyValueFailure:
        """Count a failure; back off unless the service refused the call."""
        if failure.kind is KeyValueFailureKind.REFUSED:
            self.budget.record_success(self.loop.now())
        else:
            self.budget.record_failure(self.loop.now())
            self.contact.record_failure(self.loop.now())
            self.failing = True
            for callback in self.on_failure:
                callback()
        return self.count_failure(kind, failure)

    def _record_answer(self, kind: str, sent_s: float) -> None:
        now = self.loop.now()
        silent_s = now - self.contact.answered_s
        self.budget.record_success(now)
        self.failing = False
        lost = self.contact.record_answer(sent_s, now)
        if lost is not None:
            fields = {"kind": kind, "silent_s": round(silent_s, 3)}
            log.warning("key-value service answers again", extra=fields)
            self._report_lost(lost)

    def _report_lost(self, window: SendWindow) -> None:
        for callback in self.on_lost:
            callback(window)

    def count_failure(self, kind: str, failure: KeyValueFailure) -> KeyValueFailure:
        """Count a failure and return it."""
        self.metrics.failures.labels(kind, failure.kind.value).inc()
        return failure


_BUDGET_FAILURES = {
    BudgetRefusal.OVER_BUDGET: KeyValueFailure(
        KeyValueFailureKind.OVER_BUDGET, "call budget used up; make fewer calls or raise it"
    ),
    BudgetRefusal.BACKING_OFF: KeyValueFailure(
        KeyValueFailureKind.UNAVAILABLE, "key-value service does not respond; try again later"
    ),
}


def failure_of_reply(
    reply: HttpReply | TransportFailure,
    kind: str,
    not_applied_statuses: frozenset[int] = frozenset(),
) -> KeyValueFailure | None:
    """Return the service failure that a reply indicates, if any."""
    writes = kind in WRITE_KINDS
    if isinstance(reply, TransportFailure):
        if reply.sent is Sent.NOTHING:
            return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, reply.message)
        return KeyValueFailure(KeyValueFailureKind.TIMEOUT, reply.message, maybe_applied=writes)
    if reply.status == TOO_MANY_REQUESTS_STATUS:
        return KeyValueFailure(KeyValueFailureKind.OVER_BUDGET, "key-value service is overloaded")
    if reply.status >= SERVER_ERROR_STATUS:
        message = f"key-value service failed with status {reply.status}; try again later"
        maybe_applied = writes and reply.status not in not_applied_statuses
        return KeyValueFailure(
            KeyValueFailureKind.UNAVAILABLE, message, maybe_applied=maybe_applied
        )
    return None


def _decode_object(reply: HttpReply, kind: str) -> dict[str, Any] | KeyValueFailure:
    try:
        body: Any = decode_json(reply.body.split(b"\n", 1)[0], dict)
    except InvalidData:
        body = None
    if not isinstance(body, dict):
        message = f"key-value service sent no JSON object with status {reply.status}"
        return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, message, kind in WRITE_KINDS)
    if reply.status != 200:
        return KeyValueFailure(KeyValueFailureKind.REFUSED, str(body.get("error", reply.status)))
    return body
