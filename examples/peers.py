"""Call a method of a peer over framed Thrift."""

from typing import Any

from parsleyrouter.connection.peer import PeerFailure, PeerMethods, PeerServer
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

runtime = Runtime()
methods = PeerMethods()


@methods.add("upper", Envelope)
async def upper(_: Any, message: Envelope) -> Envelope:
    """Return the payload in upper case."""
    return Envelope(call=message.call, method=message.method, payload=message.payload.upper())


async def main() -> None:
    """Make one call and stop."""
    server = PeerServer(runtime.loop, Address("127.0.0.1:0"), methods, None).register(runtime)
    question = Envelope(call=1, method="upper", payload=b"slate")
    answer = await runtime.peers.call(
        server.bound_address(), "upper", question, Envelope, timeout_s=1.0
    )
    if isinstance(answer, PeerFailure):
        print(answer.message)
    else:
        print(answer.payload.decode())
    runtime.begin_stop()


runtime.loop.call_soon(lambda: runtime.loop.spawn(main()))
runtime.run()
