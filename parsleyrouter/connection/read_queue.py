"""Order in which a server reads its connections, and the time of a turn of the loop for it."""

import logging
from collections.abc import Callable
from typing import Any

from circuits import Event

from parsleyrouter.connection.turn_shares import TURN_SHARE_S
from parsleyrouter.process.loop import Loop

__all__ = ["ReadQueue", "read_turn"]

log = logging.getLogger(__name__)


class read_turn(Event):  # noqa: N801
    """Have a server run its queue.

    Tasks that an event starts run at once and so within the share; those of a timer run later.
    """


class ReadQueue:
    """Serve readable connections for a bounded time a turn, new ones and busy ones alternately.

    ``serve`` returns whether the connection has more to be read or parsed: it is then busy and
    served again once the other busy ones were. ``now`` is a clock in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        serve: Callable[[Any], bool],
        on_wait: Callable[[Any], None],
        fire: Callable[[Event], object],
    ) -> None:
        self.loop = loop
        self.serve = serve
        self.fire = fire
        self.on_wait = on_wait
        """Called when a connection becomes busy and when it is no longer."""
        self.fresh: dict[Any, None] = {}
        self.busy: dict[Any, None] = {}
        self.serving: Any = None
        self.scheduled = False

    def add(self, sock: Any) -> None:
        """Serve a connection soon."""
        if sock is not self.serving and sock not in self.busy and sock not in self.fresh:
            self.fresh[sock] = None
            self._schedule()

    def waits(self, sock: Any) -> bool:
        """Return whether a connection waits to be served."""
        return sock in self.fresh or sock in self.busy

    def discard(self, sock: Any) -> None:
        """Forget a closed connection."""
        self.fresh.pop(sock, None)
        self.busy.pop(sock, None)

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.fire(read_turn())

    def run(self) -> None:
        """Serve connections until the share of this turn is used up."""
        self.scheduled = False
        until_s = self.loop.now() + TURN_SHARE_S
        served: list[Any] = []
        try:
            while self.fresh or self.busy:
                for queue in (self.fresh, self.busy):
                    if queue:
                        self._serve_first(queue, served)
                if self.loop.now() >= until_s:
                    break
        finally:
            self.busy.update(dict.fromkeys(served))
            if self.fresh or self.busy:
                self._schedule()

    def _serve_first(self, queue: dict[Any, None], served: list[Any]) -> None:
        sock = next(iter(queue))
        del queue[sock]
        was_busy = queue is self.busy
        self.serving = sock
        try:
            more = self.serve(sock)
        except Exception:
            log.exception("connection not served")
            more = False
        finally:
            self.serving = None
        if more:
            served.append(sock)
            if not was_busy:
                self.on_wait(sock)
        elif was_busy:
            self.on_wait(sock)
