"""What a connection to an endpoint has carried: requests, refusals and skipped responses."""

import itertools
from collections import deque
from dataclasses import dataclass, field

from parsleyrouter.ids import RequestId

__all__ = ["ConnectionHistory"]

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
    refused: deque[RequestId] = field(default_factory=_latest)
    skipped: deque[RequestId] = field(default_factory=_latest)

    def log_fields(self, now: float) -> dict[str, object]:
        """Return what the log tells of the connection; ``refused`` and ``skipped`` hold ids."""
        return {
            "connection": self.number,
            "connection_age_s": round(now - self.opened_s, 3),
            "connection_requests": self.requests,
            "refused": list(self.refused),
            "skipped": list(self.skipped),
        }
