"""The route table in force; it never goes back to an older version."""

import logging
from collections.abc import Callable

from parsleyrouter.version.route_table import RouteTable

__all__ = ["ActiveRoutes"]

log = logging.getLogger(__name__)


class ActiveRoutes:
    """Hold the newest table that this process has seen."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.on_change: list[Callable[[RouteTable], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 when none is."""
        return self.table.version if self.table is not None else 0

    def activate(self, table: RouteTable, source: str) -> bool:
        """Put a table into force if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        former, self.table = self.version, table
        fields = {"version": table.version, "former": former, "routes": len(table.routes)}
        log.info("routes in force", extra=fields | {"source": source})
        for callback in self.on_change:
            callback(table)
        return True
