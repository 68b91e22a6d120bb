"""Decode the settings file that the platform writes for a process."""

import tomllib
from pathlib import Path

import msgspec

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.setting_checks import InvalidSetting

__all__ = ["SETTINGS_VARIABLE", "read_settings", "unknown_fields"]

SETTINGS_VARIABLE = "PARSLEYROUTER_CONFIG"


class _Listen(msgspec.Struct):
    front: str
    # Readiness: whether this process accepts callers, not whether it runs.
    ready: str
    directory: str


class _Limits(msgspec.Struct, rename="camel"):
    # Share of one core of the VM that the process gets; a core is this many times a usual one.
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 256
    max_fds: int = 1024


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 8.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


class _Settings(msgspec.Struct, rename="camel"):
    node: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: _Listen
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def read_settings(path: Path, metrics_port: str = "") -> FrontOptions:
    """Return the settings in a file; raise ``BadSetting`` when they cannot be used."""
    if metrics_port and not metrics_port.isdigit():
        raise InvalidSetting("metrics-port", metrics_port, "a port, or nothing")
    try:
        found = msgspec.convert(tomllib.loads(path.read_text()), _Settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise InvalidSetting(SETTINGS_VARIABLE, str(path), f"a settings file ({error})") from error
    options = FrontOptions(
        node=NodeId(found.node),
        domain=DomainName(found.zone),
        callers=Address(found.listen.front),
        ready=Address(found.listen.ready),
        locate=Address(found.listen.directory),
        nodes=Address(f"{found.ip}:{found.internal_ports[0]}" if found.internal_ports else ""),
        key_value=Address(found.platform.address),
        metrics_port=int(metrics_port or 0),
        grace_s=found.bounds.grace_s,
        strict_revocation=found.bounds.strict_revoke,
        revoke_within_s=found.bounds.revoke_ms / 1000,
        memory_mb=found.limits.memory_mb,
        descriptors=found.limits.max_fds,
        cores=found.limits.cpu_share * found.limits.cores,
    )
    options.check()
    return options


def unknown_fields(path: Path) -> list[str]:
    """Return the settings in a file that a front process does not use and ignores."""
    known = {field.encode_name for field in msgspec.structs.fields(_Settings)}
    return sorted(tomllib.loads(path.read_text()).keys() - known)
