"""Options of a front process, which does all of a node's work in one process."""

from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.setting_checks import check_address, check_range

__all__ = ["FrontOptions"]


@dataclass(frozen=True)
class FrontOptions:
    """Addresses and resource limits of a front process."""

    node: NodeId
    domain: DomainName
    callers: Address
    """Serves requests and batch jobs."""
    ready: Address
    """Serves the readiness check."""
    locate: Address
    """Serves the addresses that callers may use."""
    nodes: Address
    """Serves the other front processes: load reports over UDP, and peer calls."""
    key_value: Address
    metrics_port: int = 0
    """Port for metrics on the host of ``nodes``; 0 serves them on ``ready`` only."""
    grace_s: float = 8.0
    """Maximum time from the stop signal to the end of the process."""
    memory_mb: int = 256
    descriptors: int = 1024
    cores: float = 1.0
    """Processors that the process may use; the strongest nodes of a large fleet take callers."""
    key_value_calls_per_s: float = 60.0
    strict_revocation: bool = False
    """Whether requests that need a key are refused while a removal may have been missed."""
    revoke_within_s: float = 5.0
    """Time within which a key that was taken away no longer works."""
    log_level: str = "info"

    def check(self) -> None:
        """Raise ``InvalidSetting`` for the first invalid setting."""
        for name in ("callers", "ready", "locate", "nodes", "key_value"):
            check_address(name.replace("_", "-"), getattr(self, name))
        check_range("grace", self.grace_s, 0.5, 3600.0, "s")
        check_range("metrics-port", self.metrics_port, 0, 65535, "as a port")
        check_range("memory-mb", self.memory_mb, 32, 1_000_000, "MB")
        check_range("cores", self.cores, 0.01, 4096.0, "cores")
        check_range("revoke-within", self.revoke_within_s, 0.1, 3600.0, "s")
        check_range("descriptors", self.descriptors, 64, 10_000_000, "descriptors")
