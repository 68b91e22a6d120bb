"""Keys of batch jobs, parts and chunks in the key-value service."""

from hashlib import blake2b

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import ChunkName, JobId, NodeId, PartIndex, TeamName
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service

__all__ = [
    "JOB_PREFIX",
    "PART_PREFIX",
    "chunk_key",
    "job_id",
    "job_key",
    "part_key",
    "shard_home",
    "shard_of",
    "shard_prefix",
    "shard_names",
    "team_prefix",
]

JOB_PREFIX = "/parsley/jobs/"
PART_PREFIX = "/parsley/parts/"
CHUNK_PREFIX = "/parsley/chunks/"
JOB_ID_BYTES = 16
HASH_DIGITS = 4


def job_id(team: TeamName, idempotency_key: str) -> JobId:
    """Return the job id that is derived from a team's idempotency key."""
    text = f"{team}\0{idempotency_key}".encode()
    return JobId(blake2b(text, digest_size=JOB_ID_BYTES).hexdigest())


def team_prefix(team: TeamName) -> str:
    """Return the prefix of a team's job records."""
    return f"{JOB_PREFIX}{team}/"


def job_key(team: TeamName, job: JobId) -> str:
    """Return the key of a job record."""
    return team_prefix(team) + job


def part_key(job: JobId, part: PartIndex) -> str:
    """Return the key of a part record; its leading hash digits spread parts over shards."""
    digits = blake2b(f"{job}\0{part}".encode(), digest_size=2).hexdigest()
    return f"{PART_PREFIX}{digits}/{job}/{part}"


def chunk_key(job: JobId, name: ChunkName) -> str:
    """Return the key of a chunk kept in the key-value service."""
    return f"{CHUNK_PREFIX}{job}/{name}"


def shard_names(digits: int) -> list[str]:
    """Return the names of all shards for a number of hash digits."""
    return [format(number, f"0{digits}x") for number in range(16**digits)]


def shard_of(key: str, digits: int) -> str:
    """Return the shard of a part key."""
    return key[len(PART_PREFIX) : len(PART_PREFIX) + digits]


def shard_prefix(shard: str) -> str:
    """Return the prefix of the part keys of a shard."""
    return PART_PREFIX + shard


def shard_home(shard: str, nodes: tuple[NodeInfo, ...]) -> NodeId | None:
    """Return the home node of a shard, which is responsible for its parts, by rendezvous hashing.

    Nodes that are leaving are chosen only if there is no other.
    """
    with_batch = [info for info in nodes if Service.BATCH in info.addresses]
    live = [info for info in with_batch if info.state is NodeState.LIVE]
    best = max(
        live or with_batch,
        key=lambda info: (xxh3_64_intdigest(f"{shard}\0{info.node}".encode()), info.node),
        default=None,
    )
    return None if best is None else best.node
