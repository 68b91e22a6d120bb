"""``parsley-standin``: a stand-in of the platform or of an endpoint, for tests and experiments."""

import logging
import sys
from collections.abc import Callable

from cyclopts import App, CycloptsError
from cyclopts.config import Env

from parsleyrouter.commands.program import EXIT_INVALID_SETTING
from parsleyrouter.ids import Address
from parsleyrouter.process.logs import start_logs
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.options import InvalidSetting, check_address
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.engine_batch import EngineSpec
from parsleyrouter.standins.fault_proxy import FaultProxy
from parsleyrouter.standins.key_value_server import KeyValueServer
from parsleyrouter.standins.service import PlainService, ServiceSpec
from parsleyrouter.standins.vm_list import VmList
from parsleyrouter.standins.weight_store import WeightStore

__all__ = ["app", "main"]

PROGRAM = "parsley-standin"
ANY_PORT = "127.0.0.1:0"

log = logging.getLogger(__name__)

app = App(
    name=PROGRAM,
    help="Run one stand-in of the platform or of an endpoint, for tests and experiments.",
    config=Env("PARSLEY_", command=True),
)


def _serve(http: str, start: Callable[[Runtime], dict[str, Promise[Address]]]) -> None:
    """Run a stand-in until stopped; log its addresses once it listens."""
    check_address("http", http)
    start_logs(program=PROGRAM)
    runtime = Runtime()
    promises = start(runtime)

    async def log_ready() -> None:
        addresses = {name: await promise for name, promise in promises.items()}
        log.info("ready", extra={"addresses": addresses})

    runtime.loop.spawn(log_ready(), "announce")
    runtime.run()


@app.command
def key_value(*, http: str = ANY_PORT) -> None:
    """Run a key-value service in the etcd v3 JSON gateway format.

    Parameters
    ----------
    http
        Address to serve on; port 0 lets the system choose.
    """
    _serve(http, lambda runtime: {"http": KeyValueServer(runtime, http).register(runtime).address})


@app.command
def engine(
    *,
    http: str = ANY_PORT,
    models: str = "stand-in",
    slots: int = 8,
    step_s: float = EngineSpec.step_s,
    step_per_running_s: float = EngineSpec.step_per_running_s,
    prompt_tokens_per_s: float = EngineSpec.prompt_tokens_per_s,
    cache_tokens: int = EngineSpec.cache_tokens,
    answer_tokens: int = EngineSpec.answer_tokens,
    load_lag_s: float = EngineSpec.load_lag_s,
    checks_fencing: bool = False,
    weight_store: str = "",
) -> None:
    """Run a model engine with the OpenAI-compatible API.

    Parameters
    ----------
    http
        Address to serve on; port 0 lets the system choose.
    models
        Models loaded at the start, separated by commas.
    slots
        Concurrent generations.
    step_s
        Duration of a step in seconds; a step produces one token of each running generation.
    step_per_running_s
        Seconds that each running generation adds to a step.
    prompt_tokens_per_s
        Prompt tokens processed per second.
    cache_tokens
        Size of the prompt cache in tokens.
    answer_tokens
        Tokens of a response whose request sets no limit.
    load_lag_s
        Delay of load reports in seconds.
    checks_fencing
        Refuse engine commands with an old fencing number.
    weight_store
        Address from which model weights are loaded; empty for none.
    """
    model = EngineSpec(
        models=tuple(name.strip() for name in models.split(",")),
        slots=slots,
        step_s=step_s,
        step_per_running_s=step_per_running_s,
        prompt_tokens_per_s=prompt_tokens_per_s,
        cache_tokens=cache_tokens,
        answer_tokens=answer_tokens,
        load_lag_s=load_lag_s,
        checks_fencing=checks_fencing,
    )
    if weight_store:
        check_address("weight-store", weight_store)

    def start(runtime: Runtime) -> dict[str, Promise[Address]]:
        server = Engine(runtime, http, model, weight_store=weight_store).register(runtime)
        return {"http": server.address}

    _serve(http, start)


@app.command
def service(
    *, http: str = ANY_PORT, name: str = "cards", slots: int = 4, work_s: float = 0.02
) -> None:
    """Run a plain service that counts its executions per key.

    Parameters
    ----------
    http
        Address to serve on; port 0 lets the system choose.
    name
        Name given in responses.
    slots
        Concurrent calls.
    work_s
        Duration of one call in seconds.
    """
    model = ServiceSpec(name=name, slots=slots, work_s=work_s)
    _serve(
        http, lambda runtime: {"http": PlainService(runtime, http, model).register(runtime).address}
    )


@app.command
def vm_list(*, http: str = ANY_PORT, lag_s: float = 0.0) -> None:
    """Run a VM list, set by ``PUT /v1/vms``.

    Parameters
    ----------
    http
        Address to serve on; port 0 lets the system choose.
    lag_s
        Seconds until a change becomes visible.
    """
    _serve(
        http, lambda runtime: {"http": VmList(runtime, http, lag_s=lag_s).register(runtime).address}
    )


@app.command
def weights(
    *, http: str = ANY_PORT, bytes_per_s: float = 4_000_000, size_bytes: int = 1_000_000
) -> None:
    """Run a rate-limited store of model weights.

    Parameters
    ----------
    http
        Address to serve on; port 0 lets the system choose.
    bytes_per_s
        Bytes sent per second to all readers together.
    size_bytes
        Size of the weights of each model.
    """

    def start(runtime: Runtime) -> dict[str, Promise[Address]]:
        store = WeightStore(runtime, http, bytes_per_s=bytes_per_s, size_bytes=size_bytes)
        return {"http": store.register(runtime).address}

    _serve(http, start)


@app.command
def proxy(upstream: str, *, listen: str = ANY_PORT, http: str = ANY_PORT) -> None:
    """Run a TCP proxy with faults set by ``POST /control/faults``.

    Parameters
    ----------
    upstream
        Address of the server behind the proxy.
    listen
        Address for clients; port 0 lets the system choose.
    http
        Address of the control API.
    """
    check_address("upstream", upstream)
    check_address("listen", listen)

    def start(runtime: Runtime) -> dict[str, Promise[Address]]:
        server = FaultProxy(runtime, upstream, listen, http).register(runtime)
        return {"listen": server.address, "http": server.control.address}

    _serve(http, start)


def main(arguments: list[str] | None = None) -> None:
    """Parse the command line and run the stand-in."""
    try:
        app(arguments, exit_on_error=False, print_error=False)
    except (InvalidSetting, CycloptsError) as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)
