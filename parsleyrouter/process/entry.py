"""HTTP API of an entry for callers.

Usage::

    context = EntryContext(
        runtime=runtime,
        view=view,
        calls=CallDispatcher(runtime, grants, view),
        jobs=jobs,
        authentication=Authentication(view),
        limits=TeamLimiter(),
        locator=EntryLocator(runtime.loop, view),
        claims=IdempotencyClaims(runtime.loop, key_value, node),
    )
    server = PublicHttpServer(runtime.loop, bind, entry_routes(), context).register(runtime)
    GracefulShutdown(runtime, agent, context.locator, server, stop_timeout_s=stop_timeout_s)
"""

from parsleyrouter.connection.api_batches import add_batch_routes
from parsleyrouter.connection.api_locate import add_locate_routes
from parsleyrouter.connection.api_online import add_online_routes
from parsleyrouter.connection.api_services import add_service_routes
from parsleyrouter.connection.http_server import Routes
from parsleyrouter.process.entry_context import EntryContext

__all__ = ["EntryContext", "entry_routes"]


def entry_routes() -> Routes:
    """Return the routes of the callers' API."""
    routes = Routes()
    add_locate_routes(routes)
    add_online_routes(routes)
    add_service_routes(routes)
    add_batch_routes(routes)
    return routes
