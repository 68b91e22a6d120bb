"""Split a submitted job into validated parts as it arrives."""

from dataclasses import dataclass, field
from hashlib import blake2b

from xxhash import xxh3_64_intdigest

from parsleyrouter.request.batch_item import InvalidItemError, read_item
from parsleyrouter.version.schema import LimitSettings

__all__ = ["MAX_PART_BYTES", "DEFAULT_PART_ITEMS", "JobParser"]

DEFAULT_PART_ITEMS = 2048
MAX_PART_BYTES = 4 * 1024 * 1024
MAX_PROBLEMS = 20
DIGEST_BYTES = 16


@dataclass
class JobParser:
    """Parse pieces of JSON lines into parts, buffering no more than one part."""

    limits: LimitSettings
    part_items: int = DEFAULT_PART_ITEMS
    problems: list[str] = field(default_factory=list)
    firsts: list[int] = field(default_factory=list)
    items: int = 0
    size: int = 0
    lines: int = 0

    def __post_init__(self) -> None:
        self.remainder = bytearray()
        self.part: list[bytes] = []
        self.part_bytes = 0
        self.seen: set[int] = set()
        self.hash = blake2b(digest_size=DIGEST_BYTES)

    def feed(self, data: bytes) -> list[bytes]:
        """Parse more bytes; return the parts that are full."""
        self.remainder += data
        *lines, last = bytes(self.remainder).split(b"\n")
        self.remainder = bytearray(last)
        full = [part for line in lines for part in self._take_line(line)]
        if len(self.remainder) > self.limits.item_bytes:
            self._add_problem(self.lines + 1, f"longer than {self.limits.item_bytes} bytes")
            self.remainder = bytearray()
        return full

    def finish(self) -> list[bytes]:
        """End the input; return the last parts."""
        last, self.remainder = bytes(self.remainder), bytearray()
        full = self._take_line(last)
        if self.part:
            full.append(self._close_part())
        if not self.items and not self.problems:
            self.problems.append("the job holds no item: send one JSON object a line")
        return full

    def digest(self) -> str:
        """Return the hash of all items so far."""
        return self.hash.hexdigest()

    def should_stop(self) -> bool:
        """Return whether the job is refused already, so that the rest need not be read."""
        return len(self.problems) >= MAX_PROBLEMS or self.items > self.limits.job_items

    def _take_line(self, line: bytes) -> list[bytes]:
        self.lines += 1
        line = line.strip()
        if not line:
            return []
        if len(line) > self.limits.item_bytes:
            self._add_problem(self.lines, f"longer than {self.limits.item_bytes} bytes")
            return []
        try:
            self._check(line)
        except InvalidItemError as error:
            self._add_problem(self.lines, str(error))
            return []
        return self._add(line)

    def _check(self, line: bytes) -> None:
        item = read_item(line)
        id_hash = xxh3_64_intdigest(item.custom_id.encode())
        if id_hash in self.seen:
            raise InvalidItemError(f"custom_id {item.custom_id!r} stands on an earlier line")
        self.seen.add(id_hash)

    def _add(self, line: bytes) -> list[bytes]:
        full = []
        size = len(line) + 1
        if len(self.part) == self.part_items or (
            self.part and self.part_bytes + size > MAX_PART_BYTES
        ):
            full.append(self._close_part())
        if not self.part:
            self.firsts.append(self.items)
        self.part.append(line)
        self.part_bytes += size
        self.items += 1
        self.size += size
        self.hash.update(line + b"\n")
        return full

    def _close_part(self) -> bytes:
        part = b"\n".join(self.part) + b"\n"
        self.part = []
        self.part_bytes = 0
        return part

    def _add_problem(self, line: int, reason: str) -> None:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(f"line {line}: {reason}")
