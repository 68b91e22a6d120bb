"""One crash of an endpoint, and the requests that it cut."""

from collections.abc import KeysView, Sequence
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId, PromptPart, RunId

__all__ = ["Crash", "CutRuns", "PartGroup", "Prompt"]

Prompt = tuple[PromptPart, ...]
"""What a request has in common with others: the parts of its prompt that others may share, then the
fingerprint of its copies; a batch item has none."""

PartGroup = frozenset[PromptPart]


@dataclass
class Crash:
    """One crash of an endpoint and the prompts that may have caused it.

    ``started_ms`` tells the starts of an endpoint apart; 0 if it is not known. ``runs`` are those
    that it cut, as far as they are known one by one.
    """

    endpoint: EndpointId
    at_s: float
    prompts: set[Prompt] = field(default_factory=set)
    started_ms: int = 0
    runs: dict[RunId, Prompt] = field(default_factory=dict)

    _prompts_by_part: dict[PromptPart, list[Prompt]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _counted: int = field(default=0, init=False, repr=False, compare=False)

    def holds(self, group: PartGroup) -> bool:
        """Return whether any request had all parts of a group."""
        if not group <= self.parts:
            return False
        if len(group) < 2:
            return bool(self.prompts)
        rarest = min(map(self.prompts_with, group), key=len)
        return any(group.issubset(prompt) for prompt in rarest)

    def count_runs(self, group: PartGroup) -> int:
        """Return how many runs with all parts of a group it cut, 1 if that is not known."""
        runs = sum(group.issubset(prompt) for prompt in self.runs.values())
        return runs or int(self.holds(group))

    @property
    def parts(self) -> KeysView[PromptPart]:
        """Return the parts of all prompts."""
        return self._indexed().keys()

    def prompts_with(self, part: PromptPart) -> Sequence[Prompt]:
        """Return the prompts that have a part."""
        return self._indexed().get(part, ())

    def _indexed(self) -> dict[PromptPart, list[Prompt]]:
        if self._counted != len(self.prompts):
            self._prompts_by_part = {}
            for prompt in self.prompts:
                for part in set(prompt):
                    self._prompts_by_part.setdefault(part, []).append(prompt)
            self._counted = len(self.prompts)
        return self._prompts_by_part


@dataclass(frozen=True)
class CutRuns:
    """Runs with a group's parts that crashes have cut; ``late`` ones by when it was certain."""

    count: int
    late: int
    latest_s: float
