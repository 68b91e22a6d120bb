"""Metrics that several parts of a process share."""

from typing import ClassVar, Self
from weakref import WeakKeyDictionary

from prometheus_client import CollectorRegistry

__all__ = ["MetricSet"]


class MetricSet:
    """Register a group of metrics once for each registry; subclasses make them in ``__init__``."""

    made: ClassVar["WeakKeyDictionary[CollectorRegistry, dict[type, MetricSet]]"] = (
        WeakKeyDictionary()
    )

    def __init__(self, registry: CollectorRegistry) -> None:
        """Make the metrics; call ``of`` instead."""

    @classmethod
    def of(cls, registry: CollectorRegistry) -> Self:
        """Return the metrics of a registry, made once."""
        sets = MetricSet.made.setdefault(registry, {})
        found = sets.get(cls)
        if not isinstance(found, cls):
            found = sets[cls] = cls(registry)
        return found
