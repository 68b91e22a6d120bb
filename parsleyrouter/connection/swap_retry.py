"""A write to the key-value service whose lost reply is found out."""

from parsleyrouter.connection.key_value import (
    Conflict,
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    WriteApplied,
)
from parsleyrouter.ids import Revision

__all__ = ["compare_and_swap_with_retry"]

TRIES = 3


async def compare_and_swap_with_retry(
    key_value: KeyValue,
    key: str,
    value: bytes,
    expected: Revision,
    *,
    lease: int = 0,
    tries: int = TRIES,
) -> WriteApplied | Conflict | KeyValueFailure:
    """Write a key and, when the reply is lost, write again until the outcome is known.

    The value must be unique to this write, by a nonce or an epoch: found in place it proves that
    this write took effect. A failure with ``maybe_applied`` is returned when the service stays
    silent, or when somebody else has written the key since and so hides what happened.
    """
    outcome = await key_value.compare_and_swap(key, value, expected, lease=lease)
    for _ in range(tries):
        if not isinstance(outcome, KeyValueFailure) or not outcome.maybe_applied:
            return outcome
        again = await key_value.compare_and_swap(key, value, expected, lease=lease)
        if isinstance(again, WriteApplied):
            return again
        if isinstance(again, Conflict):
            return _judge(again, value)
    return outcome


def _judge(conflict: Conflict, value: bytes) -> WriteApplied | KeyValueFailure:
    """Tell from what the key holds now whether an earlier write took effect."""
    current = conflict.current
    if current is not None and current.value == value:
        return WriteApplied(current.revision)
    message = "key has been written again since; read it and decide anew"
    return KeyValueFailure(KeyValueFailureKind.TIMEOUT, message, maybe_applied=True)
