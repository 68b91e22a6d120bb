"""Validation of single options, and the error that reports the allowed values."""

import re

__all__ = [
    "EXIT_INVALID_SETTING",
    "InvalidSetting",
    "address_is_valid",
    "check_address",
    "check_range",
]

EXIT_INVALID_SETTING = 2

MAX_PORT = 65535

_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")


class InvalidSetting(ValueError):
    """Report an invalid option: its name, the given value and the allowed values."""

    def __init__(self, name: str, given: object, allowed: str) -> None:
        super().__init__(f"--{name}: got {given!r}; allowed: {allowed}")


def address_is_valid(value: str, lowest_port: int = 0) -> bool:
    """Return whether a value has the form ``ip:port``; port 0 stands for any free one."""
    if not _ADDRESS.fullmatch(value):
        return False
    host, _, port = value.rpartition(":")
    octets = [int(part) for part in host.split(".")]
    return max(octets) <= 255 and lowest_port <= int(port) <= MAX_PORT


def check_address(name: str, value: str) -> None:
    """Raise ``InvalidSetting`` unless the value has the form ``ip:port``."""
    if not address_is_valid(value):
        raise InvalidSetting(name, value, "ip:port, such as 127.0.0.1:8080")


def check_range(name: str, value: float, low: float, high: float, unit: str) -> None:
    """Raise ``InvalidSetting`` unless ``low <= value <= high``."""
    if not low <= value <= high:
        raise InvalidSetting(name, value, f"{low:g} to {high:g} {unit}")
