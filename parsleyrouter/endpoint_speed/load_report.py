"""Parse the load that an endpoint reports in the head of an answer."""

from dataclasses import dataclass

from parsleyrouter.decoding import parse_count

__all__ = ["LoadReport", "parse_load_report"]

USUAL_PERCENT = 100
MAX_REQUESTS = 100_000
"""Largest number of requests at an endpoint that a report may name."""

MAX_PERCENT = 100_000
"""Largest duration of work, in percent of the usual one, that a report may name."""


@dataclass(frozen=True)
class LoadReport:
    """What an endpoint says of itself; a field that is missing or invalid is ``None``."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowness: float | None = None
    """How long work takes on its machine now, as a multiple of the usual time there."""

    @property
    def requests(self) -> int | None:
        """Return the number of requests at the endpoint, ``None`` if it is not known."""
        if self.running is None or self.waiting is None:
            return None
        return self.running + self.waiting


def parse_load_report(text: str) -> LoadReport:
    """Parse running, waiting, slots and percent of the usual duration, separated by commas.

    Further figures are ignored, and so is each field that is no number of a possible size. A report
    of fewer than three figures tells nothing.
    """
    parts = text.split(",")
    if len(parts) < 3:
        return LoadReport()
    running, waiting, slots = (_count(part, MAX_REQUESTS) for part in parts[:3])
    percent = _count(parts[3], MAX_PERCENT) if len(parts) > 3 else None
    slowness = percent / USUAL_PERCENT if percent else None
    return LoadReport(running, waiting, slots, slowness)


def _count(text: str, most: int) -> int | None:
    value = parse_count(text.strip())
    return value if value is not None and value <= most else None
