"""Options of the programs, combined from those of their components."""

from dataclasses import dataclass

from cyclopts import Parameter

from parsleyrouter.process.agent_options import AgentOptions
from parsleyrouter.process.options import NodeOptions, check_address, check_range

__all__ = ["BatchOptions", "EntryOptions", "FollowerOptions"]


@Parameter(name="*")
@dataclass(frozen=True)
class EntryOptions(AgentOptions, NodeOptions):
    """Options of ``parsley-entry``."""

    min_copies: int = 2
    """Minimum copies of a chunk, in different failure domains, before a job is accepted."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        NodeOptions.check(self)
        AgentOptions.check(self)
        check_range("min-copies", self.min_copies, 1, 3, "copies")


@Parameter(name="*")
@dataclass(frozen=True)
class FollowerOptions(NodeOptions):
    """Options of a process that follows the agent of its VM."""

    agent: str = "127.0.0.1:7400"
    """Address of the agent of this VM, as given to its entry process."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        super().check()
        check_address("agent", self.agent)


@Parameter(name="*")
@dataclass(frozen=True)
class BatchOptions(FollowerOptions):
    """Options of ``parsley-batch``."""

    parts: int = 8
    """Maximum parts of batch jobs that run concurrently."""

    items_at_once: int = 32
    """Maximum items of a part that run concurrently."""

    min_copies: int = 2
    """Minimum copies of a chunk of results, in different failure domains."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        super().check()
        check_range("parts", self.parts, 1, 256, "parts")
        check_range("items-at-once", self.items_at_once, 1, 4096, "items")
        check_range("min-copies", self.min_copies, 1, 3, "copies")
