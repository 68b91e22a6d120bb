"""Settings of the chunk store."""

from dataclasses import dataclass

from cyclopts import Parameter

from parsleyrouter.process.options import InvalidSetting, check_range
from parsleyrouter.process.role_options import FollowerOptions

__all__ = ["StoreOptions"]

GIGABYTE_BYTES = 1_000_000_000


@Parameter(name="*")
@dataclass(frozen=True)
class StoreOptions(FollowerOptions):
    """Settings of ``parsley-store``."""

    data: str = "/var/lib/parsley"
    """The one data folder; chunks lie in its sub-folder ``chunks``."""

    limit_gb: float = 0.0
    """Most gigabytes of chunks kept here; 0 means as much as the disk holds."""

    repair_mb_s: float = 8.0
    """Most megabytes a second sent to other disk VMs for repair."""

    def check(self) -> None:
        """Raise ``BadSetting`` for the first setting that is not allowed."""
        super().check()
        if not self.data.startswith("/"):
            raise InvalidSetting("data", self.data, "an absolute path of a folder")
        check_range("limit-gb", self.limit_gb, 0, 1_000_000, "GB")
        check_range("repair-mb-s", self.repair_mb_s, 0.1, 10_000, "MB/s")
