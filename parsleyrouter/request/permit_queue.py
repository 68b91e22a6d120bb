"""Tell callers that are refused for the limits of endpoints when a permit is expected for them.

Permits accrue one by one. Callers that are all told the time of the next one would come at once,
and all but one would be refused again. Each is told a time of its own.
"""

from dataclasses import dataclass, field

from parsleyrouter.ids import ServiceName

__all__ = ["PermitQueue"]


@dataclass
class PermitQueue:
    """The latest time that a refused caller was told, by service; monotonic seconds."""

    told_s: dict[ServiceName, float] = field(default_factory=dict)

    def retry_after_s(
        self, service: ServiceName, *, wait_s: float, per_s: float, left_s: float, now: float
    ) -> float:
        """Return the delay until the next permit that no earlier refused caller was told.

        The next permit accrues in ``wait_s``, and ``per_s`` of them a second for this node's
        callers. A caller that has only ``left_s`` left is told that time and takes no place.
        """
        next_s = max(now + wait_s, self.told_s.get(service, 0.0) + 1 / per_s)
        if next_s >= now + left_s:
            return left_s
        self.told_s[service] = next_s
        return next_s - now
