"""What a check of a configuration finds."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Finding", "Severity"]


class Severity(Enum):
    """How much a finding matters."""

    ERROR = "error"
    """The configuration is refused, or part of it does not work."""
    WARNING = "warning"
    """The configuration works, but part of it has no effect or contradicts another."""


@dataclass(frozen=True)
class Finding:
    """One finding; ``place`` names the entry, and no text holds a key."""

    severity: Severity
    check: str
    place: str
    problem: str
    remedy: str
