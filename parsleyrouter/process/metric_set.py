"""Groups of metrics that several components of a process share."""

from typing import ClassVar, Self
from weakref import WeakKeyDictionary

from prometheus_client import CollectorRegistry

__all__ = ["MetricSet"]


class MetricSet:
    """A group of metrics, created once per registry; subclasses create them in ``__init__``."""

    made: ClassVar["WeakKeyDictionary[CollectorRegistry, dict[type, MetricSet]]"] = (
        WeakKeyDictionary()
    )

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics; callers use ``of`` instead."""

    @classmethod
    def of(cls, registry: CollectorRegistry) -> Self:
        """Return the metrics of a registry, created on first use."""
        sets = MetricSet.made.setdefault(registry, {})
        found = sets.get(cls)
        if not isinstance(found, cls):
            found = sets[cls] = cls(registry)
        return found
