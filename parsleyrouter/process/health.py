"""HTTP endpoints for health checks and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes

__all__ = ["Health", "add_health_routes"]


@dataclass
class Health:
    """Health information of a process; ``ready`` returns the reasons why it is not ready."""

    program: str
    metrics: CollectorRegistry
    ready: Callable[[], list[str]] = list
    details: Callable[[], Mapping[str, Any]] = dict


def add_health_routes(routes: Routes, health: Health) -> None:
    """Add ``/health/live``, ``/health/ready`` and ``/metrics``."""

    @routes.add("GET", "/health/live")
    async def live(_: Any, exchange: Exchange) -> HttpReply:
        return json_reply({"program": health.program, "live": True})

    @routes.add("GET", "/health/ready")
    async def ready(_: Any, exchange: Exchange) -> HttpReply:
        reasons = health.ready()
        body = {"program": health.program, "ready": not reasons, "reasons": reasons}
        return json_reply(body | dict(health.details()), status=503 if reasons else 200)

    @routes.add("GET", "/metrics")
    async def metrics(_: Any, exchange: Exchange) -> HttpReply:
        body = generate_latest(health.metrics)
        return HttpReply(200, {"content-type": CONTENT_TYPE_LATEST}, body)
