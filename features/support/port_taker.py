"""Test process that takes ports on request: its arguments are a host and the process id to assume.

Each line of input is a command, such as ``take COUNT`` or ``bind``; it prints a line of JSON.
"""

import json
import os
import socket
import subprocess
import sys
from collections.abc import Callable

from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address
from parsleyrouter.standins import ports

taken: list[Address] = []
bound: list[socket.socket] = []


def take(count: int) -> list[Address]:
    """Take free addresses."""
    found = [ports.free_address() for _ in range(count)]
    taken.extend(found)
    return found


def bind() -> str:
    """Bind all taken addresses for TCP and UDP as agents do; return the failure, if any."""
    try:
        bound.extend(socket.create_server(split_address(address)) for address in taken)
    except OSError as error:
        return f"TCP: {error}"
    return bind_datagrams()


def bind_datagrams() -> str:
    """Bind all taken addresses for UDP only as load exchanges do; return the failure, if any."""
    for address in taken:
        bound.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        try:
            bound[-1].bind(split_address(address))
        except OSError as error:
            return f"UDP {address}: {error}"
    return ""


def start() -> int:
    """Start a program that runs on after the end of this process; return its process id."""
    return subprocess.Popen(["sleep", "60"], stdout=subprocess.DEVNULL, close_fds=False).pid


COMMANDS: dict[str, Callable[..., object]] = {
    "take": take,
    "bind": bind,
    "bind-datagrams": bind_datagrams,
    "start": start,
}


def main() -> None:
    """Run the commands."""
    ports.HOST, assumed = sys.argv[1], int(sys.argv[2])
    os.getpid = lambda: assumed
    for line in sys.stdin:
        name, *arguments = line.split()
        print(json.dumps(COMMANDS[name](*map(int, arguments))), flush=True)


if __name__ == "__main__":
    main()
