"""A small fleet in one process: stand-ins and nodes, each role on its own event loop."""

import hashlib
import logging
import sys
import tempfile
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from parsleyrouter.ids import Address
from parsleyrouter.process.assembly import (
    assemble_batch,
    assemble_entry,
    assemble_scheduler,
    assemble_store,
)
from parsleyrouter.process.role_options import BatchOptions, EntryOptions, FollowerOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.store_options import StoreOptions
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.engine_batch import EngineSpec
from parsleyrouter.standins.key_value_server import KeyValueServer
from parsleyrouter.standins.ports import free_address
from parsleyrouter.standins.service import PlainService

__all__ = ["EmbeddedFleet", "EmbeddedOptions"]

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 15.0
SWITCH_INTERVAL_S = 0.001

T = TypeVar("T")

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class EmbeddedOptions:
    """Size of the embedded fleet, and its API keys."""

    nodes: int = 2
    engines: int = 2
    slots: int = 8
    operator_key: str = "operator-demo-key"
    team_key: str = "team-demo-key"
    model: str = "demo-model"
    application: str = "cards"
    locate_ttl_s: float = 0.5


@dataclass
class _RunningLoop:
    name: str
    runtime: Runtime
    thread: threading.Thread


@dataclass
class EmbeddedFleet:
    """Start and stop a fleet for demos and development."""

    options: EmbeddedOptions = field(default_factory=EmbeddedOptions)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="parsley-")))
    threads: list[_RunningLoop] = field(default_factory=list)
    entries: list[Address] = field(default_factory=list)
    engines: list[Address] = field(default_factory=list)
    services: list[Address] = field(default_factory=list)
    key_value: Address = Address("")

    def start(self) -> None:
        """Start the stand-ins, then the nodes."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._start_standins()
        seeds: list[str] = []
        for number in range(1, self.options.nodes + 1):
            self._start_node(number, seeds)

    def stop(self) -> None:
        """Stop every loop without draining, the nodes first."""
        for running in reversed(self.threads):
            running.runtime.loop.call_from_thread(running.runtime.stop)
            running.thread.join(STOP_TIMEOUT_S)
            if running.thread.is_alive():
                log.warning("loop did not stop in time", extra={"loop": running.name})

    def fleet_settings(self) -> dict[str, Any]:
        """Return the settings of ``/fleet`` that name the embedded endpoints."""
        endpoints: dict[str, Any] = {}
        for number, address in enumerate(self.engines, start=1):
            endpoints[f"engine-{number}"] = {
                "address": address,
                "models": [self.options.model],
                "slots": self.options.slots,
                "domain": f"domain-{number}",
            }
        for number, address in enumerate(self.services, start=1):
            endpoints[f"service-{number}"] = {
                "address": address,
                "type": "service",
                "application": self.options.application,
                "slots": self.options.slots,
            }
        return {"endpoints": endpoints}

    def team_settings(self) -> dict[str, Any]:
        """Return the settings of a team that may use all embedded endpoints."""
        digest = hashlib.sha256(self.options.team_key.encode()).hexdigest()
        return {
            "keys": {"demo": {"sha256": digest}},
            "models": {self.options.model: {}},
            "applications": {self.options.application: {}},
            "kinds": {
                "question": {"kind_class": "online", "deadline_s": 30},
                "introduction": {"kind_class": "batch", "deadline_s": 3600},
            },
        }

    def _start_standins(self) -> None:
        runtime = Runtime()
        key_value = KeyValueServer(runtime).register(runtime)
        spec = EngineSpec(models=(self.options.model,), slots=self.options.slots)
        engines = [
            Engine(runtime, spec=spec).register(runtime) for _ in range(self.options.engines)
        ]
        service = PlainService(runtime).register(runtime)
        self._run("stand-ins", runtime)
        self.key_value = self._read_on_loop(runtime, lambda: key_value.http.bound_address())
        self.engines = [
            self._read_on_loop(runtime, engine.http.bound_address) for engine in engines
        ]
        self.services = [self._read_on_loop(runtime, service.http.bound_address)]

    def _start_node(self, number: int, seeds: list[str]) -> None:
        name, domain = f"node-{number}", f"domain-{number}"
        digest = hashlib.sha256(self.options.operator_key.encode()).hexdigest()
        common: dict[str, Any] = {"node": name, "domain": domain, "key_value": self.key_value}
        entry = self._start_role(
            f"{name} entry",
            lambda runtime: assemble_entry(
                runtime,
                EntryOptions(
                    **common,
                    agent=free_address(),
                    seeds=",".join(seeds),
                    operator_key_sha256=digest,
                    locate_ttl_s=self.options.locate_ttl_s,
                    min_copies=min(2, self.options.nodes),
                ),
            ),
        )
        self.entries.append(entry["http"])
        seeds.append(entry["agent"])
        common["agent"] = entry["agent"]
        copies = min(2, self.options.nodes)
        store = {**common, "data": str(self.folder / name)}
        self._start_role(
            f"{name} store",
            lambda runtime: assemble_store(runtime, StoreOptions(**store)),
        )
        self._start_role(
            f"{name} scheduler",
            lambda runtime: assemble_scheduler(runtime, FollowerOptions(**common)),
        )
        self._start_role(
            f"{name} batch",
            lambda runtime: assemble_batch(runtime, BatchOptions(**common, min_copies=copies)),
        )

    def _start_role(
        self, name: str, assemble: Callable[[Runtime], dict[str, Address]]
    ) -> dict[str, Address]:
        runtime = Runtime()
        addresses = assemble(runtime)
        self._run(name, runtime)
        return addresses

    def _run(self, name: str, runtime: Runtime) -> None:
        thread = threading.Thread(target=runtime.run, name=name, daemon=True)
        self.threads.append(_RunningLoop(name, runtime, thread))
        thread.start()

    def _read_on_loop(self, runtime: Runtime, read: Callable[[], T]) -> T:
        values: list[T] = []
        done = threading.Event()

        def read_and_notify() -> None:
            values.append(read())
            done.set()

        runtime.loop.call_from_thread(read_and_notify)
        if not done.wait(START_TIMEOUT_S):
            raise TimeoutError("an embedded loop does not respond: see the log")
        return values[0]
