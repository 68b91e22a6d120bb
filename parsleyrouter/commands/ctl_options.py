"""Options of every parsleyctl command."""

import os
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

from cyclopts import Parameter

from parsleyrouter.commands.ctl_client import CtlClient, CtlError, ExitCode, run_call
from parsleyrouter.ids import Address
from parsleyrouter.process.options import check_address

__all__ = ["CtlOptions"]

T = TypeVar("T")


@Parameter(name="*")
@dataclass(frozen=True)
class CtlOptions:
    """The entry to call, the key to use and the output format."""

    entry: Annotated[str, Parameter(env_var="PARSLEY_ENTRY")] = "127.0.0.1:8080"
    """Address of any entry."""

    key_file: Annotated[str, Parameter(env_var="PARSLEY_KEY_FILE")] = ""
    """File that holds the operator's key; without it PARSLEY_OPERATOR_KEY is used."""

    json: bool = False
    """Print JSON for programs instead of tables."""

    def key(self) -> str:
        """Return the operator's key; raise ``CtlError`` when it is missing or unreadable."""
        if self.key_file:
            try:
                return Path(self.key_file).read_text().strip()
            except OSError as error:
                raise CtlError(f"--key-file: {error}", ExitCode.USAGE) from error
        key = os.environ.get("PARSLEY_OPERATOR_KEY", "").strip()
        if not key:
            message = "no operator's key: set PARSLEY_OPERATOR_KEY or give --key-file"
            raise CtlError(message, ExitCode.USAGE)
        return key

    def run(self, work: Callable[[CtlClient], Coroutine[Any, Any, T]]) -> T:
        """Run calls against the entry and return their result."""
        check_address("entry", self.entry)
        key = self.key()
        return run_call(lambda runtime: work(CtlClient(runtime, Address(self.entry), key)))
