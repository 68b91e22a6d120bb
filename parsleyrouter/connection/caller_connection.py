"""One caller's connection: requests are parsed one at a time, within limits."""

from typing import TYPE_CHECKING, Any

import h11

from parsleyrouter.connection.caller_admission import BUSY
from parsleyrouter.connection.caller_timeouts import is_overdue
from parsleyrouter.connection.connection_stage import ConnectionStage, RefusalCause
from parsleyrouter.connection.http_limits import (
    RequestHead,
    check_head,
    framing_refusal,
    read_head,
    too_large_refusal,
    too_many_lines_refusal,
)
from parsleyrouter.connection.turn_shares import CONNECTION_SHARE_S
from parsleyrouter.connection.upload import Upload
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

if TYPE_CHECKING:
    from parsleyrouter.connection.public_http_server import PublicHttpServer

__all__ = ["ConnectionStage", "CallerConnection"]

PIPELINE_PAUSE_BYTES = 16 * 1024

SMALL_PIECE_BYTES = 2048
"""Bytes that the parser gets at once where each line costs time: of heads and chunked bodies."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

PARSED_FIELD_BYTES = 300
"""Memory of a parsed header beside its text."""


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
        self.body = bytearray()
        self.body_bytes = 0
        self.sent_body_bytes = 0
        """Bytes of the body as sent, with the framing of its chunks."""
        self.unended_lines = 0
        """Lines since the parser's latest event, which one event will hold."""
        self.head_bytes = 0
        """Memory of the current head."""
        self.buffered_bytes = 0
        """What of the server's memory for requests is counted as held here."""
        self.window_bytes = 0
        """Bytes received since the latest sweep."""
        self.slow = False
        """Whether few bytes were received between the latest two sweeps."""
        self.upload: Upload | None = None
        self.body_pending = False
        self.input = bytearray()
        """Bytes that were read and not parsed yet."""
        self.paused = False
        """Whether an upload or pipelined requests keep the connection from being read."""
        self.pipeline_paused = False
        self.unsent_bytes = 0
        self.unsent_since_s = 0.0

    @property
    def idle(self) -> bool:
        """Whether no request is in progress."""
        return self.stage is ConnectionStage.IDLE and not self.input

    def describe(self) -> str:
        """Describe the current request for a log line."""
        return f"{self.head.method} {self.head.path}" if self.head else self.remote

    @property
    def parseable(self) -> bool:
        """Whether there are bytes that may be parsed now."""
        waits = self.stage is ConnectionStage.RESPONSE and not self.body_pending
        if self.stage is ConnectionStage.IDLE and self.input:
            # Answers that are not read hold up the requests after them.
            waits = self.server.buffered_bytes(self.sock) > self.server.drain_above_bytes()
        return bool(self.input) and not waits and not (self.upload and self.upload.paused)

    def receive(self, data: bytes) -> None:
        """Handle received bytes; what takes more than its share of a turn waits in ``input``."""
        if self.stage is ConnectionStage.DISCARD:
            return
        self.input += data
        self.window_bytes += len(data)
        if not self.parseable:
            self._pause_pipeline()
            self._account()
            return
        if self.stage is ConnectionStage.BODY or self.body_pending:
            self.progress_s = self.server.loop.now()
        self.parse_some()

    def parse_some(self) -> None:
        """Parse received bytes for its share of a turn."""
        until_s = self.server.loop.now() + CONNECTION_SHARE_S
        try:
            while self.parseable:
                self._parse_piece()
                if self.server.loop.now() >= until_s:
                    break
        except h11.RemoteProtocolError as error:
            # What follows is the line itself, which may hold a key.
            message = f"not a valid HTTP request: {str(error).partition(':')[0]}"
            self.refuse(Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN))
        self._account()
        if self.parseable:
            self.server.parse_later(self.sock)

    def refuse(self, refusal: Refusal, cause: RefusalCause = RefusalCause.BAD_REQUEST) -> None:
        """Send a refusal and close once the caller has had time to read it."""
        if self.upload is not None:
            self.upload.abort(refusal.message)
        if not self.body_pending or self.stage is not ConnectionStage.RESPONSE:
            self.server.refuse(self.sock, refusal, cause)
        self.discard()

    def discard(self) -> None:
        """Drop further bytes; the connection closes after the discard timeout."""
        self.input.clear()
        self._drop_body()
        self.upload = None
        self.body_pending = False
        self._enter_stage(ConnectionStage.DISCARD)
        self.server.resume(self.sock)

    def start_next_request(self) -> None:
        """Start reading the next request."""
        self.input[:0] = self.parser.trailing_data[0]
        self.head = None
        self.upload = None
        self._drop_body()
        self.parser = self._new_parser()
        self._enter_stage(ConnectionStage.IDLE)
        if self.pipeline_paused:
            self.pipeline_paused = False
            self.server.resume(self.sock)
        if self.input:
            self.server.parse_later(self.sock)

    def handle_disconnect(self) -> None:
        """Clean up after the connection has closed."""
        self.input.clear()
        self._drop_body()
        if self.upload is not None:
            self.upload.abort("the caller closed the connection")

    def is_overdue(self, now: float, unsent_bytes: int) -> bool:
        """Return whether the caller has exceeded one of the timeouts."""
        return is_overdue(self, now, unsent_bytes)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)

    def _enter_stage(self, stage: ConnectionStage) -> None:
        self.stage = stage
        self.progress_s = self.server.loop.now()

    def _pause_pipeline(self) -> None:
        """Stop reading while more than ``PIPELINE_PAUSE_BYTES`` of later requests wait."""
        if len(self.input) > PIPELINE_PAUSE_BYTES and not self.pipeline_paused:
            self.pipeline_paused = True
            self.server.pause(self.sock)

    def _parse_piece(self) -> None:
        """Parse at most ``SMALL_PIECE_BYTES`` of a head or of chunks, or the rest of a body."""
        if self.stage is ConnectionStage.IDLE:
            self._enter_stage(ConnectionStage.HEAD)
            self.request_started_s = self.progress_s
        plain_body = self.head is not None and "transfer-encoding" not in self.head.headers
        piece = bytes(self.input if plain_body else self.input[:SMALL_PIECE_BYTES])
        del self.input[: len(piece)]
        if self.stage is ConnectionStage.HEAD:
            self.head_bytes += len(piece)
        else:
            self.sent_body_bytes += len(piece)
        self.unended_lines += piece.count(b"\n")
        self.parser.receive_data(piece)
        while self.stage is not ConnectionStage.DISCARD and self._handle_event():
            pass
        if self.stage is ConnectionStage.DISCARD:
            return
        if self.unended_lines > self.limits.header_count + 1:
            self.refuse(too_many_lines_refusal(self.limits.header_count))
        elif self.body_pending:
            self._check_framing()
        elif self.stage is ConnectionStage.HEAD and not self._fits():
            self.refuse(BUSY, RefusalCause.MEMORY)

    def _handle_event(self) -> bool:
        event: Any = self.parser.next_event()
        if event is not h11.NEED_DATA:
            self.unended_lines = 0
        if isinstance(event, h11.Request):
            return self._handle_head(read_head(event))
        if isinstance(event, h11.Data):
            return self._handle_data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._finish_body()
        return False

    def _handle_head(self, head: RequestHead) -> bool:
        self.head = head
        self.head_bytes = sum(2 * (len(k) + len(v)) + PARSED_FIELD_BYTES for k, v in head.raw)
        streamed = self.server.streams_body(head)
        refusal = check_head(head, self.limits, streamed=streamed)
        if streamed and self.server.upload_count() >= self.limits.uploads:
            refusal = refusal or BUSY
        if refusal is not None:
            self.refuse(refusal)
            return False
        if self.parser.they_are_waiting_for_100_continue:
            self.server.send(self.sock, CONTINUE)
        self._enter_stage(ConnectionStage.BODY)
        self.body_pending = True
        if streamed:
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

    @property
    def max_body_bytes(self) -> int:
        """The largest body that this connection may send now."""
        return self.limits.body_bytes if self.upload is None else self.limits.upload_bytes

    def _check_framing(self) -> None:
        """Refuse a body whose chunk extensions and sizes are longer than a body may be."""
        max_bytes = self.max_body_bytes + self.limits.header_bytes
        if self.sent_body_bytes - self.body_bytes > max_bytes:
            self.refuse(framing_refusal(max_bytes))

    def _handle_data(self, data: bytes) -> bool:
        self.body_bytes += len(data)
        max_bytes = self.max_body_bytes
        if self.body_bytes > max_bytes:
            self.refuse(too_large_refusal(max_bytes))
            return False
        if self.upload is not None:
            self.upload.feed(data)
            return True
        self.body += data
        if not self._fits():
            self.refuse(BUSY, RefusalCause.MEMORY)
            return False
        return True

    def _finish_body(self) -> None:
        self.body_pending = False
        if self.upload is not None:
            self.upload.finish()
            return
        body, self.body = bytes(self.body), bytearray()
        self._enter_stage(ConnectionStage.RESPONSE)
        self.server.begin(self, body, None)

    def _drop_body(self) -> None:
        self.body = bytearray()
        self.body_bytes = self.sent_body_bytes = self.unended_lines = self.head_bytes = 0
        self._account()

    def _account(self) -> None:
        """Count what the connection holds, a request that is being answered included."""
        body_bytes = self.body_bytes if self.upload is None else 0
        held_bytes = len(self.input) + self.head_bytes + body_bytes
        self.server.buffered += held_bytes - self.buffered_bytes
        self.buffered_bytes = held_bytes

    def _fits(self) -> bool:
        self._account()
        return self.server.admission.hold(self)
