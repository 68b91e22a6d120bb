"""The stand-in list of VMs, which shows changes after a lag."""

from typing import Any

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.stand_in import StandIn, error_reply

__all__ = ["VmList"]

routes = Routes()


class VmList(StandIn):
    """Serve VMs as ``{"vms": [{"node", "agent", "domain", "state"}]}``; ``lag_s`` in seconds."""

    def __init__(self, runtime: Runtime, bind: str = "127.0.0.1:0", *, lag_s: float = 0.0) -> None:
        super().__init__(runtime, bind, routes)
        self.lag_s = lag_s
        self.shown: list[dict[str, str]] = []
        self.down = False

    def set(self, vms: list[dict[str, str]]) -> None:
        """Replace the list; readers see it after the lag."""
        self.loop.call_later(self.lag_s, lambda: setattr(self, "shown", vms))


@routes.add("GET", "/v1/vms")
async def vms(listing: VmList, exchange: Exchange) -> HttpReply:
    """Return the VMs as they were ``lag_s`` ago."""
    if listing.down:
        return error_reply(503, "VM list is down")
    return json_reply({"vms": listing.shown})


@routes.add("PUT", "/v1/vms")
async def put_vms(listing: VmList, exchange: Exchange) -> HttpReply:
    """Replace the list."""
    body: dict[str, Any] = exchange.request.json()
    listing.set(body["vms"])
    return json_reply({"vms": body["vms"]})


@routes.add("POST", "/control/faults")
async def faults(listing: VmList, exchange: Exchange) -> HttpReply:
    """Set ``lag_s`` and ``down``."""
    body = exchange.request.json()
    listing.lag_s = float(body.get("lag_s", listing.lag_s))
    listing.down = bool(body.get("down", listing.down))
    return json_reply({"lag_s": listing.lag_s, "down": listing.down})
