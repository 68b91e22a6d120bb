"""Steps for the ports of test processes, each taken by a process of its own."""

import json
import os
import signal
import socket
import subprocess
import sys
from typing import Any

from behave import then, when

from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address
from parsleyrouter.standins.ports import BLOCK_PORTS

LOCAL = "127.0.0.1"
ASSUMED_ID = 7
PORTS_EACH = 20


def own_host() -> str:
    """Return a loopback host that only this process uses, so that no other test takes its ports."""
    number = os.getpid()
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class PortTaker:
    """One test process that assumes a given process id."""

    def __init__(self, context: Any, host: str, assumed: int = ASSUMED_ID) -> None:
        command = [sys.executable, "-m", "features.support.port_taker", host, str(assumed)]
        self.popen = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        context.add_cleanup(self.kill)

    def call(self, command: str) -> Any:
        assert self.popen.stdin is not None and self.popen.stdout is not None
        print(command, file=self.popen.stdin, flush=True)
        return json.loads(self.popen.stdout.readline())

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()


@when("two test processes with the same block to begin at take ports, then bind them")
def step_two(context: Any) -> None:
    takers = [PortTaker(context, LOCAL) for _ in range(2)]
    context.taken = [taker.call(f"take {PORTS_EACH}") for taker in takers]
    context.failures = [takers[0].call("bind-datagrams"), takers[1].call("bind")]


@then("both bind all their ports, and none is the same")
def step_both_bound(context: Any) -> None:
    assert context.failures == ["", ""], context.failures
    assert not set(context.taken[0]) & set(context.taken[1]), context.taken


@when("a test process that holds a block and has started a program is killed")
def step_killed(context: Any) -> None:
    first, second, third = (PortTaker(context, own_host()) for _ in range(3))
    context.first = first.call("take 1")
    program = first.call("start")
    context.add_cleanup(lambda: os.kill(program, signal.SIGKILL))
    context.second = second.call("take 1")
    first.kill()
    os.kill(program, 0)
    context.third = third.call("take 1")


@then("its block is refused to another before the kill and given to a third after it")
def step_claimed_anew(context: Any) -> None:
    assert context.second != context.first
    assert context.third == context.first


@when("a test process takes more ports than a block holds")
def step_many(context: Any) -> None:
    context.taken = PortTaker(context, own_host()).call(f"take {2 * BLOCK_PORTS + 50}")


@then("no port was taken twice")
def step_each_once(context: Any) -> None:
    assert len(set(context.taken)) == len(context.taken) == 2 * BLOCK_PORTS + 50


@when("a test process takes a port while others use the next ones for TCP or UDP only")
def step_in_use(context: Any) -> None:
    taker = PortTaker(context, own_host())
    host, port = split_address(Address(taker.call("take 1")[0]))
    for offset, kind in ((1, socket.SOCK_STREAM), (2, socket.SOCK_DGRAM)):
        sock = socket.socket(socket.AF_INET, kind)
        context.add_cleanup(sock.close)
        sock.bind((host, port + offset))
    context.expected = f"{host}:{port + 3}"
    context.next = taker.call("take 1")[0]


@then("it gets the first port that is free for both")
def step_passed_over(context: Any) -> None:
    assert context.next == context.expected
