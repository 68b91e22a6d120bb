"""Authenticate callers by their bearer key."""

import hashlib
import hmac
from collections.abc import Mapping

from parsleyrouter.ids import TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = ["Authentication", "bearer_key", "hash_key"]

MAX_KEY_BYTES = 512
BUCKET_PREFIX_CHARS = 4

_UNAUTHENTICATED = Refusal(
    RefusalKind.UNAUTHENTICATED,
    "unknown or missing key: send 'Authorization: Bearer <key>' with a key of the team",
    ExecutionStatus.NOT_RUN,
)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key as stored in the settings."""
    return hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()


def bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the bearer key of a request."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return key


class Authentication:
    """Look keys up in the current settings.

    Hashes are bucketed by their first hex digits, which a caller cannot control, and compared in
    constant time within a bucket.
    """

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.snapshot: SettingsSnapshot | None = None
        self.buckets: dict[str, list[tuple[str, TeamName]]] = {}

    def team(self, headers: Mapping[str, str]) -> TeamName | Refusal:
        """Return the team of a request's key."""
        key = bearer_key(headers)
        if key is None:
            return _UNAUTHENTICATED
        self._refresh()
        digest = hash_key(key)
        found: TeamName | None = None
        for known, team in self.buckets.get(digest[:BUCKET_PREFIX_CHARS], ()):
            if hmac.compare_digest(known, digest):
                found = team
        return found or _UNAUTHENTICATED

    def _refresh(self) -> None:
        snapshot = self.view.settings()
        if snapshot is self.snapshot:
            return
        self.snapshot = snapshot
        self.buckets = {}
        for name in sorted(snapshot.teams):
            for key in snapshot.teams[name].keys.values():
                bucket = self.buckets.setdefault(key.sha256[:BUCKET_PREFIX_CHARS], [])
                bucket.append((key.sha256, name))
