"""What a connection to an endpoint has carried: requests, refusals and skipped responses."""

import itertools
from array import array
from collections import deque
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import RequestId

__all__ = ["MAX_REQUESTS", "ConnectionHistory"]

MAX_REQUESTS = 1024
"""Requests that a connection carries at most; bounds what is kept of their ids."""

MAX_NOTED_IDS = 8
"""Ids kept of the latest refusals, and of the latest skipped responses."""

_numbers = itertools.count(1)


def _latest() -> deque[RequestId]:
    return deque(maxlen=MAX_NOTED_IDS)


@dataclass
class ConnectionHistory:
    """History of one connection from its opening; times are monotonic seconds."""

    opened_s: float
    number: int = field(default_factory=lambda: next(_numbers))
    """Names the connection in the logs of its process."""
    requests: int = 0
    digests: "array[int]" = field(default_factory=lambda: array("Q"))
    """Digests of the ids of its requests."""
    refused: deque[RequestId] = field(default_factory=_latest)
    skipped: deque[RequestId] = field(default_factory=_latest)

    def note_request(self, request: RequestId) -> None:
        """Note a request that is about to be sent."""
        self.requests += 1
        if request:
            self.digests.append(xxh3_64_intdigest(request.encode()))

    def may_carry(self, request: RequestId) -> bool:
        """Return whether the id of a response would prove that it answers this request.

        An endpoint may write a response twice. On a connection that has carried the id before, a
        response with it may be a copy of an earlier one.
        """
        if self.requests >= MAX_REQUESTS:
            return False
        return not request or xxh3_64_intdigest(request.encode()) not in self.digests

    def log_fields(self, now: float) -> dict[str, object]:
        """Return what the log tells of the connection; ``refused`` and ``skipped`` hold ids."""
        return {
            "connection": self.number,
            "connection_age_s": round(now - self.opened_s, 3),
            "connection_requests": self.requests,
            "refused": list(self.refused),
            "skipped": list(self.skipped),
        }
