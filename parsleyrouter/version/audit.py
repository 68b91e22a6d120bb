"""Plan a change of one subtree: its new record, and the audit entry to write first."""

from dataclasses import dataclass
from typing import Any

from parsleyrouter.version.paths import SettingsPath, audit_key, get_at, set_at, unset_at
from parsleyrouter.version.records import Change, SubtreeRecord, encode

__all__ = ["UNSET", "Author", "AuditEntry", "PathNotSet", "plan_change"]


class _Unset:
    """Sentinel for a change that removes the value at a path."""

    def __repr__(self) -> str:
        return "UNSET"


UNSET = _Unset()


class PathNotSet(KeyError):
    """Report the removal of a path that is not set."""


@dataclass(frozen=True)
class Author:
    """Who changes settings, from where and when; ``when_s`` is in seconds since 1970."""

    who: str
    source: str
    when_s: float


@dataclass(frozen=True)
class AuditEntry:
    """A change to write to the audit trail before the record that holds it is overwritten."""

    key: str
    data: bytes


def plan_change(
    current: SubtreeRecord | None, path: SettingsPath, new: Any, author: Author, nonce: str
) -> tuple[SubtreeRecord, AuditEntry | None]:
    """Return the next record and the audit entry of the previous change, if there is one.

    Raises an error for the removal of a path that is not set.
    """
    value = current.value if current is not None else None
    was = _value_at(value, path)
    if new is not UNSET:
        value = set_at(value, path.segments, new)
    elif was is None:
        raise PathNotSet(str(path))
    else:
        value = unset_at(value, path.segments) if path.segments else None
    version = current.version + 1 if current is not None else 1
    change = Change(
        who=author.who,
        when_s=author.when_s,
        source=author.source,
        path=str(path),
        was=was,
        now=None if new is UNSET else new,
        version=version,
        nonce=nonce,
    )
    return SubtreeRecord(value, version, change), _audit_entry(current, path.subtree)


def _value_at(value: Any, path: SettingsPath) -> Any:
    try:
        return get_at(value, path.segments)
    except KeyError:
        return None


def _audit_entry(current: SubtreeRecord | None, subtree: str) -> AuditEntry | None:
    if current is None:
        return None
    return AuditEntry(audit_key(subtree, current.version), encode(current.change))
