"""Steps for datagrams about permits."""

import socket
from contextlib import suppress
from typing import Any

import msgspec
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.limit_fleet import LimitedCallers, start_limited
from features.support.loop import run_on_loop
from parsleyrouter.connection.stream import split_address
from parsleyrouter.customers import Customer, Customers
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import Address, CustomerName
from parsleyrouter.limits.holder import Granted, ShareHolder
from parsleyrouter.limits.permit_calls import ASK_TIMEOUT_S, PermitCalls
from parsleyrouter.limits.shares import group_of, shares_of
from parsleyrouter.limits.wire import MAX_ROWS, AskRow, decode_message, encode_message
from parsleyrouter.process.boot_clock import boot_now_s

CUSTOMER = CustomerName("ant")
SHARE = shares_of(group_of(CUSTOMER))[0]
HERE = Address("127.0.0.1:0")

ODD: list[Any] = [
    [1, "127.0.0.1:9", [[1, 999, "ant", False, -1]]],
    [1, "127.0.0.1:9", [[1, SHARE, "nobody", True, 2**60]]],
    [1, "name:9", [[1, SHARE, "ant", False, -1]]],
    [1, "127.0.0.1:9", [[1, SHARE, "ant", False, -1]] * (MAX_ROWS + 1)],
    [2, [[2**61, 0, 5, 0, 0, 0]]],
    [2, [[1, 0, -5, 0, 0, 0]]],
    [3, [[SHARE, "ant", 2**60]]],
    [3, [[-1, "ant", -1]]],
    [4, []],
]


@when("any bytes and odd messages arrive on the port of asks")
def step_nonsense(context: Any) -> None:
    any_value = st.recursive(
        st.one_of(st.integers(-(2**63), 2**64 - 1), st.text(max_size=5), st.none(), st.booleans()),
        lambda inner: st.lists(inner, max_size=4),
    )

    @settings(max_examples=500)
    @given(st.one_of(st.binary(max_size=60), any_value.map(msgspec.msgpack.encode)))
    def check(data: bytes) -> None:
        with suppress(InvalidData):
            encode_message(decode_message(data))

    check()

    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 2, 20.0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for front in fleet.fronts:
                assert front.limits is not None
                to = split_address(front.limits.calls.address)
                for value in ODD:
                    sender.sendto(msgspec.msgpack.encode(value), to)
                sender.sendto(b"\x00nonsense", to)
        await fleet.loop.sleep(0.2)
        callers = LimitedCallers(fleet)
        await callers.send(10.0, 2.0)
        context.statuses = callers.statuses()

    run_with_fleet(context, scenario)


@then("a customer with a limit is served as before")
def step_served(context: Any) -> None:
    assert context.statuses.keys() == {200}, context.statuses


@when("the answer to an ask comes twice, and another one after its time")
def step_twice_and_late(context: Any) -> None:
    async def main(runtime: Any) -> None:
        holder = ShareHolder(lambda share, now: True)
        customer = Customer(CUSTOMER, 0.004, 40.0)
        holder.set_customers(Customers.of([(customer, [])]), boot_now_s())
        holder.begin(SHARE, boot_now_s(), generous=True)
        bucket = context.bucket = holder.buckets[SHARE][CUSTOMER]
        bucket.level = 8.0
        nobody = ShareHolder(lambda share, now: False)
        there = PermitCalls(runtime.loop, HERE, holder, boot_now_s)
        asker = PermitCalls(runtime.loop, HERE, nobody, boot_now_s)
        for calls in (there, asker):
            calls.datagrams.register(runtime)
        receive = asker.datagrams.on_datagram

        def twice(data: bytes) -> None:
            receive(data)
            receive(data)

        asker.datagrams.on_datagram = twice
        named: dict[str, Any] = {"returning": False, "longest_s": -1.0}
        used = await asker.ask(there.address, SHARE, CUSTOMER, **named)
        assert isinstance(used, Granted)
        row = next(iter(asker.pending))
        there._receive(_ask_again(asker, row))
        await runtime.loop.sleep(0.1)

        asker.datagrams.on_datagram = lambda data: runtime.loop.call_later(
            2 * ASK_TIMEOUT_S, lambda: receive(data)
        )
        assert await asker.ask(there.address, SHARE, CUSTOMER, **named) is None
        await runtime.loop.sleep(3 * ASK_TIMEOUT_S)

    run_on_loop(main)


def _ask_again(asker: PermitCalls, number: int) -> bytes:
    """Return the datagram of an ask, as the network doubles it."""
    return msgspec.msgpack.encode([1, asker.address, [AskRow(number, SHARE, CUSTOMER, False, -1)]])


@then("the holder has all permits but the one that was used")
def step_given_back(context: Any) -> None:
    assert 6.9 < context.bucket.level < 7.1, context.bucket.level
