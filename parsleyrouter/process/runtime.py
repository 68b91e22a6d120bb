"""Runtime of every process: event loop, connections, metrics and graceful shutdown."""

import logging
import signal
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from circuits import Component, handler
from prometheus_client import CollectorRegistry
from prometheus_client.platform_collector import PlatformCollector
from prometheus_client.process_collector import ProcessCollector

from parsleyrouter.connection.http_client import HttpClient
from parsleyrouter.connection.peer import PeerClient
from parsleyrouter.connection.stream import Connector
from parsleyrouter.process.loop import Loop

__all__ = ["Runtime"]

log = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
StopHook = Callable[[], Awaitable[None]]


class Runtime(Component):
    """Hold the shared components of one process and stop them in order.

    The first SIGTERM or SIGINT runs the stop hooks, the last registered first; a second one that is
    among ``forcing_signals`` ends the process at once.
    """

    channel = "runtime"

    def __init__(self, forcing_signals: Collection[int] = STOP_SIGNALS) -> None:
        super().__init__()
        self.forcing_signals = forcing_signals
        self.loop = Loop().register(self)
        self.connector = Connector(self.loop).register(self)
        self.http = HttpClient(self.loop, self.connector)
        self.peers = PeerClient(self.loop, self.connector)
        self.metrics = CollectorRegistry()
        ProcessCollector(registry=self.metrics)
        PlatformCollector(registry=self.metrics)
        self.connector.shares.expose(self.metrics)
        self.stop_hooks: list[StopHook] = []
        self.forced_stop_hooks: list[Callable[[], None]] = []
        self.stopping = False

    def on_stop(self, hook: StopHook) -> None:
        """Register a hook to await during a graceful shutdown."""
        self.stop_hooks.append(hook)

    def on_forced_stop(self, hook: Callable[[], None]) -> None:
        """Register a hook that reports what a forced stop interrupts."""
        self.forced_stop_hooks.append(hook)

    def on_reload(self, hook: Callable[[], None]) -> None:
        """Register a callback for SIGHUP, which would end the process otherwise."""
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call_from_thread(hook))

    def begin_stop(self) -> None:
        """Start a graceful shutdown, or force the stop if one is already in progress."""
        if self.stopping:
            for hook in self.forced_stop_hooks:
                hook()
            log.warning("forced stop")
            self.stop()
            return
        self.stopping = True
        log.info("planned stop begins")
        self.loop.spawn(self._stop_in_order(), "stop")

    async def _stop_in_order(self) -> None:
        for hook in reversed(self.stop_hooks):
            try:
                await hook()
            except Exception:
                log.exception("stop hook failed")
        log.info("planned stop done")
        self.stop()

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event: Any, number: int, *_: Any) -> None:
        event.stop()
        if self.stopping and number not in self.forcing_signals:
            log.info("planned stop goes on", extra={"signal": signal.Signals(number).name})
            return
        self.begin_stop()

    @handler("exception", channel="*", priority=100)
    def _on_exception(self, event: Any, etype: Any, value: Any, *_: Any, **__: Any) -> None:
        # The event itself has the traceback as lines of text only.
        if not isinstance(value, (KeyboardInterrupt, SystemExit)):
            log.error("event handler failed", exc_info=(etype, value, value.__traceback__))
