"""A write to the key-value service whose lost reply is found out."""

from parsleyrouter.connection.key_value import (
    Conflict,
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    Swapped,
)
from parsleyrouter.ids import Revision

__all__ = ["swap_checked"]

MAX_RETRIES = 3


async def swap_checked(
    key_value: KeyValue,
    key: str,
    value: bytes,
    expected: Revision,
    *,
    lease: int = 0,
    max_retries: int = MAX_RETRIES,
) -> Swapped | Conflict | KeyValueFailure:
    """Write a key and, when the reply is lost, write again until the outcome is known.

    The value must be unique to this write, by a nonce or an epoch: found in place it proves that
    this write took effect. A failure with ``maybe_applied`` is returned when the service stays
    silent, or when somebody else has written the key since and so hides what happened.
    """
    outcome = await key_value.swap(key, value, expected, lease=lease)
    for _ in range(max_retries):
        if not isinstance(outcome, KeyValueFailure) or not outcome.maybe_applied:
            return outcome
        retried = await key_value.swap(key, value, expected, lease=lease)
        if isinstance(retried, Swapped):
            return retried
        if isinstance(retried, Conflict):
            return _resolve_conflict(retried, value)
    return outcome


def _resolve_conflict(conflict: Conflict, value: bytes) -> Swapped | KeyValueFailure:
    """Tell from what the key holds now whether an earlier write took effect."""
    current = conflict.current
    if current is not None and current.value == value:
        return Swapped(current.revision)
    message = "key has been written again since; read it and decide anew"
    return KeyValueFailure(KeyValueFailureKind.TIMEOUT, message, maybe_applied=True)
