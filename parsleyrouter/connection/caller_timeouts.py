"""The timeouts of a caller's connection."""

from typing import TYPE_CHECKING

from parsleyrouter.connection.connection_stage import ConnectionStage

if TYPE_CHECKING:
    from parsleyrouter.connection.caller_connection import CallerConnection

__all__ = ["is_overdue"]


def is_overdue(connection: "CallerConnection", now: float, unsent_bytes: int) -> bool:
    """Return whether a caller has exceeded one of the timeouts."""
    if unsent_bytes == 0 or unsent_bytes != connection.unsent_bytes:
        connection.unsent_bytes, connection.unsent_since_s = unsent_bytes, now
    waited_s = now - connection.progress_s
    receives = (
        connection.stage in (ConnectionStage.HEAD, ConnectionStage.BODY) or connection.body_pending
    )
    if receives and connection.server.queue.waits(connection.sock):
        # What has not been read yet is not late.
        waited_s = 0.0
    if unsent_bytes and now - connection.unsent_since_s > connection.limits.send_stall_timeout_s:
        return True
    if connection.upload is not None and connection.body_pending and not connection.upload.paused:
        return waited_s > connection.limits.body_gap_timeout_s
    limit_s = {
        ConnectionStage.IDLE: connection.limits.idle_timeout_s,
        ConnectionStage.HEAD: connection.limits.header_timeout_s,
        ConnectionStage.BODY: connection.limits.body_gap_timeout_s,
        ConnectionStage.DISCARD: connection.limits.discard_timeout_s,
    }.get(connection.stage)
    return limit_s is not None and waited_s > limit_s
