"""Client of the key-value port over the etcd v3 JSON gateway."""

import math
from base64 import b64encode
from collections.abc import Callable
from typing import Any

from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.connection.etcd_format import (
    decode_entries,
    decode_revision,
    encode_text,
    range_end,
)
from parsleyrouter.connection.etcd_watch import EtcdWatch
from parsleyrouter.connection.key_value import (
    Conflict,
    Entry,
    EntryPage,
    KeyChange,
    KeyValueFailure,
    KeyValueFailureKind,
    Lease,
    WriteApplied,
)
from parsleyrouter.connection.key_value_client import CALL_TIMEOUT_S, KeyValueClient
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime

__all__ = ["EtcdKeyValue"]

MAX_WATCH_SILENCE_S = 10.0


class EtcdKeyValue(KeyValueClient):
    """Key-value client limited by the call budget of this process.

    ``watch`` starts with the change of revision ``start`` itself; 0 means from now on.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        watch_silence_s: float = MAX_WATCH_SILENCE_S,
        budget: BudgetSettings | None = None,
    ) -> None:
        super().__init__(runtime, address, timeout_s=timeout_s, budget=budget)
        self.watch_silence_s = watch_silence_s

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""
        body = await self.call("get", "/v3/kv/range", {"key": encode_text(key)})
        if isinstance(body, KeyValueFailure):
            return body
        entries = decode_entries(body)
        return entries[0] if entries else None

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> EntryPage | KeyValueFailure:
        """Read keys under a prefix in order, starting after the key ``after``."""
        request = {
            "key": encode_text(max(after + "\0", prefix) if after else prefix or "\0"),
            "range_end": encode_text(range_end(prefix)),
            "limit": str(limit),
        }
        body = await self.call("scan", "/v3/kv/range", request)
        if isinstance(body, KeyValueFailure):
            return body
        return EntryPage(decode_entries(body), bool(body.get("more")), decode_revision(body))

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, *, lease: int = 0
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Write a key if its revision is ``expected``; ``ABSENT`` creates it."""
        put = {"key": encode_text(key), "value": b64encode(value).decode()}
        if lease:
            put["lease"] = str(lease)
        return await self._transact("swap", key, expected, {"request_put": put})

    async def delete(
        self, key: str, expected: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Delete a key if its revision is ``expected``."""
        change = {"request_delete_range": {"key": encode_text(key)}}
        return await self._transact("delete", key, expected, change)

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Grant a lease; the service counts whole seconds, so the TTL is rounded up."""
        request = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        body = await self.call("grant", "/v3/lease/grant", request)
        if isinstance(body, KeyValueFailure):
            return body
        return Lease(int(body["ID"]), float(body["TTL"]))

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` if it has expired."""
        body = await self.call("renew", "/v3/lease/keepalive", {"ID": str(lease)})
        if isinstance(body, KeyValueFailure):
            return body
        ttl_s = float(body.get("result", {}).get("TTL", 0))
        return Lease(lease, ttl_s) if ttl_s > 0 else None

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Revoke a lease and delete its keys; an expired one counts as revoked."""
        body = await self.call("revoke", "/v3/lease/revoke", {"ID": str(lease)})
        if isinstance(body, KeyValueFailure) and body.kind is not KeyValueFailureKind.REFUSED:
            return body
        return None

    def watch(
        self,
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> EtcdWatch:
        """Report changes from a revision on; after ``on_lost``, scan and watch again."""
        return EtcdWatch(self, prefix, start, on_change, on_lost)

    async def _transact(
        self, kind: str, key: str, expected: Revision, change: dict[str, Any]
    ) -> WriteApplied | Conflict | KeyValueFailure:
        compare = {
            "key": encode_text(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        request = {
            "compare": [compare],
            "success": [change],
            "failure": [{"request_range": {"key": encode_text(key)}}],
        }
        body = await self.call(kind, "/v3/kv/txn", request)
        if isinstance(body, KeyValueFailure):
            return body
        if body.get("succeeded"):
            return WriteApplied(decode_revision(body))
        found = decode_entries(body["responses"][0].get("response_range", {}))
        return Conflict(found[0] if found else None)
