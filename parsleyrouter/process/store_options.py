"""Options of the chunk store."""

from dataclasses import dataclass

from cyclopts import Parameter

from parsleyrouter.process.options import InvalidSetting, check_range
from parsleyrouter.process.role_options import FollowerOptions

__all__ = ["StoreOptions"]

GIGABYTE_BYTES = 1_000_000_000


@Parameter(name="*")
@dataclass(frozen=True)
class StoreOptions(FollowerOptions):
    """Options of ``parsley-store``."""

    data: str = "/var/lib/parsley"
    """Data folder; chunks are stored in its subfolder ``chunks``."""

    limit_gb: float = 0.0
    """Maximum gigabytes of chunks stored here; 0 means no limit but the disk."""

    repair_mb_s: float = 8.0
    """Maximum repair traffic to other disk VMs, in megabytes per second."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first invalid option."""
        super().check()
        if not self.data.startswith("/"):
            raise InvalidSetting("data", self.data, "an absolute path of a folder")
        check_range("limit-gb", self.limit_gb, 0, 1_000_000, "GB")
        check_range("repair-mb-s", self.repair_mb_s, 0.1, 10_000, "MB/s")
