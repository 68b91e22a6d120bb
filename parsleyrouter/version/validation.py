"""Validate a whole subtree and report all errors at once."""

from dataclasses import dataclass
from typing import Any, get_args

from pydantic import BaseModel, ValidationError

from parsleyrouter.version.paths import FLEET, closest_match
from parsleyrouter.version.schema import FleetSettings, TeamSettings

__all__ = ["SettingError", "schema_of", "validate"]


@dataclass(frozen=True)
class SettingError:
    """One validation error: the path, what is wrong and how to correct it."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def schema_of(subtree: str) -> type[FleetSettings] | type[TeamSettings]:
    """Return the schema of a subtree."""
    return FleetSettings if subtree == FLEET else TeamSettings


def validate(subtree: str, value: Any) -> tuple[SettingError, ...]:
    """Return all validation errors of a subtree's value."""
    model = schema_of(subtree)
    try:
        model.model_validate(value)
    except ValidationError as error:
        return tuple(_fault(subtree, model, dict(detail)) for detail in error.errors())
    return ()


def _fault(subtree: str, model: type[BaseModel], detail: dict[str, Any]) -> SettingError:
    location = tuple(str(part) for part in detail["loc"] if part != "[key]")
    path = "/" + "/".join((subtree, *location))
    if detail["type"] == "extra_forbidden":
        known = _fields_at(model, location[:-1])
        hint = closest_match(location[-1], known)
        return SettingError(path, f"unknown setting: did you mean {hint}?")
    return SettingError(path, f"got {detail['input']!r}: {detail['msg']}")


def _fields_at(model: type[BaseModel], location: tuple[str, ...]) -> list[str]:
    current: Any = model
    for segment in location:
        if isinstance(current, type) and issubclass(current, BaseModel):
            current = current.model_fields[segment].annotation
        else:
            current = get_args(current)[-1]
    return list(current.model_fields)
