"""The composition root of a front process."""

import logging
from functools import partial
from urllib.parse import parse_qsl

from prometheus_client import generate_latest

from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.customers import Customer
from parsleyrouter.ids import Address, CustomerName
from parsleyrouter.process.address_directory import AddressDirectory
from parsleyrouter.process.caller_identity import CallerIdentity
from parsleyrouter.process.cell_methods import add_cell_methods
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
from parsleyrouter.process.stop_gate import StopGate
from parsleyrouter.process.stop_window import addresses_ttl_s
from parsleyrouter.version.route_table import RouteTable

__all__ = ["Front", "assemble_front"]

MAX_BUFFERED_SHARE = 0.2
"""Share of the process's memory for requests that are being received."""

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
    job_store = SharedJobStore(front.store)
    job_metrics = JobMetrics.of(runtime.metrics)
    owner = JobOwner(
        runtime.loop,
        job_store,
        front.job_directory,
        front.registry,
        front.exchange.members,
        front.rng,
    )
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
    front.peers = PeerServer(runtime.loop, options.nodes, methods, None, channel=channel)
    front.peers.register(runtime)
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
        PeerResultReader(runtime.loop, runtime.peers, front.registry, front.job_directory, reader),
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
    buffered_bytes = int(options.memory_mb * 1e6 * MAX_BUFFERED_SHARE)
    limits = HttpLimits(buffered_bytes=buffered_bytes, unsent_bytes=buffered_bytes)

    async def handle(exchange: CallerExchange) -> None:
        if not await job_handler.handle(exchange):
            await forwarder.handle(exchange)

    callers = ForwardServer(runtime.loop, options.callers, handle, limits).register(runtime)
    front.routes.on_change.append(partial(_apply_limits, callers))
    ready = partial(_answer_ready, front, port)
    ForwardServer(runtime.loop, options.ready, ready).register(runtime)
    if options.metrics_port:
        host = options.nodes.rpartition(":")[0]
        metrics = Address(f"{host}:{options.metrics_port}")
        ForwardServer(runtime.loop, metrics, ready).register(runtime)
    answer_locate = partial(_answer_locate, address_directory, port)
    ForwardServer(runtime.loop, options.locate, answer_locate).register(runtime)

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


def _apply_limits(server: ForwardServer, table: RouteTable) -> None:
    """Set the limits for new connections of callers; open connections keep theirs."""
    limits = table.limits
    server.limits = HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        buffered_bytes=server.limits.buffered_bytes,
        unsent_bytes=server.limits.unsent_bytes,
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
