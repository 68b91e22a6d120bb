"""Settings of a front process: all of a node's duties in one process."""

from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.setting_checks import check_address, check_range

__all__ = ["FrontOptions"]


@dataclass(frozen=True)
class FrontOptions:
    """Where a front process listens and what it may use."""

    node: NodeId
    domain: DomainName
    callers: Address
    """Requests and batch jobs."""
    ready: Address
    """Whether the process takes callers."""
    locate: Address
    """Which addresses callers may use."""
    nodes: Address
    """The other front processes, over UDP."""
    key_value: Address
    metrics_port: int = 0
    """Port for metrics on the address of ``nodes``; 0 leaves them on that of ``ready``."""
    grace_s: float = 8.0
    """Time from the signal to stop to the end of the process, at most."""
    memory_mb: int = 256
    descriptors: int = 1024
    key_value_calls_per_s: float = 60.0
    log_level: str = "info"

    def check(self) -> None:
        """Raise ``BadSetting`` for the first setting that is not allowed."""
        for name in ("callers", "ready", "locate", "nodes", "key_value"):
            check_address(name.replace("_", "-"), getattr(self, name))
        check_range("grace", self.grace_s, 0.5, 3600.0, "s")
        check_range("metrics-port", self.metrics_port, 0, 65535, "as a port")
        check_range("memory-mb", self.memory_mb, 32, 1_000_000, "MB")
        check_range("descriptors", self.descriptors, 64, 10_000_000, "descriptors")
