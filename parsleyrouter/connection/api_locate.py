"""``GET /v1/locate``: which entries a caller may use."""

from typing import TYPE_CHECKING

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes

if TYPE_CHECKING:
    from parsleyrouter.process.entry_context import EntryContext

__all__ = ["add_locate_routes"]


def add_locate_routes(routes: Routes) -> None:
    """Register the route; it needs no key and gives every caller the same answer."""

    @routes.add("GET", "/v1/locate")
    async def locate(context: "EntryContext", exchange: Exchange) -> HttpReply:
        query = exchange.request.query
        answer = context.locator.find_entries(query.get("domain", ""))
        entries = [
            {"address": item.address, "domain": item.domain, "weight": item.weight}
            for item in answer.entries
        ]
        return json_reply({"entries": entries, "ttl_s": answer.ttl_s})
