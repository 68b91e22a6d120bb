"""Cut a submitted job into checked parts while it arrives."""

from dataclasses import dataclass, field
from hashlib import blake2b

from xxhash import xxh3_64_intdigest

from parsleyrouter.request.batch_item import BadItem, read_item
from parsleyrouter.version.schema import LimitSettings

__all__ = ["PART_BYTES", "PART_ITEMS", "JobIntake"]

PART_ITEMS = 2048
PART_BYTES = 4 * 1024 * 1024
PROBLEMS_NAMED = 20
DIGEST_BYTES = 16


@dataclass
class JobIntake:
    """Take pieces of JSON lines and hand out parts, holding no more than one part."""

    limits: LimitSettings
    part_items: int = PART_ITEMS
    problems: list[str] = field(default_factory=list)
    firsts: list[int] = field(default_factory=list)
    items: int = 0
    size: int = 0
    lines: int = 0

    def __post_init__(self) -> None:
        self.rest = bytearray()
        self.part: list[bytes] = []
        self.part_bytes = 0
        self.seen: set[int] = set()
        self.hash = blake2b(digest_size=DIGEST_BYTES)

    def feed(self, data: bytes) -> list[bytes]:
        """Take more bytes; return the parts that are full."""
        self.rest += data
        *lines, last = bytes(self.rest).split(b"\n")
        self.rest = bytearray(last)
        full = [part for line in lines for part in self._take(line)]
        if len(self.rest) > self.limits.item_bytes:
            self._problem(self.lines + 1, f"longer than {self.limits.item_bytes} bytes")
            self.rest = bytearray()
        return full

    def finish(self) -> list[bytes]:
        """End the input; return the last parts."""
        last, self.rest = bytes(self.rest), bytearray()
        full = self._take(last)
        if self.part:
            full.append(self._cut())
        if not self.items and not self.problems:
            self.problems.append("the job holds no item: send one JSON object a line")
        return full

    def digest(self) -> str:
        """Return the hash of all items so far."""
        return self.hash.hexdigest()

    def too_many(self) -> bool:
        """Say whether reading on is useless."""
        return len(self.problems) >= PROBLEMS_NAMED or self.items > self.limits.job_items

    def _take(self, line: bytes) -> list[bytes]:
        self.lines += 1
        line = line.strip()
        if not line:
            return []
        if len(line) > self.limits.item_bytes:
            self._problem(self.lines, f"longer than {self.limits.item_bytes} bytes")
            return []
        try:
            self._check(line)
        except BadItem as error:
            self._problem(self.lines, str(error))
            return []
        return self._add(line)

    def _check(self, line: bytes) -> None:
        item = read_item(line)
        mark = xxh3_64_intdigest(item.custom_id.encode())
        if mark in self.seen:
            raise BadItem(f"custom_id {item.custom_id!r} stands on an earlier line")
        self.seen.add(mark)

    def _add(self, line: bytes) -> list[bytes]:
        full = []
        size = len(line) + 1
        if len(self.part) == self.part_items or (self.part and self.part_bytes + size > PART_BYTES):
            full.append(self._cut())
        if not self.part:
            self.firsts.append(self.items)
        self.part.append(line)
        self.part_bytes += size
        self.items += 1
        self.size += size
        self.hash.update(line + b"\n")
        return full

    def _cut(self) -> bytes:
        part = b"\n".join(self.part) + b"\n"
        self.part = []
        self.part_bytes = 0
        return part

    def _problem(self, line: int, reason: str) -> None:
        if len(self.problems) < PROBLEMS_NAMED:
            self.problems.append(f"line {line}: {reason}")
