"""Values, drafts and settings files passed to parsleyctl."""

import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from parsleyrouter.commands.ctl_client import CtlError, ExitCode
from parsleyrouter.version.paths import SettingsPath, parse_path

__all__ = ["load_file", "parse_value", "read_draft", "write_draft"]


def parse_value(text: str) -> Any:
    """Decode a text as JSON; return a text that is not JSON unchanged."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def write_draft(file: Path, found: Any) -> None:
    """Write a path, its value and its version as JSON for editing."""
    draft = {name: found[name] for name in ("path", "version", "value")}
    file.write_bytes(msgspec.json.format(msgspec.json.encode(draft), indent=2) + b"\n")


def read_draft(file: Path, path: SettingsPath) -> Any:
    """Read a draft; raise ``CtlError`` when it is unreadable or of another path."""
    try:
        draft = msgspec.json.decode(file.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        message = f"{file} cannot be read, nothing was changed: {error}"
        raise CtlError(message, ExitCode.USAGE) from error
    if not isinstance(draft, dict) or draft.get("path") != str(path):
        message = f"{file} is no draft of {path}: name another file"
        raise CtlError(message, ExitCode.USAGE)
    return draft


def load_file(file: Path) -> dict[SettingsPath, Any]:
    """Read paths and values from JSON or TOML, ``-`` being standard input; raise ``CtlError``."""
    try:
        data = sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
        toml = file.suffix == ".toml"
        content = tomllib.loads(data.decode()) if toml else msgspec.json.decode(data)
    except (OSError, ValueError, msgspec.DecodeError) as error:
        raise CtlError(f"{file}: {error}", ExitCode.USAGE) from error
    if not isinstance(content, dict):
        raise CtlError(f"{file}: use an object of paths and values", ExitCode.USAGE)
    return {parse_path(path): value for path, value in content.items()}
