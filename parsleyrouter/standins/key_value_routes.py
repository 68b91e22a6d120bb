"""Handlers of the stand-in key-value service in the etcd v3 JSON gateway format."""

from base64 import b64decode
from typing import TYPE_CHECKING, Any

from parsleyrouter.connection.etcd_format import decode_key, decode_text, encode_entry
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.connection.key_value import Entry
from parsleyrouter.ids import Revision
from parsleyrouter.standins.key_value_store import NoSuchLease
from parsleyrouter.standins.stand_in import close_unanswered, leave_unanswered

if TYPE_CHECKING:
    from parsleyrouter.standins.key_value_server import KeyValueServer

__all__ = ["routes"]

GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_UNAVAILABLE = 14
HTTP_STATUS = {GRPC_NOT_FOUND: 404, GRPC_RESOURCE_EXHAUSTED: 429, GRPC_UNAVAILABLE: 503}

routes = Routes()


def _error(code: int, message: str) -> HttpReply:
    return json_reply({"error": message, "code": code, "message": message}, HTTP_STATUS[code])


async def _check_call(server: "KeyValueServer", exchange: Exchange, kind: str) -> HttpReply | None:
    passed = server.count(kind)
    if server.faults.delay_s:
        await server.loop.sleep(server.faults.delay_s)
    if server.faults.hang:
        leave_unanswered(exchange)
        return _error(GRPC_UNAVAILABLE, "etcdserver: request timed out")
    if server.faults.outage:
        return _error(GRPC_UNAVAILABLE, "etcdserver: no leader")
    server.store.expire(server.loop.now())
    return None if passed else _error(GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests")


def _range(server: "KeyValueServer", body: dict[str, Any]) -> dict[str, Any]:
    first = decode_key(body)
    if not body.get("range_end"):
        entry = server.store.get(first)
        found: tuple[Entry, ...] = (entry,) if entry else ()
        return {"kvs": [_entry(server, entry) for entry in found], "count": str(len(found))}
    end = decode_text(body["range_end"])
    limit = int(body.get("limit", 0)) or len(server.store.keys)
    page = server.store.scan(first, "\U0010ffff" if end == "\0" else end, limit)
    return {"kvs": [_entry(server, entry) for entry in page.entries], "more": page.more}


def _entry(server: "KeyValueServer", entry: Entry) -> dict[str, Any]:
    return encode_entry(entry, server.store.key_leases.get(entry.key, 0))


def _apply(server: "KeyValueServer", operation: dict[str, Any]) -> dict[str, Any]:
    """Apply one operation of a transaction."""
    if "request_put" in operation:
        put = operation["request_put"]
        value = b64decode(put.get("value", ""))
        server.store.put(decode_key(put), value, int(put.get("lease", 0)))
        return {"response_put": {"header": server.header()}}
    if "request_delete_range" in operation:
        deleted = server.store.delete_keys([decode_key(operation["request_delete_range"])])
        return {"response_delete_range": {"deleted": str(deleted)}}
    return {"response_range": _range(server, operation["request_range"])}


def _compare_holds(server: "KeyValueServer", compare: dict[str, Any]) -> bool:
    entry = server.store.get(decode_key(compare))
    return (entry.revision if entry else 0) == int(compare.get("mod_revision", 0))


@routes.add("POST", "/v3/kv/range")
async def range_keys(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Read one key or a range of keys."""
    body = exchange.request.json()
    refused = await _check_call(server, exchange, "scan" if body.get("range_end") else "get")
    return refused or json_reply({"header": server.header()} | _range(server, body))


@routes.add("POST", "/v3/kv/txn")
async def transact(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Compare one key's revision and write or delete it."""
    body = exchange.request.json()
    deletes = any("request_delete_range" in one for one in body.get("success", ()))
    refused = await _check_call(server, exchange, "delete" if deletes else "swap")
    if refused:
        return refused
    key = decode_key(body["compare"][0])
    if server.should_lose_reply(before=True, key=key):
        close_unanswered(exchange)
        return None
    succeeded = all(_compare_holds(server, compare) for compare in body["compare"])
    chosen = body.get("success" if succeeded else "failure", ())
    try:
        responses = [_apply(server, operation) for operation in chosen]
    except NoSuchLease:
        return _error(GRPC_NOT_FOUND, "etcdserver: requested lease not found")
    if server.should_lose_reply(before=False, key=key):
        close_unanswered(exchange)
        return None
    return json_reply({"header": server.header(), "succeeded": succeeded, "responses": responses})


@routes.add("POST", "/v3/kv/put")
async def put_key(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Write one key unconditionally."""
    refused = await _check_call(server, exchange, "swap")
    if refused:
        return refused
    try:
        _apply(server, {"request_put": exchange.request.json()})
    except NoSuchLease:
        return _error(GRPC_NOT_FOUND, "etcdserver: requested lease not found")
    return json_reply({"header": server.header()})


@routes.add("POST", "/v3/kv/deleterange")
async def delete_range(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Delete one key or a range of keys."""
    refused = await _check_call(server, exchange, "delete")
    if refused:
        return refused
    body = exchange.request.json()
    keys = [decode_key(entry) for entry in _range(server, body | {"limit": 0})["kvs"]]
    return json_reply({"header": server.header(), "deleted": str(server.store.delete_keys(keys))})


@routes.add("POST", "/v3/lease/grant")
async def grant(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Grant a lease."""
    refused = await _check_call(server, exchange, "grant")
    if refused:
        return refused
    lease = server.store.grant(int(exchange.request.json()["TTL"]), server.loop.now())
    server.lease_timer.arm()
    return json_reply(
        {"header": server.header(), "ID": str(lease.id), "TTL": str(int(lease.ttl_s))}
    )


@routes.add("POST", "/v3/lease/keepalive")
async def keep_alive(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Renew a lease; a reply without ``TTL`` means that it has expired."""
    refused = await _check_call(server, exchange, "renew")
    if refused:
        return refused
    id = int(exchange.request.json()["ID"])
    lease = server.store.renew(id, server.loop.now())
    server.lease_timer.arm()
    result: dict[str, Any] = {"header": server.header(), "ID": str(id)}
    return json_reply({"result": result | ({"TTL": str(int(lease.ttl_s))} if lease else {})})


@routes.add("POST", "/v3/lease/revoke")
async def revoke(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Revoke a lease and delete its keys."""
    refused = await _check_call(server, exchange, "revoke")
    if refused:
        return refused
    if not server.store.revoke(int(exchange.request.json()["ID"])):
        return _error(GRPC_NOT_FOUND, "etcdserver: requested lease not found")
    return json_reply({"header": server.header()})


@routes.add("POST", "/v3/watch")
async def watch(server: "KeyValueServer", exchange: Exchange) -> HttpReply | None:
    """Stream the changes of a range from a revision on."""
    refused = await _check_call(server, exchange, "watch")
    if refused:
        return refused
    body = exchange.request.json()["create_request"]
    start = Revision(int(body.get("start_revision", 0)) or server.store.revision + 1)
    end = decode_text(body["range_end"]) if body.get("range_end") else ""
    stream = exchange.open_stream(200, {"content-type": "application/json"})
    await server.serve_watch(exchange, stream, decode_key(body), end, start)
    return None
