"""Answer the other nodes of a cell, which read the key-value service through this node."""

import math
from typing import Any

from parsleyrouter.connection.peer import PeerMethods
from parsleyrouter.ids import Revision
from parsleyrouter.process.boot_clock import boot_now_s
from parsleyrouter.process.cell_reader import FAILURE_RETENTION_S, CellReader
from parsleyrouter.process.followed_keys import to_wire
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed, FollowedKey

__all__ = ["add_cell_methods"]

MAX_WAIT_S = 10.0
"""Longest wait of one call for changes."""


def add_cell_methods(methods: PeerMethods, reader: CellReader) -> None:
    """Add the method that answers the other nodes of the cell while this node is their leader."""

    @methods.add("cell.followed", AskFollowed)
    async def followed(_: Any, query: AskFollowed) -> Followed:
        watched = reader.prefixes.get(query.prefix)
        if (
            watched is None
            or watched.revision is None
            or not reader.answered_recently(query.prefix)
        ):
            return _refused(reader, query.prefix)
        if query.after is None:
            keys = [to_wire(entry.key, entry.revision, entry) for entry in watched.entries.values()]
            return _answer(reader, query.prefix, watched.revision, keys)
        if query.after < watched.base_revision:
            return Followed(refusal="", lost=True, revision=watched.revision, keys=[])
        until_s = reader.loop.now() + min(query.wait_ms / 1000, MAX_WAIT_S)
        while not (changes := watched.changes_after(Revision(query.after))):
            remaining_s = until_s - reader.loop.now()
            if remaining_s <= 0 or watched.base_revision > query.after:
                break
            await watched.changed.wait(remaining_s)
        if not reader.answered_recently(query.prefix) or watched.base_revision > query.after:
            return _refused(reader, query.prefix)
        keys = [to_wire(change.key, change.revision, change.entry) for change in changes]
        return _answer(reader, query.prefix, watched.revision, keys)


def _answer(
    reader: CellReader, prefix: str, revision: Revision, keys: list[FollowedKey]
) -> Followed:
    failed_s = reader.loop.now() - reader.last_failure_s
    failed_ms = int(failed_s * 1000) if failed_s < FAILURE_RETENTION_S else None
    age_ms = int(reader.answer_age_s(prefix) * 1000)
    proved_s = reader.watched_prefix(prefix).proved_s
    proof_ms = math.ceil((boot_now_s() - proved_s) * 1000) if math.isfinite(proved_s) else None
    return Followed(
        refusal="",
        lost=False,
        revision=revision,
        keys=keys,
        failed_ms=failed_ms,
        age_ms=age_ms,
        proof_ms=proof_ms,
    )


def _refused(reader: CellReader, prefix: str) -> Followed:
    age_s = reader.answer_age_s(prefix)
    message = f"the service last answered {age_s:.1f} s ago: read from it directly"
    return Followed(refusal=message, lost=False, revision=0, keys=[])
