"""Intervals of load reports; in seconds."""

__all__ = [
    "ACTIVE_DEBOUNCE_S",
    "AGGREGATE_INTERVAL_S",
    "DEBOUNCE_S",
    "FIRST_REPORTS",
    "FIRST_REPORTS_INTERVAL_S",
    "HEARTBEAT_INTERVAL_S",
    "LEADER_CHECK_INTERVAL_S",
    "LIMITED_DEBOUNCE_S",
    "STANDBY_AGGREGATE_INTERVAL_S",
    "STANDBY_DEBOUNCE_S",
    "STANDBY_RELAY_INTERVAL_S",
]

HEARTBEAT_INTERVAL_S = 0.5

FIRST_REPORTS = 6
FIRST_REPORTS_INTERVAL_S = 0.15
"""Number and interval of the reports at the start, by which nodes learn of each other."""

DEBOUNCE_S = 0.015
"""Debounce time for load changes; well below the time to an engine's first token."""

ACTIVE_DEBOUNCE_S = 0.02
"""The same among the active nodes of a large fleet, which are in several failure domains."""

STANDBY_DEBOUNCE_S = 0.1
"""Debounce time on standby, where a report only reaches the others with the next aggregate."""

LIMITED_DEBOUNCE_S = 0.0
"""Debounce time for requests to limited endpoints: until the others hear of one, they may use the
same permit."""

AGGREGATE_INTERVAL_S = 0.1
"""Interval between aggregates of a cell: a fifth of the time that a request takes."""

STANDBY_AGGREGATE_INTERVAL_S = 0.25
STANDBY_RELAY_INTERVAL_S = 0.35
"""Shortest intervals at which the leaders of cells on standby, and from them the other nodes, get
the loads of the active ones: few callers reach them."""

LEADER_CHECK_INTERVAL_S = 0.5
"""Interval at which a node that does not lead its cell checks whether it does."""
