"""The platform's store as a key-value service with transactions."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Iterable
from typing import Any, cast
from urllib.parse import urlencode

import msgspec

from parsleyrouter.connection.http import HttpReply
from parsleyrouter.connection.key_value import (
    ChangePage,
    Entry,
    EntryPage,
    HistoryCompacted,
    KeyChange,
    KeyValueFailure,
    KeyValueFailureKind,
    Lease,
    LeaseLost,
    Transaction,
    TransactionConflict,
    WriteApplied,
)
from parsleyrouter.connection.key_value_client import KeyValueClient
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import Revision

__all__ = ["PlatformStore"]

MS_PER_S = 1000


class PlatformStore(KeyValueClient):
    """Client of the platform's store."""

    not_applied_statuses = frozenset({503})

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""
        reply = await self.exchange("get", "GET", "/kv-key?" + urlencode({"key": key}))
        if isinstance(reply, KeyValueFailure):
            return reply
        if reply.status == 404:
            return None
        body = self._decode_object("get", reply)
        return body if isinstance(body, KeyValueFailure) else _entry(body)

    async def scan(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> EntryPage | KeyValueFailure:
        """Read a page of keys under a prefix; a stale read is cheap and may be seconds old."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        kind = "stale_scan" if stale else "scan"
        reply = await self.exchange(kind, "GET", "/kv-range?" + urlencode(query))
        if isinstance(reply, KeyValueFailure):
            return reply
        body = self._decode_object(kind, reply)
        if isinstance(body, KeyValueFailure):
            return body
        entries = tuple(_entries(body.get("items", ())))
        return EntryPage(entries, bool(body.get("morePages")), _current_revision(body))

    async def transact(
        self, transaction: Transaction
    ) -> WriteApplied | TransactionConflict | LeaseLost | KeyValueFailure:
        """Apply a transaction; after ``maybe_applied`` it may still take effect later."""
        reply = await self.exchange("transact", "POST", "/kv-txn", _encode_transaction(transaction))
        if isinstance(reply, KeyValueFailure):
            return reply
        if reply.status == 404:
            return LeaseLost()
        body = self._decode_object("transact", reply, other_status=412)
        if isinstance(body, KeyValueFailure):
            return body
        if reply.status == 412:
            found = _entries(body.get("items", ()))
            return TransactionConflict({entry.key: entry for entry in found if entry.revision})
        return WriteApplied(Revision(int(body["revision"])))

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> ChangePage | HistoryCompacted | KeyValueFailure:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first one."""
        query = {"prefix": prefix, "after": after, "waitMs": int(wait_s * MS_PER_S)}
        target = "/kv-watch?" + urlencode(query)
        reply = await self.exchange("changes", "GET", target, wait_s=wait_s)
        if isinstance(reply, KeyValueFailure):
            return reply
        if reply.status == 410:
            return HistoryCompacted()
        body = self._decode_object("changes", reply)
        if isinstance(body, KeyValueFailure):
            return body
        return ChangePage(tuple(_changes(body.get("events", ()))), _current_revision(body))

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Grant a lease."""
        body = await self.call("grant", "/kv-lease", {"ttlMs": int(ttl_s * MS_PER_S)})
        if isinstance(body, KeyValueFailure):
            return body
        return Lease(int(body["lease"]), float(body["ttlMs"]) / MS_PER_S)

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` if it has expired."""
        reply = await self.exchange("renew", "POST", f"/kv-keep/{lease}")
        if isinstance(reply, KeyValueFailure):
            return reply
        if reply.status == 404:
            return None
        body = self._decode_object("renew", reply)
        if isinstance(body, KeyValueFailure):
            return body
        return Lease(lease, float(body["ttlMs"]) / MS_PER_S)

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Revoke a lease and delete its keys; an expired one counts as revoked."""
        reply = await self.exchange("revoke", "DELETE", f"/kv-lease-end/{lease}")
        return reply if isinstance(reply, KeyValueFailure) else None

    def _decode_object(
        self, kind: str, reply: HttpReply, other_status: int = 200
    ) -> dict[str, Any] | KeyValueFailure:
        """Return the JSON object of a reply with status 200 or ``other_status``."""
        message = f"the store answered {kind} with status {reply.status}"
        try:
            body: Any = decode_json(reply.body, dict)
        except InvalidData as error:
            message = f"{message}: {error}"
            body = None
        if reply.status in (200, other_status) and body is not None:
            return cast("dict[str, Any]", body)
        return self.handle_failure(kind, KeyValueFailure(KeyValueFailureKind.REFUSED, message))


def _encode_transaction(transaction: Transaction) -> bytes:
    expected = [{"key": key, "revision": at} for key, at in transaction.expected.items()]
    writes = []
    for write in transaction.writes:
        row: dict[str, Any] = {"key": write.key, "value": b64encode(write.value).decode()}
        if write.lease:
            row["lease"] = write.lease
        writes.append(row)
    body = {"expect": expected, "writes": writes, "deletes": list(transaction.deletes)}
    return msgspec.json.encode(body)


def _current_revision(body: dict[str, Any]) -> Revision:
    return Revision(int(body["currentRev"]))


def _entry(row: dict[str, Any]) -> Entry:
    try:
        value = b64decode(row.get("value") or "", validate=True)
    except (Base64Error, ValueError, TypeError):
        # Invalid data of another writer: every decoder rejects an empty value.
        value = b""
    return Entry(str(row["key"]), value, Revision(int(row.get("revision", 0))))


def _entries(rows: Iterable[Any]) -> Iterable[Entry]:
    return (_entry(row) for row in rows if isinstance(row, dict) and "key" in row)


def _changes(rows: Iterable[Any]) -> Iterable[KeyChange]:
    for row in rows:
        if isinstance(row, dict) and "key" in row:
            entry = None if row.get("tombstone") else _entry(row)
            yield KeyChange(str(row["key"]), Revision(int(row.get("revision", 0))), entry)
