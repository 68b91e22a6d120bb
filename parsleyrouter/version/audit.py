"""Plan a change of one subtree: its new record and what the audit trail must keep first."""

from dataclasses import dataclass
from typing import Any

from parsleyrouter.version.paths import SettingsPath, audit_key, get_at, set_at, unset_at
from parsleyrouter.version.records import Change, SubtreeRecord, encode

__all__ = ["UNSET", "Author", "AuditEntry", "PathNotSet", "plan_change"]


class _Unset:
    """Mark a change that removes what stands at a path."""

    def __repr__(self) -> str:
        return "UNSET"


UNSET = _Unset()


class PathNotSet(KeyError):
    """Report a removal of what is not set."""


@dataclass(frozen=True)
class Author:
    """Who changes settings and from where; ``when_s`` is in seconds since 1970."""

    who: str
    source: str
    when_s: float


@dataclass(frozen=True)
class AuditEntry:
    """A change to be kept in the audit trail before its record may be overwritten."""

    key: str
    data: bytes


def plan_change(
    current: SubtreeRecord | None, path: SettingsPath, new: Any, author: Author, nonce: str
) -> tuple[SubtreeRecord, AuditEntry | None]:
    """Return the next record and the copy of the change before; raise ``NothingThere``."""
    value = current.value if current is not None else None
    was = _standing(value, path)
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
    return SubtreeRecord(value, version, change), _copy(current, path.subtree)


def _standing(value: Any, path: SettingsPath) -> Any:
    try:
        return get_at(value, path.segments)
    except KeyError:
        return None


def _copy(current: SubtreeRecord | None, subtree: str) -> AuditEntry | None:
    if current is None:
        return None
    return AuditEntry(audit_key(subtree, current.version), encode(current.change))
