"""Decode what others have written, so that one bad value costs only itself."""

from typing import TypeVar

import msgspec

__all__ = [
    "JSON_ERRORS",
    "MAX_COUNT",
    "MAX_UNIX_MS",
    "InvalidData",
    "decode_json",
    "parse_count",
]

T = TypeVar("T")

MAX_COUNT = 1_000_000
"""Largest number of requests or slots that is believed."""

MAX_UNIX_MS = 2**53
"""Latest time that is believed; larger numbers are not exact as floating point."""


JSON_ERRORS = (msgspec.DecodeError, ValueError, RecursionError, OverflowError)
"""What decoding may raise: deep nesting and other encodings raise errors of their own."""


class InvalidData(ValueError):
    """Data of another writer that cannot be read; the message gives the reason."""


def decode_json(data: bytes, wanted: type[T], *, strict: bool = True) -> T:
    """Return a JSON value of a type; raise ``InvalidData`` for whatever is wrong with it.

    Without ``strict``, numbers may be written as text.
    """
    try:
        return msgspec.json.decode(data, type=wanted, strict=strict)
    except JSON_ERRORS as error:
        raise InvalidData(f"{type(error).__name__}: {error}"[:200]) from error


def parse_count(text: str) -> int | None:
    """Return a number of requests or slots, ``None`` if the text is no plain or credible one."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_COUNT)):
        return None
    value = int(text)
    return value if value <= MAX_COUNT else None
