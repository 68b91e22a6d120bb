"""Find the name that was probably meant."""

from collections.abc import Iterable
from difflib import get_close_matches

__all__ = ["nearest_name"]


def nearest_name(name: str, known: Iterable[str]) -> str | None:
    """Return the known name that is most like another one, ``None`` if none is."""
    by_lower = {one.lower(): one for one in known}
    found = get_close_matches(name.lower(), by_lower, n=1)
    return by_lower[found[0]] if found else None
