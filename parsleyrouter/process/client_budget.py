"""Divide what clients may make a process hold among its ports.

Load: clients that send, wait or do not read without end, at any port. Each port has a part of its
own, so that what one holds never keeps out the clients of another.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

__all__ = ["ClientBudget", "ClientPort", "PortBudget", "divide_budget"]

RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files; sockets share the others."""


class ClientPort(Enum):
    """The ports of a process that others connect to."""

    CALLERS = "callers"
    LOCATE = "locate"
    READY = "ready"
    METRICS = "metrics"
    NODES = "nodes"


@dataclass(frozen=True)
class PortBudget:
    """What the clients of one port may make the process hold, in all."""

    received_bytes: int
    unsent_bytes: int
    connections: int


@dataclass(frozen=True)
class _Shares:
    received: float
    unsent: float
    connections: float


_SHARES: Mapping[ClientPort, _Shares] = {
    ClientPort.CALLERS: _Shares(received=0.12, unsent=0.08, connections=0.35),
    ClientPort.NODES: _Shares(received=0.03, unsent=0.04, connections=0.14),
    ClientPort.LOCATE: _Shares(received=0.01, unsent=0.01, connections=0.08),
    ClientPort.READY: _Shares(received=0.01, unsent=0.01, connections=0.03),
    ClientPort.METRICS: _Shares(received=0.01, unsent=0.01, connections=0.03),
}
"""Shares of the process's memory and of its sockets.

The sockets that are left suffice for a connection to an endpoint for each caller.
"""

JOBS_MEMORY_SHARE = 0.12
"""Share of the process's memory for the items of batch jobs that it runs."""


@dataclass(frozen=True)
class ClientBudget:
    """What all clients may make the process hold."""

    ports: Mapping[ClientPort, PortBudget]
    job_bytes: int


def divide_budget(memory_mb: int, descriptors: int) -> ClientBudget:
    """Divide a process's memory and descriptors among its ports and batch jobs."""
    memory_bytes = memory_mb * 1_000_000
    sockets = descriptors - min(RESERVED_DESCRIPTORS, descriptors // 2)
    ports = {
        port: PortBudget(
            received_bytes=int(memory_bytes * shares.received),
            unsent_bytes=int(memory_bytes * shares.unsent),
            connections=max(2, int(sockets * shares.connections)),
        )
        for port, shares in _SHARES.items()
    }
    return ClientBudget(ports, int(memory_bytes * JOBS_MEMORY_SHARE))
