"""Datagrams between the nodes about permits, in MessagePack."""

import msgspec

from parsleyrouter.decoding import InvalidData
from parsleyrouter.process.setting_checks import address_is_valid

__all__ = [
    "MAX_ROWS",
    "Answer",
    "AnswerRow",
    "Ask",
    "AskRow",
    "GiveBack",
    "GiveBackRow",
    "Message",
    "Outcome",
    "decode_message",
    "encode_message",
]

MAX_ROWS = 64
"""Rows in one datagram; with the longest names it still fits into one."""

MAX_NAME = 800
MAX_ID = 2**62
MAX_WAIT_MS = 3_600_000


class Outcome:
    """What a holder answers to one ask."""

    GRANTED = 0
    EMPTY = 1
    NOT_HOLDER = 2


class AskRow(msgspec.Struct, array_like=True):
    """Ask for one permit; ``longest_ms`` is how long the caller would wait to return.

    It is negative while the asker still has other shares to ask: no room is promised then.
    """

    id: int
    share: int
    customer: str
    returning: bool
    longest_ms: int


class Ask(msgspec.Struct, array_like=True, tag=1):
    """Asks of one node; the answer goes to ``address``."""

    address: str
    rows: list[AskRow]


class AnswerRow(msgspec.Struct, array_like=True):
    """The answer to one ask; ``permit`` is its number, ``usage`` in hundredths."""

    id: int
    outcome: int
    permit: int = 0
    wait_ms: int = 0
    room_ms: int = 0
    usage: int = 0


class Answer(msgspec.Struct, array_like=True, tag=2):
    """Answers to asks of one node."""

    rows: list[AnswerRow]


class GiveBackRow(msgspec.Struct, array_like=True):
    """A permit whose request was not sent."""

    share: int
    customer: str
    permit: int


class GiveBack(msgspec.Struct, array_like=True, tag=3):
    """Permits that one node gives back."""

    rows: list[GiveBackRow]


Message = Ask | Answer | GiveBack

_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the payload of a datagram."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram; raise ``InvalidData`` if it cannot be used."""
    try:
        message = _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError, OverflowError) as error:
        raise InvalidData(f"{type(error).__name__}: {error}"[:200]) from error
    if len(message.rows) > MAX_ROWS:
        raise InvalidData(f"{len(message.rows)} rows; allowed: {MAX_ROWS}")
    if isinstance(message, Ask) and not address_is_valid(message.address, 1):
        raise InvalidData("an address; allowed: ip:port")
    for row in message.rows:
        _check_row(row)
    return message


def _check_row(row: AskRow | AnswerRow | GiveBackRow) -> None:
    if isinstance(row, AnswerRow):
        if not (0 <= row.id < MAX_ID and 0 <= row.permit < MAX_ID):
            raise InvalidData("a number out of range")
        if not (0 <= row.wait_ms <= MAX_WAIT_MS and 0 <= row.room_ms <= MAX_WAIT_MS):
            raise InvalidData("a time out of range")
        if not 0 <= row.usage <= 100:
            raise InvalidData("a usage out of range")
        return
    if len(row.customer) > MAX_NAME:
        raise InvalidData(f"a name over {MAX_NAME} characters")
    if isinstance(row, AskRow) and not 0 <= row.id < MAX_ID:
        raise InvalidData("a number out of range")
