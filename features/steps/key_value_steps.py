"""Steps for the key-value client against the stand-in service."""

from collections.abc import Callable
from typing import Any

from behave import then, when
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from features.support.agents import until
from features.support.loop import run_on_loop
from features.support.stand_ins import UNLIMITED_BUDGET, serve_key_value
from parsleyrouter.connection.etcd import EtcdKeyValue
from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyChange,
    KeyValue,
    KeyValueFailure,
    WriteApplied,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.fault_proxy import FaultProxy
from parsleyrouter.standins.key_value_server import KeyValueServer
from parsleyrouter.standins.key_value_store import KeyValueStore
from parsleyrouter.standins.memory_key_value import MemoryKeyValue

KEYS = st.sampled_from(["/a/1", "/a/1", "/a/2/x", "/é/1"])
PREFIXES = st.sampled_from(["/a/", "/a", "/é/", "/a/2"])
EXPECTATIONS = st.sampled_from(["absent", "current", "stale"])
LEASES = st.sampled_from([0, 0, 1001, 1002, 4000])
OPERATIONS = st.one_of(
    st.tuples(st.just("get"), KEYS),
    st.tuples(st.just("scan"), PREFIXES, KEYS | st.just(""), st.integers(1, 4)),
    st.tuples(st.just("swap"), KEYS, st.binary(max_size=8), EXPECTATIONS, LEASES),
    st.tuples(st.just("delete"), KEYS, EXPECTATIONS),
    st.tuples(st.just("grant"), st.integers(60, 90)),
    st.tuples(st.just("renew"), LEASES),
    st.tuples(st.just("revoke"), LEASES),
)


def expected_revision(store: KeyValueStore, key: str, expectation: str) -> Revision:
    entry = store.get(key)
    if expectation == "absent" or entry is None:
        return ABSENT
    return entry.revision if expectation == "current" else Revision(entry.revision - 1)


async def operate(key_value: KeyValue, store: KeyValueStore, operation: tuple[Any, ...]) -> Any:
    match operation:
        case ("get", key):
            return await key_value.get(key)
        case ("scan", prefix, after, limit):
            return await key_value.scan(prefix, after=after, limit=limit)
        case ("swap", key, value, expectation, lease):
            expected = expected_revision(store, key, expectation)
            return await key_value.compare_and_swap(key, value, expected, lease=lease)
        case ("delete", key, expectation):
            return await key_value.delete(key, expected_revision(store, key, expectation))
        case ("grant", ttl_s):
            return await key_value.grant(float(ttl_s))
        case (("renew" | "revoke") as name, lease):
            return await getattr(key_value, name)(lease)
    raise AssertionError(operation)


def comparable(outcome: Any) -> Any:
    if isinstance(outcome, KeyValueFailure):
        return outcome.kind, outcome.maybe_applied
    return outcome


@when("key-value: any sequence of operations runs over HTTP and in memory")
def run_both(context: Any) -> None:
    context.pairs = []

    @settings(max_examples=100)
    @given(st.lists(OPERATIONS, min_size=5, max_size=25))
    def check(operations: list[tuple[Any, ...]]) -> None:
        async def main(runtime: Runtime) -> None:
            server, over_http = await serve_key_value(runtime)
            in_memory = MemoryKeyValue(runtime.loop)
            for operation in operations:
                http_outcome = await operate(over_http, server.store, operation)
                memory_outcome = await operate(in_memory, in_memory.store, operation)
                context.pairs.append(
                    (operation, comparable(http_outcome), comparable(memory_outcome))
                )

        run_on_loop(main)

    check()


@then("key-value: every outcome is the same")
def outcomes_are_equal(context: Any) -> None:
    kinds = {type(http_outcome) for _, http_outcome, _ in context.pairs}
    assert {WriteApplied, Conflict, Entry} <= kinds, kinds
    for operation, http_outcome, memory_outcome in context.pairs:
        assert http_outcome == memory_outcome, (operation, http_outcome, memory_outcome)


@when("key-value: keys change while the connection breaks and the service is down")
def change_and_break(context: Any) -> None:
    context.seen = []
    events = st.sampled_from(["put", "put", "delete", "break", "outage", "back", "pause"])

    # A failing example runs until its timeout, so examples are not shrunk.
    @settings(max_examples=12, phases=[Phase.generate])
    @given(st.lists(events, min_size=5, max_size=30))
    def check(events: list[str]) -> None:
        async def main(runtime: Runtime) -> None:
            server, client = await serve_key_value(runtime)
            seen: list[KeyChange] = []
            lost: list[str] = []
            client.watch("/w/", Revision(2), seen.append, lost.append)
            for number, event in enumerate(events):
                await apply_event(runtime, server, event, number)
            server.faults.outage = False
            server.store.put("/w/last", b"")
            await until(runtime, lambda: seen and seen[-1].key == "/w/last")
            context.seen.append((seen, server.store.changes(Revision(2), "/w/"), lost))

        run_on_loop(main)

    check()


async def apply_event(runtime: Runtime, server: KeyValueServer, event: str, number: int) -> None:
    if event == "put":
        server.store.put(f"/w/{number % 3}", str(number).encode())
        server.store.put("/other", b"")
    elif event == "delete":
        server.store.delete_keys([f"/w/{number % 3}"])
    elif event == "pause":
        await runtime.loop.sleep(0.02)
    else:
        server.faults.outage = event == "outage" or (event == "break" and server.faults.outage)
        server.break_watches()


@then("key-value: the watch has seen every change once and in order")
def watch_has_no_gaps(context: Any) -> None:
    assert context.seen
    for seen, expected, lost in context.seen:
        assert seen == expected and not lost, (seen, expected, lost)


@when("key-value: the network drops what is sent to a watch and later recovers")
def break_half_open(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        server = KeyValueServer(runtime).register(runtime)
        proxy = FaultProxy(runtime, await server.address).register(runtime)
        client = EtcdKeyValue(
            runtime, await proxy.address, watch_silence_s=0.3, budget=UNLIMITED_BUDGET
        )
        seen: list[KeyChange] = []
        client.watch("/w/", Revision(2), seen.append, seen.append)
        server.store.put("/w/1", b"")
        await until(runtime, lambda: seen)
        proxy.faults.drop_down = proxy.faults.hide_close = True
        server.store.put("/w/2", b"")
        await until(runtime, lambda: proxy.accepted > 2)
        proxy.faults.drop_down = proxy.faults.hide_close = False
        server.store.put("/w/3", b"")
        await until(runtime, lambda: len(seen) > 2)
        context.seen = [(seen, server.store.changes(Revision(2), "/w/"), [])]

    run_on_loop(main)


@then("key-value: the watch still sees every change")
def watch_recovers(context: Any) -> None:
    watch_has_no_gaps(context)


@when("key-value: the history is compacted during an outage or the service loses revisions")
def lose_history(context: Any) -> None:
    context.reasons = []

    def lose(act: Callable[[KeyValueServer], None]) -> None:
        async def main(runtime: Runtime) -> None:
            server, client = await serve_key_value(runtime)
            seen: list[KeyChange] = []
            lost: list[str] = []
            client.watch("/w/", Revision(2), seen.append, lost.append)
            server.store.put("/w/1", b"")
            await until(runtime, lambda: seen)
            server.faults.outage = True
            server.break_watches()
            act(server)
            server.faults.outage = False
            await until(runtime, lambda: lost)
            context.reasons.append((lost, len(seen)))

        run_on_loop(main)

    def compact(server: KeyValueServer) -> None:
        for number in range(3):
            server.store.put(f"/w/{number}", b"new")
        server.store.compact(server.store.revision)

    def go_back(server: KeyValueServer) -> None:
        server.store.revision = Revision(1)
        server.store.history.clear()
        server.store.entries.clear()
        server.store.keys.clear()

    lose(compact)
    lose(go_back)


@then("key-value: the watch reports that it is lost")
def loss_is_reported(context: Any) -> None:
    reasons = [(len(lost), seen) for lost, seen in context.reasons]
    assert reasons == [(1, 1), (1, 1)], context.reasons


@when("key-value: one lease expires and another one is renewed")
def let_lease_expire(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        server, client = await serve_key_value(runtime)
        expiring, kept = await client.grant(1.0), await client.grant(1.0)
        await client.compare_and_swap("/l/expiring", b"", ABSENT, lease=expiring.id)
        await client.compare_and_swap("/l/kept", b"", ABSENT, lease=kept.id)
        while server.store.get("/l/expiring") is not None:
            assert await client.renew(kept.id) is not None
            await runtime.loop.sleep(0.1)
        context.keys = list(server.store.keys)
        context.renewed = await client.renew(expiring.id)

    run_on_loop(main)


@then("key-value: only the keys of the renewed lease are left")
def expired_keys_are_gone(context: Any) -> None:
    assert context.keys == ["/l/kept"] and context.renewed is None, context.keys
