"""Compare-and-swap that finds out whether a write with a lost response took effect."""

from parsleyrouter.connection.key_value import (
    Conflict,
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    WriteApplied,
)
from parsleyrouter.ids import Revision

__all__ = ["compare_and_swap_with_retry"]

MAX_RETRIES = 3


async def compare_and_swap_with_retry(
    key_value: KeyValue,
    key: str,
    value: bytes,
    expected: Revision,
    *,
    lease: int = 0,
    max_retries: int = MAX_RETRIES,
) -> WriteApplied | Conflict | KeyValueFailure:
    """Write a key; if the response is lost, retry until the outcome is known.

    The value must be unique to this write, by a nonce or an epoch: finding it stored proves that
    this write took effect. Returns a failure with ``maybe_applied`` if the service does not
    respond, or if another writer has overwritten the key since and thus hides the outcome.
    """
    outcome = await key_value.compare_and_swap(key, value, expected, lease=lease)
    for _ in range(max_retries):
        if not isinstance(outcome, KeyValueFailure) or not outcome.maybe_applied:
            return outcome
        retried = await key_value.compare_and_swap(key, value, expected, lease=lease)
        if isinstance(retried, WriteApplied):
            return retried
        if isinstance(retried, Conflict):
            return _resolve_conflict(retried, value)
    return outcome


def _resolve_conflict(conflict: Conflict, value: bytes) -> WriteApplied | KeyValueFailure:
    """Determine from the key's current value whether an earlier attempt took effect."""
    current = conflict.current
    if current is not None and current.value == value:
        return WriteApplied(current.revision)
    message = "key was overwritten since; read it and decide again"
    return KeyValueFailure(KeyValueFailureKind.TIMEOUT, message, maybe_applied=True)
