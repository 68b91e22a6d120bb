"""Faults of the stand-in key-value service, set by tests."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["CallFault", "CallKind", "KeyValueFaults"]


class CallKind(Enum):
    """Kinds of calls that the service counts."""

    GET = "get"
    SCAN = "scan"
    SWAP = "swap"
    DELETE = "delete"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"
    WATCH = "watch"


WRITES = frozenset({CallKind.SWAP, CallKind.DELETE, CallKind.GRANT, CallKind.REVOKE})


class CallFault(Enum):
    """Faults of one call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"


@dataclass
class KeyValueFaults:
    """Decide the fault of each call and count the calls.

    ``lose_before`` and ``lose_after`` are the numbers of next writes under ``lose_prefix`` that
    are lost before and after they take effect; ``script`` overrides all but an outage.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_before: int = 0
    lose_after: int = 0
    lose_prefix: str = ""
    script: Callable[[CallKind, str], CallFault] | None = None
    counts: Counter[CallKind] = field(default_factory=Counter)

    def next_fault(self, kind: CallKind, key: str = "") -> CallFault:
        """Count one call and return its fault."""
        self.counts[kind] += 1
        if self.outage:
            return CallFault.UNAVAILABLE
        if self.script is not None:
            return self.script(kind, key)
        if kind not in WRITES or not key.startswith(self.lose_prefix):
            return CallFault.NONE
        if self.lose_before > 0:
            self.lose_before -= 1
            return CallFault.LOST_BEFORE
        if self.lose_after > 0:
            self.lose_after -= 1
            return CallFault.LOST_AFTER
        return CallFault.NONE
