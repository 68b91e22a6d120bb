"""Spans of time, as begin and end in seconds."""

from collections.abc import Iterable

__all__ = ["Span", "covered_s", "largest_gap", "union"]

Span = tuple[float, float]


def union(spans: Iterable[Span]) -> list[Span]:
    """Return the spans in order, those that touch joined."""
    joined: list[Span] = []
    for from_s, until_s in sorted(one for one in spans if one[0] < one[1]):
        if joined and from_s <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(joined[-1][1], until_s))
        else:
            joined.append((from_s, until_s))
    return joined


def covered_s(within: Span, spans: Iterable[Span]) -> float:
    """Return how much of a span others cover."""
    from_s, until_s = within
    parts = ((max(begin, from_s), min(end, until_s)) for begin, end in spans)
    return sum(end - begin for begin, end in union(parts))


def largest_gap(within: Span, spans: Iterable[Span]) -> Span:
    """Return the longest part of a span that no other covers; empty if there is none."""
    from_s, until_s = within
    best = (from_s, from_s)
    for begin, end in [*union(spans), (until_s, until_s)]:
        if min(begin, until_s) - from_s > best[1] - best[0]:
            best = (from_s, min(begin, until_s))
        from_s = max(from_s, end)
    return best
