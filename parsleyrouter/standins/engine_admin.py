"""Admin routes of the stand-in engine, and control routes for tests."""

from typing import TYPE_CHECKING, Any

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.standins.engine_routes import routes
from parsleyrouter.standins.stand_in import error_reply, set_faults

if TYPE_CHECKING:
    from parsleyrouter.standins.engine import Engine

__all__ = ["STALE_FENCE_STATUS"]

STALE_FENCE_STATUS = 409
WEIGHTS_REFUSED_STATUS = 503


def _record_command(engine: "Engine", command: str, body: dict[str, Any]) -> HttpReply | None:
    """Record a command; return the refusal if its fencing number is stale."""
    fence = int(body.get("fence", 0))
    stale = fence < engine.admin_state.fence
    refused = stale and engine.spec.checks_fencing
    record = {"order": command, "body": body, "at_s": engine.loop.now()}
    engine.admin_state.record.append(record | {"stale": stale, "refused": refused})
    if refused:
        return error_reply(
            STALE_FENCE_STATUS, f"fencing number {engine.admin_state.fence} was seen"
        )
    engine.admin_state.fence = max(engine.admin_state.fence, fence)
    return None


@routes.add("POST", "/admin/load")
async def load(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Load a model; takes ``command_s`` seconds."""
    body = exchange.request.json()
    refused = _record_command(engine, "load", body)
    if refused:
        return refused
    name = str(body["model"])
    engine.admin_state.loading.add(name)
    await engine.loop.sleep(engine.spec.command_s)
    fetched = await engine.fetch_weights(name)
    engine.admin_state.loading.discard(name)
    if not fetched:
        return error_reply(WEIGHTS_REFUSED_STATUS, f"no weights of {name}: load it again later")
    engine.admin_state.models[name] = str(body.get("version", "1"))
    return _state(engine)


@routes.add("POST", "/admin/unload")
async def unload(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Unload a model; its running generations are counted."""
    body = exchange.request.json()
    refused = _record_command(engine, "unload", body)
    if refused:
        return refused
    name = str(body["model"])
    in_use = [one for one in engine.open.values() if one.generation.model == name]
    engine.admin_state.unloaded_in_use += len(in_use)
    engine.admin_state.models.pop(name, None)
    return _state(engine)


@routes.add("POST", "/admin/role")
async def role(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Change the engine's role."""
    body = exchange.request.json()
    refused = _record_command(engine, "role", body)
    if refused:
        return refused
    engine.admin_state.role = str(body["role"])
    return _state(engine)


@routes.add("GET", "/admin/state")
async def state(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Return models, role and the highest fencing number seen."""
    return _state(engine)


def _state(engine: "Engine") -> HttpReply:
    admin_state = engine.admin_state
    body = {"models": admin_state.models, "role": admin_state.role, "fence": admin_state.fence}
    return json_reply(body | {"loading": sorted(admin_state.loading)})


@routes.add("POST", "/control/faults")
async def faults(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Set faults."""
    return set_faults(engine.faults, exchange.request.json())


@routes.add("POST", "/control/crash")
async def crash(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Crash: drop all generations."""
    return json_reply({"lost": engine.crash()})


@routes.add("GET", "/control/executions")
async def executions(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Return the records of executions, filtered by ``?key=`` if given, and the actual load."""
    key = exchange.request.query.get("key")
    body = {
        "executions": engine.report(lambda one: key is None or one.key == key),
        "counts": dict(engine.counts),
        "running": len(engine.batch.running),
        "waiting": len(engine.batch.waiting),
        "crashes": engine.crashes,
    }
    return json_reply(body)


@routes.add("GET", "/control/orders")
async def orders(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Return the commands received and how many generations ran on models when unloaded."""
    kept = engine.admin_state
    return json_reply({"orders": kept.record, "unloaded_in_use": kept.unloaded_in_use})
