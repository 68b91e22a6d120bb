"""Read the configuration in force from the platform's store."""

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.ids import Address
from parsleyrouter.platform.routes import ROUTES_KEY
from parsleyrouter.platform.store import PlatformStore
from parsleyrouter.process.runtime import Runtime

__all__ = ["StoredConfigMissing", "read_stored_config"]


class StoredConfigMissing(Exception):
    """The store gave no configuration; ``answered`` tells whether it can be reached."""

    def __init__(self, reason: str, *, answered: bool) -> None:
        super().__init__(reason)
        self.answered = answered


async def read_stored_config(runtime: Runtime, address: Address) -> bytes:
    """Return the configuration in force; raise ``StoredConfigMissing`` if there is none."""
    found = await PlatformStore(runtime, address).get(ROUTES_KEY)
    if isinstance(found, KeyValueFailure):
        reason = f"the store at {address} gives no configuration: {found.message}"
        raise StoredConfigMissing(reason, answered=False)
    if found is None:
        raise StoredConfigMissing(f"the store at {address} holds none", answered=True)
    return found.value
