"""Build the settings in force from records, reading each record once."""

import logging
from collections.abc import Iterable

from pydantic import ValidationError

from parsleyrouter.ids import Revision, TeamName
from parsleyrouter.version.paths import FLEET
from parsleyrouter.version.records import InvalidRecord, decode_record
from parsleyrouter.version.replica import StoredRecord
from parsleyrouter.version.schema import FleetSettings, TeamSettings
from parsleyrouter.version.snapshot import SettingsSnapshot
from parsleyrouter.version.validation import schema_of

__all__ = ["SnapshotBuilder"]

log = logging.getLogger(__name__)


class SnapshotBuilder:
    """Keep the decoded subtrees; one that cannot be read leaves the version before in force."""

    def __init__(self) -> None:
        self.read_at: dict[str, Revision] = {}
        self.fleet = FleetSettings()
        self.teams: dict[TeamName, TeamSettings] = {}
        self.unreadable: set[str] = set()

    def build(self, records: Iterable[StoredRecord], proved_current: bool) -> SettingsSnapshot:
        """Return the snapshot of all records held."""
        head = Revision(0)
        for record in records:
            head = max(head, record.revision)
            if self.read_at.get(record.subtree) != record.revision:
                self.read_at[record.subtree] = record.revision
                self._read(record)
        return SettingsSnapshot(head, self.fleet, dict(self.teams), proved_current)

    def _read(self, record: StoredRecord) -> None:
        try:
            value = decode_record(record.data).value
            self._put(record.subtree, value)
            self.unreadable.discard(record.subtree)
        except (InvalidRecord, ValidationError) as error:
            self.unreadable.add(record.subtree)
            log.error(
                "settings record not understood: bring this VM to the newest version",
                extra={"subtree": record.subtree, "error": str(error)},
            )

    def _put(self, subtree: str, value: object) -> None:
        team = TeamName(subtree.rpartition("/")[2])
        if subtree != FLEET and value is None:
            self.teams.pop(team, None)
            return
        settings = schema_of(subtree).model_validate(value or {})
        if isinstance(settings, FleetSettings):
            self.fleet = settings
        else:
            self.teams[team] = settings
