"""The platform adapter: implements ``PlatformPort`` with the translations of this package."""

from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.ids import Address
from parsleyrouter.platform.endpoints import ENDPOINTS_PREFIX, decode_endpoint, endpoint_of_key
from parsleyrouter.platform.headers import HEADERS, shared_parts
from parsleyrouter.platform.jobs import decode_job_call, encode_results
from parsleyrouter.platform.locate import (
    LOCATE_PATH,
    READY_PATH,
    caller_domain,
    encode_addresses,
)
from parsleyrouter.platform.retirement import encode_drained, node_to_drain
from parsleyrouter.platform.routes import OPERATOR_PREFIX, ROUTES_KEY, decode_routes
from parsleyrouter.platform.store import PlatformStore
from parsleyrouter.process.platform_port import PlatformPort
from parsleyrouter.process.runtime import Runtime

__all__ = ["PLATFORM"]

STORE_TIMEOUT_S = 1.0
"""The store responds within 4 ms, or within a quarter of a second when it is slow."""


def _open_store(runtime: Runtime, address: Address, budget: BudgetSettings) -> PlatformStore:
    return PlatformStore(runtime, address, timeout_s=STORE_TIMEOUT_S, budget=budget)


PLATFORM = PlatformPort(
    headers=HEADERS,
    shared_parts=shared_parts,
    operator_prefix=OPERATOR_PREFIX,
    routes_key=ROUTES_KEY,
    endpoints_prefix=ENDPOINTS_PREFIX,
    locate_path=LOCATE_PATH,
    ready_path=READY_PATH,
    open_store=_open_store,
    decode_routes=decode_routes,
    decode_endpoint=decode_endpoint,
    endpoint_of_key=endpoint_of_key,
    caller_domain=caller_domain,
    encode_addresses=encode_addresses,
    decode_job_call=decode_job_call,
    encode_results=encode_results,
    node_to_drain=node_to_drain,
    encode_drained=encode_drained,
)
