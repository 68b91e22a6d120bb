"""The keys under which a batch job is stored in a transactional key-value service."""

from dataclasses import dataclass

from parsleyrouter.ids import ItemIndex, JobId

__all__ = ["JOBS_PREFIX", "LEFT", "OWNER", "RECORD", "JobKeys", "split_key"]

JOBS_PREFIX = "parsley/live/job/"
RECORD = "/record"
OWNER = "/owner"
LEFT = "/left"


@dataclass(frozen=True)
class JobKeys:
    """The keys of one job; only record and owner are under the prefix that all nodes watch."""

    job: JobId

    @property
    def record(self) -> str:
        """Return the key of the record."""
        return f"{JOBS_PREFIX}{self.job}{RECORD}"

    @property
    def owner(self) -> str:
        """Return the key that names the node which runs the job, under that node's lease."""
        return f"{JOBS_PREFIX}{self.job}{OWNER}"

    @property
    def left(self) -> str:
        """Return the key of the number of tokens in items that are not listed yet."""
        return f"{JOBS_PREFIX}{self.job}{LEFT}"

    @property
    def chunks(self) -> str:
        """Return the prefix of the pieces of the items."""
        return f"parsley/items/{self.job}/"

    @property
    def results(self) -> str:
        """Return the prefix of the results, by position."""
        return f"parsley/result/{self.job}/"

    @property
    def listed(self) -> str:
        """Return the prefix of the marks of listed items, by index."""
        return f"parsley/listed/{self.job}/"

    @property
    def saved(self) -> str:
        """Return the key of the saved progress of unfinished items."""
        return f"parsley/saved/{self.job}"

    def chunk(self, number: int) -> str:
        """Return the key of a piece."""
        return f"{self.chunks}{number:03}"

    def result(self, position: int) -> str:
        """Return the key of a result."""
        return f"{self.results}{position:06}"

    def mark(self, index: ItemIndex) -> str:
        """Return the key that marks an item as listed."""
        return f"{self.listed}{index:06}"


def split_key(key: str) -> tuple[JobId, str]:
    """Return the job and the suffix of a watched key: ``RECORD``, ``OWNER`` or ``LEFT``."""
    job, _, part = key.removeprefix(JOBS_PREFIX).partition("/")
    return JobId(job), f"/{part}"
