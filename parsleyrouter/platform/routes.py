"""Decode the operator's configuration record into a route table."""

from typing import Any

import msgspec

from parsleyrouter.decoding import decode_json
from parsleyrouter.ids import RouteName, ServiceName
from parsleyrouter.platform.customers import CustomerEntry, decode_customers
from parsleyrouter.version.route_table import (
    CallerLimits,
    EngineConfig,
    Route,
    RouteKind,
    RouteTable,
    ServiceConfig,
    Target,
)

__all__ = ["CONFIG_STRUCT", "OPERATOR_PREFIX", "ROUTES_KEY", "ROUTE_KINDS", "decode_routes"]

OPERATOR_PREFIX = "op/"
ROUTES_KEY = "op/config"


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str = "safe"
    service: str = ""
    traffic_split: list[_Split] = []
    timeout_ms: float = 30_000
    target_latency_ms: float = 1000
    # Maximum number of endpoints on which one request may run, not of sends.
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    gap_aim_ms: float = 0
    # Time from the submission of a job until all its results are due.
    run_target_ms: float = 0
    # Time after which an item may be given up, not how long results are kept.
    retention_s: float = 0
    # Tokens of batch items that may wait on the route, of each customer where there are customers;
    # 0 means no limit.
    max_count: int = 0
    # Whether requests need no key of a customer.
    allow_anonymous: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    kv_capacity: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[CustomerEntry] | None = None


CONFIG_STRUCT = msgspec.inspect.type_info(_Config)
"""The fields of the record, for tools that compare a record with them."""


def decode_routes(data: bytes) -> RouteTable:
    """Return the route table; raise ``InvalidData`` when the record cannot be read."""
    config = decode_json(data, _Config, strict=False)
    limits = config.limits
    services = [_service(service) for service in config.services]
    return RouteTable(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes if route.kind in _KINDS_BY_NAME),
        services={service.name: service for service in services},
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        customers=decode_customers(config.tenants or ()),
    )


_KINDS_BY_NAME: dict[str, Any] = {kind.value: kind for kind in RouteKind}

ROUTE_KINDS = tuple(_KINDS_BY_NAME)


def _route(route: _Route) -> Route:
    split = [Target(ServiceName(one.service), one.weight) for one in route.traffic_split]
    return Route(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS_BY_NAME[route.kind],
        targets=tuple(split) or (Target(ServiceName(route.service)),),
        timeout_s=route.timeout_ms / 1000,
        latency_target_s=route.target_latency_ms / 1000,
        max_executions=max(1, route.max_attempts),
        priority=route.priority,
        resumable=route.resumable,
        max_pause_s=route.gap_aim_ms / 1000,
        job_target_s=route.run_target_ms / 1000,
        job_retention_s=route.retention_s,
        max_waiting_tokens=max(0, route.max_count),
        anonymous=route.allow_anonymous,
    )


def _service(service: _Service) -> ServiceConfig:
    engine = service.engine
    traits = EngineConfig(engine.slots, engine.kv_capacity) if engine is not None else None
    return ServiceConfig(ServiceName(service.name), service.max_connections, traits)
