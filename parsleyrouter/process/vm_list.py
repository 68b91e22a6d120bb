"""Poll the platform's VM list for the addresses of other agents."""

import logging
from collections.abc import Callable

import msgspec

from parsleyrouter.connection.http import HttpReply, TransportFailure
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime

__all__ = ["VM_LIST_PATH", "VmList"]

VM_LIST_PATH = "/v1/vms"
RETRY_INTERVAL_S = 1.0
READ_INTERVAL_S = 10.0
CALL_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


class ListedVm(msgspec.Struct):
    """One VM in the platform's list."""

    node: str
    agent: str
    domain: str = ""
    state: str = "live"


class _Listing(msgspec.Struct):
    vms: list[ListedVm]


class VmList:
    """Poll the VM list and pass on the agents' addresses; without its address, do nothing."""

    def __init__(
        self, runtime: Runtime, address: Address, on_read: Callable[[list[Address]], None]
    ) -> None:
        self.runtime = runtime
        self.address = address
        self.on_read = on_read

    def start(self) -> None:
        """Start polling."""
        if self.address:
            self.runtime.loop.spawn(self._run(), "VM list")

    async def _run(self) -> None:
        while True:
            reply = await self.runtime.http.request(
                self.address, "GET", VM_LIST_PATH, timeout_s=CALL_TIMEOUT_S
            )
            agent_addresses = _agent_addresses(reply)
            if agent_addresses is None:
                await self.runtime.loop.sleep(RETRY_INTERVAL_S)
                continue
            self.on_read(agent_addresses)
            await self.runtime.loop.sleep(
                READ_INTERVAL_S if len(agent_addresses) > 1 else RETRY_INTERVAL_S
            )


def _agent_addresses(reply: HttpReply | TransportFailure) -> list[Address] | None:
    if isinstance(reply, TransportFailure) or reply.status != 200:
        return None
    try:
        listing = msgspec.json.decode(reply.body, type=_Listing)
    except msgspec.MsgspecError as error:
        log.warning("the VM list cannot be read: check --vm-list", extra={"error": str(error)})
        return None
    return [Address(vm.agent) for vm in listing.vms if vm.agent]
