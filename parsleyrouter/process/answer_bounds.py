"""Bounds on what an endpoint may send as the answer to one request."""

from parsleyrouter.connection.endpoint_client import EndpointExchange
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.sse import EventSplitter
from parsleyrouter.connection.stream import READ_BYTES
from parsleyrouter.process.loop import Loop

__all__ = [
    "BATCH_READ_INTERVAL_S",
    "MAX_BUFFERED_RESPONSE_BYTES",
    "EventBound",
    "is_cut_in_event",
    "pause_reading",
    "read_dropped_body",
]

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""Responses of safe requests up to this size are buffered, so that a failed one can be retried. It
also bounds what is received for one event of a stream, and the body of a refusal."""

BATCH_READ_INTERVAL_S = 0.1
"""Pause between reads of a batch item's events, so that several are read at once: batch items are
not latency sensitive, and an engine produces an event every few tens of milliseconds."""

REFUSAL_READ_TIMEOUT_S = 0.2
"""Timeout for reading the body of a refusal; the connection is closed after it."""


class EventBound:
    """Bound the bytes that an endpoint sends without completing an event, framing included."""

    def __init__(self, exchange: EndpointExchange) -> None:
        self.exchange = exchange
        self.event_end_bytes = exchange.received_bytes

    def allows(self, completed: bool) -> bool:
        """Return whether a stream may go on; ``completed`` tells of an event since the last call.

        One read may wait to be handled, and is not counted.
        """
        if completed:
            self.event_end_bytes = self.exchange.received_bytes
        size = self.exchange.received_bytes - self.event_end_bytes
        return size <= MAX_BUFFERED_RESPONSE_BYTES + READ_BYTES


def is_cut_in_event(exchange: EndpointExchange, splitter: EventSplitter | None) -> bool:
    """Return whether a stream ended with its connection, within an event."""
    return splitter is not None and bool(splitter.rest) and exchange.closed_early


async def pause_reading(exchange: EndpointExchange, loop: Loop) -> None:
    """Let several events of a batch item arrive before the next read."""
    exchange.pause()
    await loop.sleep(BATCH_READ_INTERVAL_S)
    exchange.resume()


async def read_dropped_body(exchange: EndpointExchange) -> bool:
    """Read the body of an answer that is not forwarded; return ``False`` if it had no end.

    The end of the connection counts as one.
    """
    reply = await exchange.read_all(REFUSAL_READ_TIMEOUT_S, MAX_BUFFERED_RESPONSE_BYTES)
    return not isinstance(reply, TransportFailure) or exchange.closed_early
