"""Decide when a node lacks changes that other nodes know; performs no I/O."""

from dataclasses import dataclass, field

from parsleyrouter.ids import Revision

__all__ = ["BEHIND_GRACE_S", "ChangesElsewhere"]

BEHIND_GRACE_S = 0.3
"""How long a node may lack a change that another one knows, beside the pause between its reads."""


@dataclass
class ChangesElsewhere:
    """The oldest change that this node lacks by watched prefix, and since when; monotonic."""

    lacking: dict[str, tuple[Revision, float]] = field(default_factory=dict)

    def is_behind(
        self, prefix: str, own: Revision, known: Revision, now: float, grace_s: float
    ) -> bool:
        """Return whether this node has lacked a change for longer than ``grace_s``.

        Another node knows the change at revision ``known``; this one has read all changes of the
        prefix up to ``own``.
        """
        held = self.lacking.get(prefix)
        if held is not None and held[0] <= own:
            del self.lacking[prefix]
            held = None
        if held is None:
            if known > own:
                self.lacking[prefix] = (known, now)
            return False
        if now - held[1] < grace_s:
            return False
        self.lacking[prefix] = (held[0], now)
        return True
