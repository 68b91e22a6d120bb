"""Authenticate operators by their bearer keys."""

import hmac
from collections.abc import Mapping
from dataclasses import dataclass

from parsleyrouter.connection.authentication import bearer_key, hash_key
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.version.schema import OperatorRole

__all__ = ["Operator", "Operators"]

BOOTSTRAP_NAME = "bootstrap"


@dataclass(frozen=True)
class Operator:
    """An operator who has presented a valid key."""

    name: str
    role: OperatorRole


class Operators:
    """Look up operators in the active settings.

    The bootstrap key is valid only while no operator with the role ``write`` is configured.
    """

    def __init__(self, view: FleetView, bootstrap_sha256: str = "") -> None:
        self.view = view
        self.bootstrap_sha256 = bootstrap_sha256

    def find(self, headers: Mapping[str, str], needed: OperatorRole) -> Operator | Refusal:
        """Return the operator who sent a request, or why the needed role is refused."""
        key = bearer_key(headers)
        operator = self._find_by_hash(hash_key(key)) if key is not None else None
        if operator is None:
            return _UNKNOWN_KEY
        if needed is OperatorRole.WRITE and operator.role is not OperatorRole.WRITE:
            message = f"operator {operator.name} may only read: use a key with the role write"
            return Refusal(RefusalKind.FORBIDDEN, message, ExecutionStatus.NOT_RUN)
        return operator

    def _find_by_hash(self, digest: str) -> Operator | None:
        known = self.view.settings().fleet.operators
        found = None
        for name, operator in known.items():
            if hmac.compare_digest(operator.sha256, digest):
                found = Operator(name, operator.role)
        writers = any(operator.role is OperatorRole.WRITE for operator in known.values())
        if found is not None or writers or not self.bootstrap_sha256:
            return found
        if not hmac.compare_digest(self.bootstrap_sha256, digest):
            return None
        return Operator(BOOTSTRAP_NAME, OperatorRole.WRITE)


_UNKNOWN_KEY = Refusal(
    RefusalKind.UNAUTHENTICATED,
    "unknown or missing operator's key: send 'Authorization: Bearer <key>'",
    ExecutionStatus.NOT_RUN,
)
