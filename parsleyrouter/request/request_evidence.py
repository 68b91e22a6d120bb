"""Find the requests whose copies crash endpoints, from what was in flight at each crash.

A copy of a request tells more than a part of a prompt: a sound one that is in flight at several
crashes has not been answered in between, though it was sent each time. Performs no I/O.
"""

from collections.abc import Container, Iterable, Mapping, Sequence, Set

from parsleyrouter.ids import Fingerprint, PromptPart
from parsleyrouter.request.crash import Crash, PartGroup
from parsleyrouter.request.fingerprint import fingerprints_in, is_fingerprint

__all__ = ["REQUEST_CRASHES", "find_requests", "is_request"]

REQUEST_CRASHES = 3
"""Crashes after which a request that was never answered is held responsible; copies that crash
endpoints at the same moment count one by one."""

CERTAIN_REQUEST_CRASHES = 5
"""The same for a request that was answered before the first of them, or while another request
explains some of them."""

CERTAIN_REQUEST_EVENTS = 3
"""Moments at which these must have happened: a popular request runs at all endpoints of a rack."""


def is_request(group: PartGroup) -> bool:
    """Return whether a group in quarantine is a request, not parts of prompts."""
    return any(map(is_fingerprint, group))


def find_requests(
    crashes: Sequence[tuple[float, Crash]],
    served_s: Mapping[PromptPart, float],
    answered: Container[PromptPart],
    known: Iterable[PartGroup],
) -> list[PartGroup]:
    """Return the requests to hold responsible for crashes, given with their moments.

    A crash that another request explains accuses a request only if it was in flight at many.
    """
    requests = set(filter(is_request, known))
    every = _accusing_moments(crashes, served_s, requests)
    found: list[PartGroup] = [
        frozenset((name,))
        for name, seen in every.items()
        if len(seen) >= CERTAIN_REQUEST_CRASHES and len(set(seen)) >= CERTAIN_REQUEST_EVENTS
    ]
    while new := _most_accused(crashes, served_s, answered, requests | set(found)):
        found += new
    return found


def _most_accused(
    crashes: Sequence[tuple[float, Crash]],
    served_s: Mapping[PromptPart, float],
    answered: Container[PromptPart],
    known: Set[PartGroup],
) -> list[PartGroup]:
    unexplained = [one for one in crashes if not any(map(one[1].holds, known))]
    counts = {
        name: len(seen)
        for name, seen in _accusing_moments(unexplained, served_s, known).items()
        if name not in answered and len(seen) >= REQUEST_CRASHES
    }
    most = max(counts.values(), default=0)
    return [frozenset((name,)) for name, count in counts.items() if count == most]


def _accusing_moments(
    crashes: Sequence[tuple[float, Crash]],
    served_s: Mapping[PromptPart, float],
    known: Set[PartGroup],
) -> dict[Fingerprint, list[float]]:
    """Return the moments of the crashes that accuse each request that is not known yet."""
    moments: dict[Fingerprint, list[float]] = {}
    for moment_s, crash in crashes:
        for name in fingerprints_in(crash.parts):
            if crash.at_s >= served_s.get(name, crash.at_s) and frozenset((name,)) not in known:
                moments.setdefault(name, []).append(moment_s)
    return moments
