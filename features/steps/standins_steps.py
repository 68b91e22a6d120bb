"""Steps for the stand-ins of plain services, VM list, weight store and network."""

import json
from typing import Any

from behave import then, when

from features.support.agents import until
from features.support.loop import run_on_loop
from features.support.stand_ins import post
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.fault_proxy import FaultProxy
from parsleyrouter.standins.service import PlainService
from parsleyrouter.standins.vm_list import VmList
from parsleyrouter.standins.weight_store import WeightStore


@when("stand-ins: calls to a plain service lose replies before and after execution")
def call_service(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        service = PlainService(runtime).register(runtime)
        address = await service.address
        context.seen = {}
        for name, faults in (
            ("well", {}),
            ("before", {"die_before": 1}),
            ("after", {"die_after": 1}),
            ("refused", {"refuse": True}),
        ):
            await post(runtime, address, "/control/faults", {"refuse": False} | faults)
            outcome = await post(runtime, address, "/cards/new", {"key": name})
            context.seen[name] = getattr(outcome, "status", 0)
        await post(runtime, address, "/control/faults", {"refuse": False})
        headers = {"idempotency-key": "by header"}
        await post(runtime, address, "/cards/new", {}, headers=headers)
        reply = await runtime.http.request(address, "GET", "/control/executions")
        context.counts = reply.json()["counts"]

    run_on_loop(main)


@then("stand-ins: its counts match the executions")
def service_counts(context: Any) -> None:
    assert context.seen == {"well": 200, "before": 0, "after": 0, "refused": 503}, context.seen
    assert context.counts == {"well": 1, "after": 1, "by header": 1}, context.counts


@when("stand-ins: the VM list changes and many readers fetch weights")
def limit_readers(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        listing = VmList(runtime, lag_s=0.2).register(runtime)
        address_of_list = await listing.address
        vm = {"node": "node-1", "agent": "127.0.0.1:1", "domain": "d", "state": "leaving"}
        data = json.dumps({"vms": [vm]}).encode()
        await runtime.http.request(address_of_list, "PUT", "/v1/vms", body=data)
        context.before = (await runtime.http.request(address_of_list, "GET", "/v1/vms")).json()
        await until(runtime, lambda: listing.shown)
        context.after = (await runtime.http.request(address_of_list, "GET", "/v1/vms")).json()
        store = WeightStore(runtime, readers=2, size_bytes=50_000).register(runtime)
        address = await store.address
        reads = [
            runtime.loop.spawn(runtime.http.request(address, "GET", "/weights/m")) for _ in range(5)
        ]
        replies = await runtime.loop.gather(reads)
        context.reads = sorted((reply.status, len(reply.body)) for reply in replies)

    run_on_loop(main)


@then("stand-ins: the change shows after the lag and readers over the limit are refused")
def lag_and_limit_hold(context: Any) -> None:
    assert context.before == {"vms": []} and context.after["vms"][0]["state"] == "leaving"
    assert [status for status, _ in context.reads] == [200, 200, 429, 429, 429]
    assert context.reads[0][1] == 50_000


@when("stand-ins: calls cross a fault proxy under each fault")
def cross_proxy(context: Any) -> None:
    context.answered = {}

    async def main(runtime: Runtime) -> None:
        service = PlainService(runtime).register(runtime)
        proxy = FaultProxy(runtime, await service.address).register(runtime)
        address, control = await proxy.address, await proxy.control.address

        async def call(name: str, **faults: Any) -> None:
            clear = {"freeze": False, "cut": False, "drop_down": False, "drop_up": False}
            await post(runtime, control, "/control/faults", clear | {"delay_s": 0} | faults)
            outcome = await post(runtime, address, "/x", {"key": name}, timeout_s=0.4)
            context.answered[name] = not isinstance(outcome, TransportFailure)

        await call("well")
        await call("slow", delay_s=0.05)
        await call("cut", cut=True)
        await call("answer lost", drop_down=True)
        await call("request lost", drop_up=True)
        await call("frozen", freeze=True)
        context.while_frozen = dict(service.counts)
        await call("thawed")
        await until(runtime, lambda: service.counts["frozen"])
        context.counts = dict(service.counts)

    run_on_loop(main)


@then("stand-ins: the caller and the service see the effect of each fault")
def proxy_faults_hold(context: Any) -> None:
    answered = [name for name, was in context.answered.items() if was]
    assert answered == ["well", "slow", "thawed"], context.answered
    assert "frozen" not in context.while_frozen
    assert context.counts == {"well": 1, "slow": 1, "answer lost": 1, "thawed": 1, "frozen": 1}
