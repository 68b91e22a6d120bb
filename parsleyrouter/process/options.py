"""Options shared by all programs; set by flags or ``PARSLEY_`` environment variables."""

import re
from dataclasses import dataclass

from cyclopts import Parameter

from parsleyrouter.process.setting_checks import InvalidSetting, check_address, check_range

__all__ = ["InvalidSetting", "NodeOptions", "check_address", "check_range"]


@Parameter(name="*")
@dataclass(frozen=True)
class NodeOptions:
    """Options of every process of a node."""

    node: str = "node-1"
    """Name of this VM, identical for all its processes."""

    domain: str = "domain-1"
    """Failure domain of this VM."""

    http: str = "127.0.0.1:0"
    """HTTP address; port 0 lets the system choose."""

    peer: str = "127.0.0.1:0"
    """Address for other processes of this system."""

    key_value: str = "127.0.0.1:2379"
    """Address of the platform's key-value service."""

    key_value_calls_per_s: float = 40.0
    """Maximum calls per second to the key-value service; bursts may have twice as many."""

    log_level: str = "info"
    """Minimum log level: debug, info, warning or error."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        for name in ("http", "peer", "key_value"):
            check_address(name.replace("_", "-"), getattr(self, name))
        check_range("key-value-calls-per-s", self.key_value_calls_per_s, 0.1, 10_000, "calls/s")
        if self.log_level.lower() not in ("debug", "info", "warning", "error"):
            raise InvalidSetting("log-level", self.log_level, "debug, info, warning or error")
        for name in ("node", "domain"):
            if not re.match(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$", getattr(self, name)):
                raise InvalidSetting(name, getattr(self, name), "letters, digits, '.', '_' and '-'")
