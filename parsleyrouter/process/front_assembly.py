"""The composition root of a front process."""

import logging
from dataclasses import replace
from functools import partial
from typing import Any
from urllib.parse import parse_qsl

from prometheus_client import generate_latest

from parsleyrouter.connection.forward_server import AnswerExchange, CallerExchange, ForwardServer
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.connection.peer_limits import PeerLimits
from parsleyrouter.customers import Customer
from parsleyrouter.ids import Address, CustomerName
from parsleyrouter.process.address_directory import AddressDirectory
from parsleyrouter.process.caller_identity import CallerIdentity
from parsleyrouter.process.cell_methods import add_cell_methods
from parsleyrouter.process.client_budget import ClientPort, PortBudget, divide_budget
from parsleyrouter.process.client_metrics import ClientMetrics
from parsleyrouter.process.customer_limits import CustomerLimits
from parsleyrouter.process.forward_metrics import ForwardMetrics
from parsleyrouter.process.forwarder import Forwarder
from parsleyrouter.process.front import LIVE_PREFIX, Front
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.front_shutdown import FrontShutdown
from parsleyrouter.process.job_lookup import JobLookup, UnknownJobReads
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_reader import JobReader
from parsleyrouter.process.job_submission import JobSubmission
from parsleyrouter.process.job_worker import JobWorker
from parsleyrouter.process.peer_results import PeerResultReader, add_result_methods
from parsleyrouter.process.platform_port import PlatformPort
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.shared_job_handler import SharedJobHandler
from parsleyrouter.process.shared_job_store import SharedJobStore
from parsleyrouter.process.speed_metrics import SpeedCollector
from parsleyrouter.process.stop_gate import StopGate
from parsleyrouter.process.stop_window import addresses_ttl_s
from parsleyrouter.version.route_table import RouteTable

__all__ = ["Front", "assemble_front"]

PLAIN_BODY_BYTES = 4096
"""Largest body of a request to a port whose calls have none."""

NODE_FRAME_BYTES = 64 * 1024
"""Largest call of another node; answers may be larger."""

log = logging.getLogger(__name__)


def assemble_front(runtime: Runtime, options: FrontOptions, port: PlatformPort) -> Front:
    """Connect the components of a front process: callers, locate, readiness, batch jobs, loads."""
    front = Front(runtime, options, port)
    gate = StopGate(runtime.loop, front.exchange.members)
    identity = CallerIdentity(
        front.routes,
        port.headers,
        options.strict_revocation,
        options.revoke_within_s,
        partial(front.reader.answer_age_s, port.operator_prefix),
    )
    front.reader.wait_bounds[port.operator_prefix] = identity.max_read_wait_s
    forwarder = Forwarder(
        front.forward_context,
        front.routes,
        front.directory,
        options.domain,
        ForwardMetrics.of(runtime.metrics),
        front.rng,
        gate,
        identity,
    )
    front.forwarder = forwarder
    runtime.metrics.register(SpeedCollector(runtime.loop, front.directory, front.loads.speeds))
    job_store = SharedJobStore(front.store)
    job_metrics = JobMetrics.of(runtime.metrics)
    budget = divide_budget(options.memory_mb, options.descriptors)
    owner = JobOwner(
        runtime.loop,
        job_store,
        front.job_directory,
        front.registry,
        front.exchange.members,
        front.rng,
    )
    owner.memory.limit_bytes = budget.job_bytes
    client_metrics = ClientMetrics(runtime.metrics, owner.memory)
    worker = JobWorker(
        front.forward_context,
        owner,
        front.exchange,
        front.routes,
        front.directory,
        job_metrics,
        front.rng,
    )
    front.worker = worker
    front.job_directory.on_change.append(worker.order.nodes.update_job)
    front.exchange.on_load_report.append(worker.preemption.on_load_report)
    reader = JobReader(runtime.loop, front.store, job_store)
    reader.listed_here, owner.on_listed = owner.listed, reader.add_results
    methods = PeerMethods()
    add_cell_methods(methods, front.reader)
    add_result_methods(methods, front.job_directory, reader)
    channel = f"nodes-{options.nodes}"
    limits = _peer_limits(budget.ports[ClientPort.NODES])
    front.peers = PeerServer(runtime.loop, options.nodes, methods, None, channel, limits)
    client_metrics.servers[ClientPort.NODES] = front.peers.register(runtime)
    lookup = JobLookup(front.routes, front.job_directory)
    submission = JobSubmission(
        runtime.loop,
        job_store,
        owner,
        front.registry,
        lookup,
        front.token_ledger,
        front.submission_retry_s,
    )
    job_handler = SharedJobHandler(
        runtime.loop,
        job_store,
        reader,
        PeerResultReader(
            runtime.loop, runtime.peers, front.exchange.members, front.job_directory, reader
        ),
        front.job_directory,
        submission,
        lookup,
        identity,
        UnknownJobReads(options.key_value_calls_per_s),
        job_metrics,
        gate,
        port.decode_job_call,
        port.encode_results,
    )
    address_directory = AddressDirectory(front.exchange.members, addresses_ttl_s(options.grace_s))

    async def handle(exchange: CallerExchange) -> None:
        if not await job_handler.handle(exchange):
            await forwarder.handle(exchange)

    def serve(port: ClientPort, bind: Address, answer: AnswerExchange) -> ForwardServer:
        limits = _limits(budget.ports[port], body_bytes=PLAIN_BODY_BYTES)
        server = ForwardServer(runtime.loop, bind, answer, limits).register(runtime)
        client_metrics.servers[port] = server
        return server

    callers = serve(ClientPort.CALLERS, options.callers, handle)
    callers_budget = budget.ports[ClientPort.CALLERS]
    callers.limits = _limits(callers_budget)
    front.routes.on_change.append(partial(_apply_limits, callers, callers_budget))
    ready = partial(_answer_ready, front, port)
    serve(ClientPort.READY, options.ready, ready)
    if options.metrics_port:
        host = options.nodes.rpartition(":")[0]
        serve(ClientPort.METRICS, Address(f"{host}:{options.metrics_port}"), ready)
    serve(ClientPort.LOCATE, options.locate, partial(_answer_locate, address_directory, port))

    if options.limits:
        front.limits = CustomerLimits(
            runtime,
            options,
            front.exchange.members,
            front.reader,
            LIVE_PREFIX,
            lambda name: _find_customer(front, name),
        )
        front.routes.on_change.append(front.limits.apply_routes)
        forwarder.limiter = front.limits.limiter
    else:
        front.routes.on_change.append(_report_unlimited)
    front.registry.start()
    front.exchange.start()
    front.start_watching()
    worker.start()
    shutdown = FrontShutdown(
        runtime.loop,
        front.registry,
        front.exchange,
        callers,
        owner,
        gate,
        options.grace_s,
        port.headers.request,
    )
    if front.limits is not None:
        shutdown.before_leaving.append(front.limits.keeper.release)
    runtime.on_stop(shutdown.run)
    log.info("started", extra={"node": options.node, "callers": options.callers})
    return front


def _limits(budget: PortBudget, **limits: Any) -> HttpLimits:
    """Return the limits of a port; one request within them always fits its memory."""
    found = HttpLimits(**limits)
    one_request = 2 * (found.body_bytes + found.header_bytes)
    return replace(
        found,
        buffered_bytes=max(budget.received_bytes, one_request),
        unsent_bytes=budget.unsent_bytes,
        connections=budget.connections,
    )


def _peer_limits(budget: PortBudget) -> PeerLimits:
    return PeerLimits(
        frame_bytes=NODE_FRAME_BYTES,
        held_bytes=budget.received_bytes // 2,
        open_call_bytes=budget.received_bytes // 2,
        unsent_bytes_in_sum=budget.unsent_bytes,
        connections=budget.connections,
    )


def _apply_limits(server: ForwardServer, budget: PortBudget, table: RouteTable) -> None:
    """Set the limits for new connections of callers; open connections keep theirs."""
    limits = table.limits
    server.limits = _limits(
        budget,
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _report_unlimited(table: RouteTable) -> None:
    if any(one.limited for one in table.customers.by_name.values()):
        log.error("limits of customers are not applied: allow two ports between nodes")


def _find_customer(front: Front, name: CustomerName) -> Customer | None:
    table = front.routes.table
    return None if table is None else table.customers.by_name.get(name)


async def _answer_ready(front: Front, port: PlatformPort, exchange: CallerExchange) -> None:
    if exchange.head.path == "/metrics":
        exchange.reply(200, _TEXT, generate_latest(front.runtime.metrics))
    elif exchange.head.path == port.ready_path:
        ready = front.routes.table is not None and not front.registry.leaving
        exchange.reply(200 if ready else 503, _TEXT, b"")
    else:
        exchange.reply(404, _TEXT, b"")


async def _answer_locate(
    address_directory: AddressDirectory, port: PlatformPort, exchange: CallerExchange
) -> None:
    if exchange.head.path != port.locate_path:
        exchange.reply(404, _TEXT, b"")
        return
    domain = port.caller_domain(dict(parse_qsl(exchange.head.query)))
    found = address_directory.for_domain(domain)
    body = port.encode_addresses(found.addresses, found.ttl_s)
    exchange.reply(200 if found.nodes else 503, [(b"Content-Type", JSON_TYPE.encode())], body)
    if not address_directory.note_for_log(domain, found):
        return
    fields = {
        "remote": exchange.remote,
        "domain": domain,
        "nodes": [info.node for info in found.nodes],
        "leaving": found.leaving,
        "ttl_s": found.ttl_s,
    }
    log.log(logging.INFO if found.nodes else logging.WARNING, "addresses listed", extra=fields)


_TEXT = [(b"Content-Type", b"text/plain; charset=utf-8")]
