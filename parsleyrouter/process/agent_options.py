"""Options of the agent, which runs in the entry process of each VM."""

import re
from dataclasses import dataclass

from cyclopts import Parameter

from parsleyrouter.process.options import InvalidSetting, check_address, check_range

__all__ = ["AgentOptions"]


@Parameter(name="*")
@dataclass(frozen=True)
class AgentOptions:
    """Options of membership and settings replication."""

    agent: str = "127.0.0.1:0"
    """UDP and TCP address for the agents of other VMs; port 0 lets the system choose."""

    vm_list: str = ""
    """Address of the platform's VM list; empty for none."""

    seeds: str = ""
    """Agents to join in addition to those of the VM list: ip:port, separated by commas."""

    operator_key_sha256: str = ""
    """SHA-256 of the operator key that is valid until the settings name a write operator."""

    locate_ttl_s: float = 5.0
    """Seconds for which callers may cache a locate answer."""

    stop_limit_s: float = 600.0
    """Seconds after which a graceful shutdown no longer waits for open requests."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        check_address("agent", self.agent)
        if self.vm_list:
            check_address("vm-list", self.vm_list)
        for seed in self.seed_list():
            check_address("seeds", seed)
        if self.operator_key_sha256 and not re.match(r"^[0-9a-f]{64}$", self.operator_key_sha256):
            raise InvalidSetting("operator-key-sha256", self.operator_key_sha256, "64 hex digits")
        check_range("locate-ttl-s", self.locate_ttl_s, 0.5, 300, "s")
        check_range("stop-limit-s", self.stop_limit_s, 1, 86400, "s")

    def seed_list(self) -> list[str]:
        """Return the addresses in ``seeds``."""
        return [seed.strip() for seed in self.seeds.split(",") if seed.strip()]
