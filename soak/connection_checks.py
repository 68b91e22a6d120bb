"""Check of what the connections to engine processes carry."""

from soak.check_registry import check
from soak.world import World

__all__ = ["check_connections"]


@check("no connection to an engine carries an id twice")
def check_connections(world: World) -> list[str]:
    """Check that the id of an answer proves on its connection which request it answers."""
    found: dict[str, list[str]] = {}
    for one in world.journal.repeats:
        found.setdefault(one.endpoint, []).append(one.request)
    return [f"{len(ids)} at {name}, first {ids[0]}" for name, ids in found.items()]
