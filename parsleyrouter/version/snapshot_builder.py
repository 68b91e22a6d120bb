"""Build settings snapshots from records, decoding each record once."""

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
    """Cache decoded subtrees; the previous version of one that cannot be read stays active."""

    def __init__(self) -> None:
        self.read_revisions: dict[str, Revision] = {}
        self.fleet = FleetSettings()
        self.teams: dict[TeamName, TeamSettings] = {}
        self.unreadable: set[str] = set()

    def build(self, records: Iterable[StoredRecord], proved_current: bool) -> SettingsSnapshot:
        """Return the snapshot of all given records."""
        head = Revision(0)
        for record in records:
            head = max(head, record.revision)
            if self.read_revisions.get(record.subtree) != record.revision:
                self.read_revisions[record.subtree] = record.revision
                self._read_record(record)
        return SettingsSnapshot(head, self.fleet, dict(self.teams), proved_current)

    def _read_record(self, record: StoredRecord) -> None:
        try:
            value = decode_record(record.data).value
            self._apply(record.subtree, value)
            self.unreadable.discard(record.subtree)
        except (InvalidRecord, ValidationError) as error:
            self.unreadable.add(record.subtree)
            log.error(
                "settings record cannot be read: update this VM to the newest version",
                extra={"subtree": record.subtree, "error": str(error)},
            )

    def _apply(self, subtree: str, value: object) -> None:
        team = TeamName(subtree.rpartition("/")[2])
        if subtree != FLEET and value is None:
            self.teams.pop(team, None)
            return
        settings = schema_of(subtree).model_validate(value or {})
        if isinstance(settings, FleetSettings):
            self.fleet = settings
        else:
            self.teams[team] = settings
