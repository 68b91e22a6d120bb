"""Paths of the operators' settings, and the keys under which subtrees are stored."""

import difflib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from parsleyrouter.version.schema import NAME_PATTERN

__all__ = [
    "AUDIT_PREFIX",
    "FLEET",
    "SETTINGS_PREFIX",
    "InvalidPath",
    "SettingsPath",
    "audit_key",
    "get_at",
    "closest_match",
    "parse_path",
    "set_at",
    "settings_key",
    "subtree_of_key",
    "unset_at",
]

SETTINGS_PREFIX = "/parsley/settings/"
AUDIT_PREFIX = "/parsley/audit/"
FLEET = "fleet"
TEAMS = "teams"


class InvalidPath(ValueError):
    """Report an invalid path; the message says how to correct it."""


@dataclass(frozen=True)
class SettingsPath:
    """A path within one subtree; without segments it is the whole subtree."""

    subtree: str
    segments: tuple[str, ...] = ()

    def __str__(self) -> str:
        return "/" + "/".join((self.subtree, *self.segments))


def parse_path(text: str) -> SettingsPath:
    """Parse ``/fleet/...`` or ``/teams/<team>/...``; raise ``BadPath`` for any other."""
    segments = [segment for segment in text.strip().split("/") if segment]
    if not segments:
        raise InvalidPath("the path is empty: use /fleet/... or /teams/<team>/...")
    root, rest = segments[0], segments[1:]
    if root == FLEET:
        return SettingsPath(FLEET, tuple(rest))
    if root != TEAMS:
        raise InvalidPath(
            f"/{root} is unknown: did you mean /{closest_match(root, (FLEET, TEAMS))}?"
        )
    if not rest:
        raise InvalidPath("/teams names no team: use /teams/<team>/...")
    if not re.match(NAME_PATTERN, rest[0]):
        raise InvalidPath(f"{rest[0]!r} is no team name: use letters, digits, '.', '_' and '-'")
    return SettingsPath(f"{TEAMS}/{rest[0]}", tuple(rest[1:]))


def settings_key(subtree: str) -> str:
    """Return the key of a subtree's record."""
    return SETTINGS_PREFIX + subtree


def subtree_of_key(key: str) -> str | None:
    """Return the subtree stored under a key, ``None`` for other keys."""
    subtree = key.removeprefix(SETTINGS_PREFIX)
    known = subtree == FLEET or (subtree.startswith(TEAMS + "/") and subtree.count("/") == 1)
    return subtree if known and subtree != key else None


def audit_key(subtree: str, version: int) -> str:
    """Return the key of the audit entry for one version of a subtree."""
    return f"{AUDIT_PREFIX}{subtree}/{version:010d}"


def closest_match(word: str, known: Iterable[str]) -> str:
    """Return the known name most similar to a mistyped one."""
    names = sorted(known)
    close = difflib.get_close_matches(word, names, n=1, cutoff=0.0)
    return close[0] if close else ""


def get_at(value: Any, segments: Iterable[str]) -> Any:
    """Return the value at a path; raise ``KeyError`` if it is not set."""
    for segment in segments:
        if not isinstance(value, Mapping):
            raise KeyError(segment)
        value = value[segment]
    return value


def set_at(value: Any, segments: tuple[str, ...], new: Any) -> Any:
    """Return a copy with a path set; missing levels are created."""
    if not segments:
        return new
    copied = dict(value) if isinstance(value, Mapping) else {}
    copied[segments[0]] = set_at(copied.get(segments[0]), segments[1:], new)
    return copied


def unset_at(value: Any, segments: tuple[str, ...]) -> Any:
    """Return a copy without a path; raise ``KeyError`` if it is not set."""
    if not isinstance(value, Mapping):
        raise KeyError(segments[0])
    copied = dict(value)
    if len(segments) == 1:
        del copied[segments[0]]
    else:
        copied[segments[0]] = unset_at(copied[segments[0]], segments[1:])
    return copied
