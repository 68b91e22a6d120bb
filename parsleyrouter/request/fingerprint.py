"""Name a caller's request by what its copies have in common."""

from collections.abc import Iterable

from xxhash import xxh3_64

from parsleyrouter.ids import Fingerprint, PromptPart

__all__ = ["FINGERPRINT_MARK", "fingerprint_of", "fingerprints_in", "is_fingerprint"]

FINGERPRINT_MARK = "="
"""Begins a fingerprint; no prompt part begins so."""


def fingerprint_of(host: str, method: str, target: str, prompt: str, body: bytes) -> Fingerprint:
    """Return the same fingerprint for each copy of a request, whatever its id and time left."""
    digest = xxh3_64()
    for field in (host.lower().encode(), method.encode(), target.encode(), prompt.encode(), body):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return Fingerprint(PromptPart(FINGERPRINT_MARK + digest.hexdigest()))


def is_fingerprint(part: PromptPart) -> bool:
    """Return whether this names a request, not a part of a prompt."""
    return part.startswith(FINGERPRINT_MARK)


def fingerprints_in(parts: Iterable[PromptPart]) -> list[Fingerprint]:
    """Return the fingerprints among what requests have in common."""
    return [Fingerprint(part) for part in parts if is_fingerprint(part)]
