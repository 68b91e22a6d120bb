"""Base of the stand-ins: an HTTP server, embedded or in its own process."""

import itertools
from collections.abc import Mapping
from dataclasses import fields
from typing import Any

from circuits import Component

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, HttpServer, ReplyStream, Routes
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop, Promise
from parsleyrouter.process.runtime import Runtime

__all__ = ["StandIn", "close_unanswered", "error_reply", "leave_unanswered", "set_faults"]

_channels = itertools.count(1)


class StandIn(Component):
    """Serve routes on its own address; handlers get this object as context."""

    def __init__(self, runtime: Runtime, bind: str, routes: Routes) -> None:
        super().__init__(channel=f"stand-in-{next(_channels)}")
        self.runtime = runtime
        self.loop: Loop = runtime.loop
        self.http = HttpServer(
            runtime.loop, Address(bind), routes, self, channel=f"web-{self.channel}"
        )
        self.http.register(self)
        self.address: Promise[Address] = self.http.address


def close_unanswered(exchange: Exchange) -> None:
    """Close a caller's connection before or during the response."""
    if exchange.stream is None:
        exchange.stream = ReplyStream(exchange.server, exchange.res)
    exchange.stream.abort()


def leave_unanswered(exchange: Exchange) -> None:
    """Keep a caller's connection open and send nothing."""
    exchange.stream = ReplyStream(exchange.server, exchange.res)
    exchange.stream.finished = True


def error_reply(status: int, message: str) -> HttpReply:
    """Return a JSON error in the shape that OpenAI clients read."""
    return json_reply({"error": {"message": message, "type": "stand_in", "code": status}}, status)


def set_faults(faults: Any, given: Mapping[str, Any]) -> HttpReply:
    """Set the given fields of a dataclass of faults and return all of them."""
    known = {field.name for field in fields(faults)}
    unknown = sorted(set(given) - known)
    if unknown:
        return error_reply(400, f"no such faults {unknown}; there are {sorted(known)}")
    for name, value in given.items():
        setattr(faults, name, value)
    return json_reply({name: getattr(faults, name) for name in sorted(known)})
