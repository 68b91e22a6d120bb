"""The components of a front process that use the platform's store."""

import logging
import time
from collections.abc import Iterable
from functools import partial
from random import Random

from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.connection.endpoint_client import EndpointClient
from parsleyrouter.connection.endpoint_metrics import EndpointMetrics
from parsleyrouter.connection.key_value import Entry, KeyChange, KeyValueFailure, Transaction
from parsleyrouter.connection.peer import PeerServer
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import EndpointId, NodeId
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.cell_reader import READ_PAUSE_S, CellReader
from parsleyrouter.process.crash_monitor import CrashMonitor
from parsleyrouter.process.endpoint_directory import EndpointDirectory, RegisteredEndpoint
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.forward_context import ForwardContext
from parsleyrouter.process.forwarder import Forwarder
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_worker import JobWorker
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.node_registry import NODES_PREFIX, NodeRegistry, RegisteredNode
from parsleyrouter.process.platform_port import PlatformPort
from parsleyrouter.process.prefix_watcher import PrefixWatcher
from parsleyrouter.process.quarantine_keeper import QuarantineKeeper
from parsleyrouter.process.quarantine_records import QUARANTINE_PREFIX
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.shared_job_store import JOBS_PREFIX
from parsleyrouter.process.state_metrics import StateMetrics
from parsleyrouter.process.token_ledger import SHARES_PREFIX, TokenLedger
from parsleyrouter.request.submission import submission_retry_s

__all__ = ["Front"]

ENDPOINT_CONNECT_TIMEOUT_S = 0.35
"""Many times the network latency within a region."""

MISSING_CHECK_INTERVAL_S = 0.25
"""Pause between checks for registrations that did not reappear."""

LIVE_PREFIX = "parsley/live/"
"""The prefix that every node watches: nodes, records and owners of jobs, and token shares."""

CALL_LOG_INTERVAL_S = 10.0
"""Pause between log lines with the number of calls made to the store."""

log = logging.getLogger(__name__)


class Front:
    """Hold the components that read and write the platform's store."""

    def __init__(self, runtime: Runtime, options: FrontOptions, port: PlatformPort) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.port = port
        self.rng = Random(f"{options.node}{time.time_ns()}")
        budget = BudgetSettings(
            calls_per_s=options.key_value_calls_per_s,
            burst_calls=2 * options.key_value_calls_per_s,
            backoff_base_s=0.05,
            backoff_limit_s=0.5,
            ramp_s=2.0,
        )
        self.store = port.open_store(runtime, options.key_value, budget)
        self.routes = ActiveRoutes()
        self.directory = EndpointDirectory()
        self.loads = EndpointLoads(self.rng)
        self.loads.limits.on_change = self._log_limit
        self.job_directory = JobDirectory()
        self.token_ledger = TokenLedger()
        self.job_directory.on_tokens.append(
            lambda view: self.token_ledger.update_job(view, self.loop.now())
        )
        own = RegisteredNode(
            node=options.node,
            domain=options.domain,
            callers=options.callers,
            nodes=options.nodes,
            boot=time.time_ns() // 1_000_000,
            capacity=options.cores,
        )
        self.registry = NodeRegistry(self.loop, self.store, own)
        self.exchange = LoadExchange(self.loop, self.loads, self.registry, self.routes)
        self.exchange.datagrams.register(runtime)
        endpoint_metrics = EndpointMetrics.of(runtime.metrics)
        client = EndpointClient(
            self.loop, runtime.connector, ENDPOINT_CONNECT_TIMEOUT_S, endpoint_metrics
        )
        client.id_header = port.headers.request
        self.quarantine = QuarantineKeeper(self.loop, self.store, self.exchange, self.rng)
        crashes = CrashMonitor(self.loop, runtime.connector, self.directory, self.quarantine)
        self.forward_context = ForwardContext(
            self.loop,
            client,
            self.loads,
            port.headers,
            crashes,
            self.directory,
            port.shared_parts,
        )
        self.reader = CellReader(
            self.loop, self.store, self.exchange.members, runtime.peers, self.rng
        )
        self.reader.on_failure.append(self.directory.record_store_failure)
        self.exchange.known_changes = self.reader.known_changes
        self.exchange.on_changes_elsewhere.append(self.reader.record_changes_elsewhere)
        self.watchers: tuple[PrefixWatcher, ...] = ()
        self.worker: JobWorker
        self.forwarder: Forwarder
        self.peers: PeerServer

    def start_watching(self) -> None:
        """Start watching the store."""
        operator = self._watcher(self.port.operator_prefix)
        operator.on_list = self._on_operator_list
        operator.on_change = lambda change: self._on_operator_entry(change.entry)
        endpoints = self._watcher(self.port.endpoints_prefix, READ_PAUSE_S)
        endpoints.on_list, endpoints.on_change = self._on_endpoint_list, self._on_endpoint_change
        live = self._watcher(LIVE_PREFIX)
        live.on_list, live.on_change = self._on_live_list, self._on_live_change
        metrics = StateMetrics.of(self.runtime.metrics)
        self.watchers = (operator, endpoints, live)
        for watcher in self.watchers:
            watcher.start()
            age_s = partial(self.reader.answer_age_s, watcher.prefix)
            metrics.age.labels(watcher.prefix).set_function(age_s)
        metrics.limited.set_function(
            lambda: self.loads.limits.in_force(self.directory.endpoints.values())
        )
        metrics.deferred_removals.set_function(lambda: len(self.directory.missing))
        metrics.quarantined_groups.set_function(lambda: len(self.quarantine.quarantine.groups))
        self.quarantine.start()
        self._check_missing()
        self.loop.call_later(CALL_LOG_INTERVAL_S, self._log_calls)

    def _watcher(self, prefix: str, pause_s: float = 0.0) -> PrefixWatcher:
        return PrefixWatcher(
            self.loop,
            self.reader,
            prefix,
            on_list=lambda entries: None,
            on_change=lambda change: None,
            pause_s=pause_s,
        )

    def _on_live_list(self, entries: Iterable[Entry]) -> None:
        """Apply a listing of nodes and jobs, which share one watch."""
        known = list(entries)
        self.registry.apply_list(one for one in known if one.key.startswith(NODES_PREFIX))
        self.job_directory.apply_list(one for one in known if one.key.startswith(JOBS_PREFIX))
        self.quarantine.records.apply_list(
            one for one in known if one.key.startswith(QUARANTINE_PREFIX)
        )
        for one in known:
            if one.key.startswith(SHARES_PREFIX):
                self.token_ledger.apply_entry(one)

    def _on_live_change(self, change: KeyChange) -> None:
        if change.key.startswith(NODES_PREFIX):
            self.registry.apply_change(change)
        elif change.key.startswith(JOBS_PREFIX):
            self.job_directory.apply_change(change)
        elif change.key.startswith(SHARES_PREFIX):
            self.token_ledger.apply_change(change)
        elif change.key.startswith(QUARANTINE_PREFIX):
            self.quarantine.records.apply_change(change)

    def _on_operator_list(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self._on_operator_entry(entry)

    def _on_operator_entry(self, entry: Entry | None) -> None:
        if entry is None:
            return
        if entry.key == self.port.routes_key:
            try:
                table = self.port.decode_routes(entry.value)
            except InvalidData as error:
                reason = {"revision": entry.revision, "reason": str(error)}
                log.error("routes not read, the former ones stay in force", extra=reason)
                return
            self.routes.activate(table, f"revision {entry.revision}")
            return
        node = self.port.node_to_drain(entry.key)
        if node is not None:
            self.loop.spawn(self._report_drained(node), f"report {node} drained")

    async def _report_drained(self, node: NodeId) -> None:
        """Report a store VM as drained: all job data is in the platform's store."""
        done = await self.store.transact(Transaction({}, (self.port.encode_drained(node),)))
        outcome = done.message if isinstance(done, KeyValueFailure) else "reported"
        log.info("store VM is empty", extra={"node": node, "outcome": outcome})

    def _on_endpoint_list(self, entries: Iterable[Entry]) -> None:
        found = [self.port.decode_endpoint(entry) for entry in entries]
        known = {one.endpoint: one for one in found if one is not None}
        for one in known.values():
            self._log_endpoint(one.endpoint, "listed")
        self._forget_endpoints(self.directory.replace(known, self.loop.now()))

    def _on_endpoint_change(self, change: KeyChange) -> None:
        endpoint = self.port.endpoint_of_key(change.key)
        if change.entry is None:
            self._forget_endpoints(self.directory.mark_removed(endpoint, self.loop.now()))
            if endpoint in self.directory.missing:
                self._log_endpoint(endpoint, "removal deferred")
            return
        found = self.port.decode_endpoint(change.entry)
        if found is None:
            return
        before = self.directory.endpoints.get(endpoint)
        if self.directory.put(found) is not None:
            self.loads.forget(endpoint)
        if before is None or (before.leaving, before.started_ms) != (
            found.leaving,
            found.started_ms,
        ):
            self._log_endpoint(endpoint, "leaving" if found.leaving else "ready")

    def _forget_endpoints(self, removed_endpoints: Iterable[RegisteredEndpoint]) -> None:
        for entry in removed_endpoints:
            self.loads.forget(entry.endpoint)
            self._log_endpoint(entry.endpoint, "gone")

    def _log_endpoint(self, endpoint: str, state: str) -> None:
        log.info("endpoint changed", extra={"endpoint": endpoint, "state": state})

    def _log_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        log.info("endpoint limit changed", extra={"endpoint": endpoint, "per_s": per_s})

    def _log_calls(self) -> None:
        log.info("store calls", extra={"made": dict(self.store.call_counts)})
        self.loop.call_later(CALL_LOG_INTERVAL_S, self._log_calls)

    def submission_retry_s(self) -> float | None:
        """Return the retry delay for a client whose job this node refuses, or ``None``."""
        live = self.loads.fleet.live_nodes(self.loop.now())
        return submission_retry_s(self.store.failing, [report.store_failing for report in live])

    def _check_missing(self) -> None:
        self._forget_endpoints(self.directory.drop_missing(self.loop.now()))
        self.loop.call_later(MISSING_CHECK_INTERVAL_S, self._check_missing)
