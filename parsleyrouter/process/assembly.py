"""Composition root: constructs and connects the components of each program."""

import logging
from pathlib import Path

from parsleyrouter.connection.api_settings import SettingsApi, add_settings_routes
from parsleyrouter.connection.authentication import Authentication
from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.connection.etcd import EtcdKeyValue
from parsleyrouter.connection.http_server import HttpServer, Routes
from parsleyrouter.connection.public_http_server import PublicHttpServer
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.batch_runner import BatchRunner
from parsleyrouter.process.call_dispatcher import CallDispatcher
from parsleyrouter.process.chunk_client import ChunkClient, ChunkLimits
from parsleyrouter.process.chunk_repair import ChunkRepair
from parsleyrouter.process.chunk_server import ChunkServer
from parsleyrouter.process.engine_reconciler import EngineReconciler
from parsleyrouter.process.entry import EntryContext, entry_routes
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.fleet_view import Service
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.graceful_shutdown import GracefulShutdown, leave_before_stop
from parsleyrouter.process.grants import GrantClient
from parsleyrouter.process.health import Health, add_health_routes
from parsleyrouter.process.idempotency_claims import IdempotencyClaims
from parsleyrouter.process.job_service import JobService
from parsleyrouter.process.operators import Operators
from parsleyrouter.process.options import NodeOptions
from parsleyrouter.process.role_options import BatchOptions, EntryOptions, FollowerOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.scheduler import Scheduler
from parsleyrouter.process.settings_editor import SettingsEditor
from parsleyrouter.process.store_options import GIGABYTE_BYTES, StoreOptions
from parsleyrouter.process.team_limiter import TeamLimiter

__all__ = ["assemble_batch", "assemble_entry", "assemble_scheduler", "assemble_store"]

KEY_VALUE_BURST_S = 2.0

log = logging.getLogger(__name__)

Addresses = dict[str, Address]
"""Bound addresses by protocol: ``http``, ``peer`` or ``agent``."""


def assemble_entry(runtime: Runtime, options: EntryOptions) -> Addresses:
    """Assemble an entry: HTTP for callers and operators, and the agent of the VM."""
    kv = _key_value(runtime, options)
    node = NodeId(options.node)
    agent = Agent(runtime, options, kv, node=node, domain=DomainName(options.domain))
    grants = _agent_grants(runtime, agent)
    limits = ChunkLimits(min_copies=options.min_copies)
    chunks = ChunkClient(runtime, agent, kv=kv, limits=limits)
    context = EntryContext(
        runtime=runtime,
        view=agent,
        calls=CallDispatcher(runtime, grants, agent),
        jobs=JobService(runtime, kv, chunks, agent),
        authentication=Authentication(agent),
        limits=TeamLimiter(),
        locator=EntryLocator(runtime.loop, agent, options.locate_ttl_s),
        claims=IdempotencyClaims(runtime.loop, kv, node),
    )
    routes = entry_routes()
    settings_editor = SettingsEditor(runtime, kv, agent.apply_accepted)
    operators = Operators(agent, options.operator_key_sha256)
    add_settings_routes(routes, SettingsApi(settings_editor, agent, operators))
    add_health_routes(
        routes, Health("parsley-entry", runtime.metrics, lambda: _settings_problems(agent))
    )
    server = PublicHttpServer(runtime.loop, Address(options.http), routes, context)
    server.register(runtime)
    agent.set_service(Service.ENTRY, server.bound_address())
    agent.start()
    EngineReconciler(runtime, kv, agent).start()

    GracefulShutdown(runtime, agent, context.locator, server, stop_timeout_s=options.stop_limit_s)
    return _log_ready(runtime, {"http": server.bound_address(), "agent": agent.address})


def assemble_scheduler(runtime: Runtime, options: FollowerOptions) -> Addresses:
    """Assemble a scheduler: grants slots of the endpoints that hash to this node."""
    follower = _follower(runtime, options, Service.SCHEDULER)
    scheduler = Scheduler(runtime, Address(options.peer), follower)
    follower.serve(scheduler.bound_address())
    follower.start()
    peer = scheduler.bound_address()
    leave_before_stop(runtime, follower)
    return _serve_health(runtime, options, "parsley-scheduler", follower, peer)


def assemble_batch(runtime: Runtime, options: BatchOptions) -> Addresses:
    """Assemble a batch process: claims and runs parts of jobs."""
    kv = _key_value(runtime, options)
    follower = _follower(runtime, options, Service.BATCH)
    chunk_limits = ChunkLimits(min_copies=options.min_copies)
    chunks = ChunkClient(runtime, follower, kv=kv, limits=chunk_limits)
    runners: list[BatchRunner] = []
    grants = GrantClient(runtime, follower, lambda: runners[0].address())
    calls = CallDispatcher(runtime, grants, follower)
    limits = BatchLimits(parts=options.parts, items_at_once=options.items_at_once)
    runner = BatchRunner(runtime, Address(options.peer), kv, chunks, follower, calls, limits=limits)
    runners.append(runner)
    runner.peer.methods = runner.peer.methods.copy()
    grants.add_grant_methods(runner.peer.methods)
    follower.serve(runner.address())
    follower.start()
    runtime.on_stop(runner.stop)
    leave_before_stop(runtime, follower)
    return _serve_health(runtime, options, "parsley-batch", follower, runner.address())


def assemble_store(runtime: Runtime, options: StoreOptions) -> Addresses:
    """Assemble a chunk store: immutable chunks under one data folder."""
    follower = _follower(runtime, options, Service.STORE)
    store = ChunkServer(
        runtime,
        Address(options.peer),
        Path(options.data) / "chunks",
        limit_bytes=int(options.limit_gb * GIGABYTE_BYTES),
    )
    follower.serve(store.address())
    follower.start()
    repair = ChunkRepair(runtime, follower, store, mb_per_s=options.repair_mb_s)
    runtime.on_stop(repair.drain)
    leave_before_stop(runtime, follower)
    return _serve_health(runtime, options, "parsley-store", follower, store.address())


def _key_value(runtime: Runtime, options: NodeOptions) -> EtcdKeyValue:
    rate = options.key_value_calls_per_s
    budget = BudgetSettings(calls_per_s=rate, burst_calls=KEY_VALUE_BURST_S * rate)
    return EtcdKeyValue(runtime, options.key_value, budget=budget)


def _agent_grants(runtime: Runtime, agent: Agent) -> GrantClient:
    grants = GrantClient(runtime, agent, lambda: agent.address)
    agent.server.methods = agent.server.methods.copy()
    grants.add_grant_methods(agent.server.methods)
    return grants


def _follower(runtime: Runtime, options: FollowerOptions, service: Service) -> Follower:
    return Follower(
        runtime,
        Address(options.agent),
        service,
        Address(""),
        node=NodeId(options.node),
        domain=DomainName(options.domain),
    )


def _settings_problems(view: Agent | Follower) -> list[str]:
    if view.settings().revision:
        return []
    return ["no active settings yet: is the key-value service running and configured?"]


def _follower_problems(follower: Follower) -> list[str]:
    if not follower.agent_reachable:
        return [f"the agent at {follower.agent} does not answer: is parsley-entry running?"]
    return _settings_problems(follower)


def _serve_health(
    runtime: Runtime,
    options: NodeOptions,
    program: str,
    follower: Follower,
    peer: Address,
) -> Addresses:
    routes = Routes()
    add_health_routes(
        routes, Health(program, runtime.metrics, lambda: _follower_problems(follower))
    )
    server = HttpServer(runtime.loop, Address(options.http), routes, None).register(runtime)
    return _log_ready(runtime, {"http": server.bound_address(), "peer": peer})


def _log_ready(runtime: Runtime, addresses: Addresses) -> Addresses:
    runtime.loop.call_later(0.0, lambda: log.info("ready", extra={"addresses": addresses}))
    return addresses
