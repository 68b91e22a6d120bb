"""Read the operator's configuration as it is written, for the check of a configuration."""

from typing import Any

import msgspec

from parsleyrouter.config_check.document import ConfigDocument, WrittenProblem
from parsleyrouter.decoding import JSON_ERRORS, InvalidData
from parsleyrouter.ids import ServiceName
from parsleyrouter.nearest import nearest_name
from parsleyrouter.platform.routes import CONFIG_STRUCT, ROUTE_KINDS, decode_routes

__all__ = ["read_document"]

MIN_VALUES = {"maxAttempts": 1, "maxCount": 0}
"""Numbers of a route that nodes raise to these values."""

SECRET_SECTION = "tenants"


def read_document(data: bytes) -> ConfigDocument:
    """Return a configuration with what nodes ignore or refuse in it."""
    try:
        raw: Any = msgspec.json.decode(data)
    except JSON_ERRORS as error:
        return ConfigDocument(None, f"{type(error).__name__}: {error}")
    written = [*_unknown_names(raw, CONFIG_STRUCT, ""), *_unused_values(raw)]
    try:
        table = decode_routes(data)
    except InvalidData as error:
        return ConfigDocument(None, str(error), written=tuple(written))
    services = tuple(ServiceName(one["name"]) for one in raw.get("services", ()))
    return ConfigDocument(table, services=services, written=tuple(written))


def _unknown_names(value: Any, wanted: Any, place: str) -> list[WrittenProblem]:
    """Return the names that a struct does not have, with the nearest known ones."""
    found: list[WrittenProblem] = []
    if isinstance(wanted, msgspec.inspect.UnionType):
        for one in wanted.types:
            found += _unknown_names(value, one, place)
    elif isinstance(wanted, msgspec.inspect.ListType) and isinstance(value, list):
        for index, one in enumerate(value):
            found += _unknown_names(one, wanted.item_type, f"{place}[{index}]")
    elif isinstance(wanted, msgspec.inspect.StructType) and isinstance(value, dict):
        known = {field.encode_name: field.type for field in wanted.fields}
        for name, one in value.items():
            inner = f"{place}.{name}" if place else name
            if name in known:
                found += _unknown_names(one, known[name], inner)
                continue
            nearest = nearest_name(name, known)
            remedy = f"write {nearest!r}" if nearest else "remove it"
            if nearest is None and inner.startswith(SECRET_SECTION):
                # It may be a key in the wrong place.
                inner = f"{place}.?"
            found.append(WrittenProblem(inner, "nodes do not know this name", remedy, ignored=True))
    return found


def _unused_values(raw: Any) -> list[WrittenProblem]:
    """Return the values of routes that nodes replace, and routes that they leave out."""
    found: list[WrittenProblem] = []
    routes = raw.get("routes") if isinstance(raw, dict) else None
    for index, route in enumerate(routes if isinstance(routes, list) else ()):
        if not isinstance(route, dict):
            continue
        place = f"routes[{index}]"
        kind = route.get("kind", "safe")
        if isinstance(kind, str) and kind not in ROUTE_KINDS:
            nearest = nearest_name(kind, ROUTE_KINDS)
            remedy = f"write {nearest!r}" if nearest else f"write one of {', '.join(ROUTE_KINDS)}"
            problem = f"nodes leave out the route: they do not know the kind {kind!r}"
            found.append(WrittenProblem(f"{place}.kind", problem, remedy, ignored=False))
        for name, least in MIN_VALUES.items():
            value = route.get(name)
            if isinstance(value, int) and value < least:
                problem = f"{value} is below {least}, which nodes use instead"
                remedy = f"write {least} or more"
                found.append(WrittenProblem(f"{place}.{name}", problem, remedy, ignored=False))
    return found
