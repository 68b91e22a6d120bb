"""The callers' HTTP surface of an entry.

Wire it so::

    context = EntryContext(
        runtime=runtime,
        view=view,
        calls=CallRunner(runtime, grants, view),
        jobs=jobs,
        authentication=Authentication(view),
        limits=TeamLimits(),
        locate=Locate(runtime.loop, view),
        claims=Claims(runtime.loop, key_value, node),
    )
    server = GuardedHttpServer(runtime.loop, bind, entry_routes(), context).register(runtime)
    PlannedStop(runtime, agent, context.locate, server, limit_s=limit_s)
"""

from parsleyrouter.connection.api_batches import add_batch_routes
from parsleyrouter.connection.api_locate import add_locate_routes
from parsleyrouter.connection.api_online import add_online_routes
from parsleyrouter.connection.api_services import add_service_routes
from parsleyrouter.connection.http_server import Routes
from parsleyrouter.process.entry_context import EntryContext

__all__ = ["EntryContext", "entry_routes"]


def entry_routes() -> Routes:
    """Return the routes that callers use."""
    routes = Routes()
    add_locate_routes(routes)
    add_online_routes(routes)
    add_service_routes(routes)
    add_batch_routes(routes)
    return routes
