"""Snapshot of the operators' settings that are active in one process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import Revision, TeamName
from parsleyrouter.version.schema import FleetSettings, TeamSettings

__all__ = ["SettingsSnapshot"]


@dataclass(frozen=True)
class SettingsSnapshot:
    """All subtrees at the newest revision known to this process.

    ``proved_current`` is false while the process cannot prove that no newer change was accepted.
    """

    revision: Revision = Revision(0)
    fleet: FleetSettings = field(default_factory=FleetSettings)
    teams: Mapping[TeamName, TeamSettings] = field(default_factory=dict)
    proved_current: bool = False
