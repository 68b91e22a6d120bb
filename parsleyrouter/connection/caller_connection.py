"""One caller's connection: requests are parsed one at a time, within limits."""

from enum import Enum
from typing import TYPE_CHECKING, Any

import h11

from parsleyrouter.connection.http_limits import (
    RequestHead,
    check_head,
    read_head,
    too_large_refusal,
)
from parsleyrouter.connection.upload import Upload
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

if TYPE_CHECKING:
    from parsleyrouter.connection.public_http_server import PublicHttpServer

__all__ = ["ConnectionStage", "CallerConnection"]

PIPELINE_PAUSE_BYTES = 64 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_BUSY = Refusal(
    RefusalKind.OVERLOADED,
    "too much is being uploaded here: try another entry or come again",
    ExecutionStatus.NOT_RUN,
    retry_after_s=2.0,
)


class ConnectionStage(Enum):
    """States of a connection, named after what it waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RESPONSE = "answer"
    DISCARD = "discard"


class CallerConnection:
    """Parse, check and dispatch requests; pipelined ones wait for the current one."""

    def __init__(self, server: "PublicHttpServer", sock: Any, remote: str) -> None:
        self.server = server
        self.sock = sock
        self.remote = remote
        self.limits = server.limits
        self.parser = self._new_parser()
        self.stage = ConnectionStage.IDLE
        self.opened_s = self.progress_s = server.loop.now()
        self.request_started_s = self.progress_s
        """When the first byte of the current request was read."""
        self.head: RequestHead | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.buffered_bytes = 0
        self.upload: Upload | None = None
        self.body_pending = False
        self.pipelined = b""
        self.pipeline_paused = False
        self.unsent_bytes = 0
        self.unsent_since_s = 0.0

    @property
    def idle(self) -> bool:
        """Whether no request is in progress."""
        return self.stage is ConnectionStage.IDLE

    def describe(self) -> str:
        """Describe the current request for a log line."""
        return f"{self.head.method} {self.head.path}" if self.head else self.remote

    def receive(self, data: bytes) -> None:
        """Handle received bytes."""
        if self.stage is ConnectionStage.DISCARD:
            return
        if self.stage is ConnectionStage.RESPONSE and not self.body_pending:
            self._buffer_pipelined(data)
            return
        if self.stage is ConnectionStage.IDLE:
            self._enter_stage(ConnectionStage.HEAD)
            self.request_started_s = self.progress_s
        elif self.stage is ConnectionStage.BODY or self.body_pending:
            self.progress_s = self.server.loop.now()
        self._parse(data)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal and close once the caller has had time to read it."""
        if self.upload is not None:
            self.upload.abort(refusal.message)
        if not self.body_pending or self.stage is not ConnectionStage.RESPONSE:
            self.server.refuse(self.sock, refusal)
        self.discard()

    def discard(self) -> None:
        """Drop further bytes; the connection closes after the discard timeout."""
        self._drop_body()
        self.upload = None
        self.body_pending = False
        self._enter_stage(ConnectionStage.DISCARD)
        self.server.resume(self.sock)

    def start_next_request(self) -> None:
        """Start reading the next request."""
        trailing = self.parser.trailing_data[0] + self.pipelined
        self.pipelined = b""
        self.head = None
        self.upload = None
        self._drop_body()
        self.parser = self._new_parser()
        self._enter_stage(ConnectionStage.IDLE)
        if self.pipeline_paused:
            self.pipeline_paused = False
            self.server.resume(self.sock)
        if trailing:
            self.server.loop.call_soon(lambda: self.receive(trailing))

    def handle_disconnect(self) -> None:
        """Clean up after the connection has closed."""
        self._drop_body()
        if self.upload is not None:
            self.upload.abort("the caller closed the connection")

    def is_overdue(self, now: float, unsent_bytes: int) -> bool:
        """Return whether the caller has exceeded one of the timeouts."""
        if unsent_bytes == 0 or unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since_s = unsent_bytes, now
        waited_s = now - self.progress_s
        if unsent_bytes and now - self.unsent_since_s > self.limits.send_stall_timeout_s:
            return True
        if self.upload is not None and self.body_pending and not self.upload.paused:
            return waited_s > self.limits.body_gap_timeout_s
        limit_s = {
            ConnectionStage.IDLE: self.limits.idle_timeout_s,
            ConnectionStage.HEAD: self.limits.header_timeout_s,
            ConnectionStage.BODY: self.limits.body_gap_timeout_s,
            ConnectionStage.DISCARD: self.limits.discard_timeout_s,
        }.get(self.stage)
        return limit_s is not None and waited_s > limit_s

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)

    def _enter_stage(self, stage: ConnectionStage) -> None:
        self.stage = stage
        self.progress_s = self.server.loop.now()

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffer pipelined bytes; stop reading above ``PIPELINE_PAUSE_BYTES``."""
        self.pipelined += data
        if len(self.pipelined) > PIPELINE_PAUSE_BYTES and not self.pipeline_paused:
            self.pipeline_paused = True
            self.server.pause(self.sock)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
            while self.stage is not ConnectionStage.DISCARD and self._handle_event():
                pass
        except h11.RemoteProtocolError as error:
            message = f"not a valid HTTP request: {error}"
            self.refuse(Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN))

    def _handle_event(self) -> bool:
        event: Any = self.parser.next_event()
        if isinstance(event, h11.Request):
            return self._handle_head(read_head(event))
        if isinstance(event, h11.Data):
            return self._handle_data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._finish_body()
        return False

    def _handle_head(self, head: RequestHead) -> bool:
        self.head = head
        refusal = check_head(head, self.limits)
        if head.streamed and self.server.upload_count() >= self.limits.uploads:
            refusal = refusal or _BUSY
        if refusal is not None:
            self.refuse(refusal)
            return False
        if self.parser.they_are_waiting_for_100_continue:
            self.server.send(self.sock, CONTINUE)
        self._enter_stage(ConnectionStage.BODY)
        self.body_pending = True
        if head.streamed:
            self._begin_upload()
        return True

    def _begin_upload(self) -> None:
        self._enter_stage(ConnectionStage.RESPONSE)
        self.upload = Upload(
            self.server.loop,
            pause=lambda: self.server.pause(self.sock),
            resume=self._resume_upload,
        )
        self.server.begin(self, b"", self.upload)

    def _resume_upload(self) -> None:
        self.progress_s = self.server.loop.now()
        self.server.resume(self.sock)

    def _handle_data(self, data: bytes) -> bool:
        self.body_bytes += len(data)
        max_bytes = self.limits.body_bytes if self.upload is None else self.limits.upload_bytes
        if self.body_bytes > max_bytes:
            self.refuse(too_large_refusal(max_bytes))
            return False
        if self.upload is not None:
            self.upload.feed(data)
            return True
        self.server.buffered += len(data)
        self.buffered_bytes += len(data)
        self.body.append(data)
        if self.server.buffered > self.limits.buffered_bytes:
            self.refuse(_BUSY)
            return False
        return True

    def _finish_body(self) -> None:
        self.body_pending = False
        if self.upload is not None:
            self.upload.finish()
            return
        body = b"".join(self.body)
        self.body.clear()
        self._enter_stage(ConnectionStage.RESPONSE)
        self.server.begin(self, body, None)

    def _drop_body(self) -> None:
        self.server.buffered -= self.buffered_bytes
        self.buffered_bytes = 0
        self.body.clear()
        self.body_bytes = 0
