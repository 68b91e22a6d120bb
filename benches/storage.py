"""Compare copies of chunks with XOR array codes: bytes, repair reads and processor time.

Usage: python benches/storage.py. Codes: one row parity, which survives one loss, and the
parity-independent array code of PITR, which survives three, both by numpy XOR. Repair reads are the
bytes read to rebuild one lost block, per byte of the block. Checksums are counted for copies only;
every scheme needs them.
"""

import json
import time
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path

import numpy as np

BLOCK_BYTES = 1024 * 1024
ROUNDS = 10
MB = 1_000_000
OUT = Path("out")
Block = np.ndarray


@dataclass(frozen=True)
class SchemeCost:
    """Cost of one storage scheme per byte of data; processor time is per MB."""

    scheme: str
    disks: int
    losses_survived: int
    stored_per_byte: float
    repair_read_per_byte: float
    write_cpu_ms_per_mb: float
    repair_cpu_ms_per_mb: float


def timed(call: Callable[[], object], data_bytes: int) -> float:
    """Return the milliseconds of processor time per MB, the minimum of all rounds."""
    times = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        call()
        times.append(time.process_time() - started_s)
    return round(min(times) * 1000 / (data_bytes / MB), 3)


def copies(count: int) -> SchemeCost:
    """Measure full copies; each disk VM checks one CRC."""
    data = np.random.default_rng(1).bytes(BLOCK_BYTES)
    check = timed(lambda: [zlib.crc32(data) for _ in range(count)], BLOCK_BYTES)
    once = timed(lambda: zlib.crc32(data), BLOCK_BYTES)
    return SchemeCost(f"{count} copies", count, count - 1, count, 1.0, check, once)


def row_parity(data_disks: int) -> SchemeCost:
    """Measure one XOR parity block over the data blocks."""
    blocks = random_units(data_disks, 1)

    def encode() -> Block:
        return np.bitwise_xor.reduce(blocks, axis=0)

    parity = encode()
    rebuilt = np.bitwise_xor.reduce(np.concatenate([blocks[1:], parity[None]]), axis=0)
    assert np.array_equal(rebuilt, blocks[0])
    size = data_disks * BLOCK_BYTES
    return SchemeCost(
        f"XOR {data_disks}+1",
        data_disks + 1,
        1,
        round((data_disks + 1) / data_disks, 2),
        float(data_disks),
        timed(encode, size),
        timed(encode, BLOCK_BYTES),
    )


def random_units(blocks: int, rows: int) -> Block:
    """Return random data blocks, each divided into rows of units."""
    unit = BLOCK_BYTES // rows
    return np.random.default_rng(2).integers(0, 256, (blocks, rows, unit), dtype=np.uint8)


def pit_groups(p: int, data_blocks: int) -> list[list[tuple[int, int]]]:
    """Return the data units ``(row, block)`` under each parity unit: rows, then both diagonals."""
    units = list(product(range(p - 1), range(data_blocks)))
    rows = [[unit for unit in units if unit[0] == i] for i in range(p - 1)]
    up = [[unit for unit in units if (unit[0] + unit[1]) % p == i] for i in range(p)]
    down = [[unit for unit in units if (unit[0] - unit[1]) % p == i] for i in range(p)]
    return rows + up + down


def pit_code(p: int, data_blocks: int) -> SchemeCost:
    """Measure the array code with three parities, shortened to the given number of data blocks."""
    units = random_units(data_blocks, p - 1)
    groups = pit_groups(p, data_blocks)

    def encode() -> list[Block]:
        return [
            np.bitwise_xor.reduce([units[block, row] for row, block in group], axis=0)
            for group in groups
            if group
        ]

    reads = [repair_reads(p, groups, lost) for lost in range(data_blocks)]
    size = data_blocks * (p - 1) * units.shape[2]
    unit_bytes = units.shape[2]
    stored = (data_blocks * (p - 1) + len([group for group in groups if group])) * unit_bytes

    def rebuild() -> None:
        for row in range(p - 1):
            others = [units[block, row] for block in range(1, data_blocks)]
            np.bitwise_xor.reduce([*others, units[0, row]], axis=0)

    return SchemeCost(
        f"PIT({p}) {data_blocks}+3",
        data_blocks + 3,
        3,
        round(stored / size, 2),
        round(sum(reads) / len(reads) / (p - 1), 2),
        timed(encode, size),
        timed(rebuild, (p - 1) * unit_bytes),
    )


def repair_reads(p: int, groups: list[list[tuple[int, int]]], lost: int) -> int:
    """Return the fewest units read to rebuild one block, from a local search row by row."""
    choices = [
        [number for number, group in enumerate(groups) if (row, lost) in group]
        for row in range(p - 1)
    ]

    def cost(chosen: list[int]) -> int:
        read = {unit for number in chosen for unit in groups[number] if unit[1] != lost}
        return len(read) + len(chosen)

    best = None
    for start in range(3):
        chosen = [options[start % len(options)] for options in choices]
        improved = True
        while improved:
            improved = False
            for row, options in enumerate(choices):
                for option in options:
                    trial = [*chosen[:row], option, *chosen[row + 1 :]]
                    if cost(trial) < cost(chosen):
                        chosen, improved = trial, True
        best = cost(chosen) if best is None else min(best, cost(chosen))
    assert best is not None
    return best


def main() -> None:
    """Print one JSON line per scheme and write all to ``out/storage.json``."""
    schemes = [copies(2), copies(3), row_parity(2), row_parity(5)]
    schemes += [pit_code(5, 3), pit_code(7, 6), pit_code(13, 12)]
    for scheme in schemes:
        print(json.dumps(asdict(scheme)))
    OUT.mkdir(exist_ok=True)
    found = [asdict(scheme) for scheme in schemes]
    (OUT / "storage.json").write_text(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()
