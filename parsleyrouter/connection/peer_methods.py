"""Registry of the calls that a process answers for others."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from parsleyrouter.connection.frames import pack, unpack
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["PeerMethods"]

log = logging.getLogger(__name__)

Method = Callable[[Any, Any], Awaitable[Any]]


class PeerMethods:
    """Registry of the RPC methods of a process, filled by the decorator ``add``."""

    def __init__(self) -> None:
        self.methods: dict[str, tuple[type[Any], Method]] = {}

    def add(self, name: str, request_type: type[Any]) -> Callable[[Method], Method]:
        """Register ``async def method(context, request) -> reply struct or None``."""

        def register(function: Method) -> Method:
            self.methods[name] = (request_type, function)
            return function

        return register

    def copy(self) -> "PeerMethods":
        """Return a copy of the registry, to which other methods can be added."""
        copied = PeerMethods()
        copied.methods = dict(self.methods)
        return copied

    async def answer(self, context: Any, envelope: Envelope) -> Envelope:
        """Run the method that a call names and return the reply."""
        reply = Envelope(call=envelope.call, method=envelope.method, payload=b"")
        known = self.methods.get(envelope.method)
        if known is None:
            reply.failure = f"unknown method {envelope.method}: use one version on all VMs"
            return reply
        request_type, function = known
        try:
            answer = await function(context, unpack(request_type, envelope.payload))
            reply.payload = b"" if answer is None else pack(answer)
        except Exception as error:
            log.exception("peer method failed", extra={"method": envelope.method})
            reply.failure = f"{envelope.method} failed: {error}"
        return reply
