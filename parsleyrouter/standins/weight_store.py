"""The stand-in store of model weights, limited in bytes per second over all readers."""

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.stand_in import StandIn, error_reply

__all__ = ["WeightStore"]

PIECE_BYTES = 16 * 1024

routes = Routes()


class WeightStore(StandIn):
    """Serve weights of one size to at most ``readers`` readers at a time; more get 429."""

    def __init__(
        self,
        runtime: Runtime,
        bind: str = "127.0.0.1:0",
        *,
        bytes_per_s: float = 4_000_000,
        size_bytes: int = 1_000_000,
        readers: int = 2,
    ) -> None:
        super().__init__(runtime, bind, routes)
        self.bytes_per_s = bytes_per_s
        self.size_bytes = size_bytes
        self.readers = readers
        self.reading = 0
        self.most_reading = 0
        self.refused = 0
        self.fetched: list[str] = []


@routes.add("GET", "/weights/{model}")
async def weights(store: WeightStore, exchange: Exchange) -> HttpReply | None:
    """Send the weights of a model slowly."""
    if store.reading >= store.readers:
        store.refused += 1
        return error_reply(429, "too many readers: wait for one to end")
    store.reading += 1
    store.most_reading = max(store.most_reading, store.reading)
    try:
        await _send(store, exchange)
    finally:
        store.reading -= 1
    store.fetched.append(exchange.values["model"])
    return None


async def _send(store: WeightStore, exchange: Exchange) -> None:
    stream = exchange.open_stream(200, {"content-type": "application/octet-stream"})
    remaining_bytes = store.size_bytes
    while remaining_bytes > 0 and not stream.disconnected:
        piece = min(remaining_bytes, PIECE_BYTES)
        await store.loop.sleep(piece * store.reading / store.bytes_per_s)
        stream.send(bytes(piece))
        await stream.drain()
        remaining_bytes -= piece
    stream.finish()


@routes.add("GET", "/control/fetches")
async def fetches(store: WeightStore, exchange: Exchange) -> HttpReply:
    """Report completed and refused fetches, and the maximum number at a time."""
    body = {"fetched": store.fetched, "refused": store.refused}
    return json_reply(body | {"most_reading": store.most_reading})
