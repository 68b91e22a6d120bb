"""Checks of single settings, and the error that names what is allowed."""

import re

__all__ = [
    "EXIT_INVALID_SETTING",
    "InvalidSetting",
    "address_is_valid",
    "check_address",
    "check_range",
]

EXIT_INVALID_SETTING = 2

_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class InvalidSetting(ValueError):
    """Report a setting by name, what was given and what is allowed."""

    def __init__(self, name: str, given: object, allowed: str) -> None:
        super().__init__(f"--{name}: got {given!r}; allowed: {allowed}")


def address_is_valid(value: str) -> bool:
    """Tell whether a value is ``ip:port``."""
    return bool(_ADDRESS.match(value)) and int(value.rpartition(":")[2]) <= 65535


def check_address(name: str, value: str) -> None:
    """Raise ``BadSetting`` unless the value is ``ip:port``."""
    if not address_is_valid(value):
        raise InvalidSetting(name, value, "ip:port, such as 127.0.0.1:8080")


def check_range(name: str, value: float, low: float, high: float, unit: str) -> None:
    """Raise ``BadSetting`` unless ``low <= value <= high``."""
    if not low <= value <= high:
        raise InvalidSetting(name, value, f"{low:g} to {high:g} {unit}")
