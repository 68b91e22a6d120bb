"""LRU cache of the prompt prefixes that an engine keeps in memory."""

from collections import OrderedDict

from xxhash import xxh3_64_hexdigest

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "PrefixCache", "prefix_hashes"]

BLOCK_BYTES = 64
BLOCK_TOKENS = 16


def prefix_hashes(prompt: str) -> list[str]:
    """Return the hash of the prompt's first block, first two blocks and so on."""
    data = prompt.encode()
    ends = range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES)
    return [xxh3_64_hexdigest(data[:end]) for end in ends]


class PrefixCache:
    """Cache prefixes by hash, at most ``limit_tokens`` tokens in total."""

    def __init__(self, limit_tokens: int) -> None:
        self.limit_blocks = limit_tokens // BLOCK_TOKENS
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.stored: list[str] = []
        self.removed: list[str] = []

    def matched_tokens(self, prompt: str) -> int:
        """Return how many tokens at the start of the prompt are cached."""
        blocks = 0
        for block in prefix_hashes(prompt):
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            blocks += 1
        return blocks * BLOCK_TOKENS

    def store(self, prompt: str) -> None:
        """Store the prompt's prefixes."""
        for block in prefix_hashes(prompt):
            if block not in self.blocks:
                self.stored.append(block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.limit_blocks:
            self.removed.append(self.blocks.popitem(last=False)[0])

    def clear(self) -> None:
        """Drop all prefixes, as after a crash."""
        self.removed.extend(self.blocks)
        self.blocks.clear()

    def take_events(self) -> tuple[list[str], list[str]]:
        """Return the prefixes stored and removed since the last call."""
        events = (self.stored, self.removed)
        self.stored, self.removed = [], []
        return events
