"""The active route table; its version never decreases."""

import logging
from collections.abc import Callable

from parsleyrouter.version.route_table import RouteTable

__all__ = ["ActiveRoutes"]

log = logging.getLogger(__name__)


class ActiveRoutes:
    """Hold the newest route table that this process has received."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.on_change: list[Callable[[RouteTable], None]] = []

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none."""
        return self.table.version if self.table is not None else 0

    def activate(self, table: RouteTable, source: str) -> bool:
        """Activate a table if it is newer than the active one; return whether it was."""
        if table.version <= self.version:
            return False
        previous, self.table = self.version, table
        fields = {"version": table.version, "former": previous, "routes": len(table.routes)}
        log.info("routes in force", extra=fields | {"source": source})
        for callback in self.on_change:
            callback(table)
        return True
