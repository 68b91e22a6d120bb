"""Ask other nodes for permits and answer theirs, over UDP.

The asks of one turn to one node share a datagram. A permit that arrives too late, or twice, is
given back.
"""

import itertools
import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.connection.datagram import DatagramSocket
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import Address, CustomerName, ShareId
from parsleyrouter.limits.bucket import GIVE_BACK_S
from parsleyrouter.limits.holder import Denied, Granted, NotHolder, ShareAnswer, ShareHolder
from parsleyrouter.limits.wire import (
    MAX_ROWS,
    MAX_WAIT_MS,
    Answer,
    AnswerRow,
    Ask,
    AskRow,
    GiveBack,
    GiveBackRow,
    Outcome,
    decode_message,
    encode_message,
)
from parsleyrouter.process.loop import Loop, Promise

__all__ = ["PERMIT_VALID_S", "PermitCalls"]

ASK_TIMEOUT_S = 0.15
"""Time for an answer; a node may stand still for a tenth of a second."""

PERMIT_VALID_S = 0.4
"""Longest time from an ask to the use of its permit, also when the process was suspended."""

MAX_PENDING = 20_000

log = logging.getLogger(__name__)


@dataclass
class _PendingAsk:
    promise: Promise[ShareAnswer | None]
    address: Address
    share: ShareId
    customer: CustomerName
    sent_s: float
    permit: int = 0
    """Number of the permit that was used."""


class PermitCalls:
    """One UDP socket for asks, answers and permits that are given back."""

    def __init__(
        self, loop: Loop, bind: Address, holder: ShareHolder, clock: Callable[[], float]
    ) -> None:
        self.loop = loop
        self.holder = holder
        self.clock = clock
        self.datagrams = DatagramSocket(loop, bind, self._receive)
        self.address = self.datagrams.bound_address()
        self.ids = itertools.count(secrets.randbelow(2**48))
        self.pending: dict[int, _PendingAsk] = {}
        """Asks in order, kept after their answers until no permit can be given back."""
        self.outbox: dict[Address, list[AskRow]] = {}
        self.returned: dict[Address, list[GiveBackRow]] = {}
        self.flush_due = False

    def ask(
        self,
        address: Address,
        share: ShareId,
        customer: CustomerName,
        *,
        returning: bool,
        longest_s: float,
    ) -> Promise[ShareAnswer | None]:
        """Ask for a permit; the answer is ``None`` if none comes in time."""
        promise: Promise[ShareAnswer | None] = self.loop.promise()
        if address == self.address:
            now = self.clock()
            answer = self.holder.take(
                share, customer, now, returning=returning, longest_s=longest_s
            )
            promise.resolve(answer)
            return promise
        self._forget_old()
        if len(self.pending) >= MAX_PENDING:
            log.warning("permit not asked for: too many asks wait", extra={"asks": MAX_PENDING})
            promise.resolve(None)
            return promise
        number = next(self.ids)
        self.pending[number] = _PendingAsk(promise, address, share, customer, self.clock())
        longest_ms = -1 if longest_s < 0 else min(MAX_WAIT_MS, int(longest_s * 1000))
        row = AskRow(number, share, customer, returning, longest_ms)
        self.outbox.setdefault(address, []).append(row)
        self._schedule_flush()
        self.loop.call_later(ASK_TIMEOUT_S, lambda: promise.resolve(None))
        return promise

    def give_back(
        self, address: Address, share: ShareId, customer: CustomerName, number: int
    ) -> None:
        """Give back a permit whose request was not sent."""
        if address == self.address:
            self.holder.give_back(share, customer, number, self.clock())
            return
        self.returned.setdefault(address, []).append(GiveBackRow(share, customer, number))
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self.flush_due:
            self.flush_due = True
            self.loop.call_later(0.0, self._flush)

    def _flush(self) -> None:
        self.flush_due = False
        outbox, self.outbox = self.outbox, {}
        for address, asks in outbox.items():
            for start in range(0, len(asks), MAX_ROWS):
                rows = asks[start : start + MAX_ROWS]
                self.datagrams.send(address, encode_message(Ask(self.address, rows)))
        returned, self.returned = self.returned, {}
        for address, permits in returned.items():
            for start in range(0, len(permits), MAX_ROWS):
                message = GiveBack(permits[start : start + MAX_ROWS])
                self.datagrams.send(address, encode_message(message))

    def _receive(self, data: bytes) -> None:
        try:
            message = decode_message(data)
        except InvalidData as error:
            log.debug("datagram about permits not decoded", extra={"reason": str(error)})
            return
        if isinstance(message, Ask):
            rows = [self._answer(row) for row in message.rows]
            self.datagrams.send(Address(message.address), encode_message(Answer(rows)))
        elif isinstance(message, Answer):
            for row in message.rows:
                self._take_answer(row)
        else:
            now = self.clock()
            for one in message.rows:
                share, customer = ShareId(one.share), CustomerName(one.customer)
                self.holder.give_back(share, customer, one.permit, now)

    def _answer(self, row: AskRow) -> AnswerRow:
        answer = self.holder.take(
            ShareId(row.share),
            CustomerName(row.customer),
            self.clock(),
            returning=row.returning,
            longest_s=row.longest_ms / 1000,
        )
        if isinstance(answer, NotHolder):
            return AnswerRow(row.id, Outcome.NOT_HOLDER)
        usage = round(100 * answer.usage)
        if isinstance(answer, Granted):
            return AnswerRow(row.id, Outcome.GRANTED, permit=answer.number, usage=usage)
        wait_ms, room_ms = _to_ms(answer.wait_s), _to_ms(answer.room_s)
        return AnswerRow(row.id, Outcome.EMPTY, wait_ms=wait_ms, room_ms=room_ms, usage=usage)

    def _take_answer(self, row: AnswerRow) -> None:
        ask = self.pending.get(row.id)
        if ask is None:
            return
        if row.outcome == Outcome.GRANTED and row.permit == ask.permit:
            return
        if row.outcome == Outcome.GRANTED:
            answer: ShareAnswer = Granted(row.permit, row.usage / 100)
            late = self.clock() - ask.sent_s > PERMIT_VALID_S
            if late or not ask.promise.resolve(answer):
                self.give_back(ask.address, ask.share, ask.customer, row.permit)
            else:
                ask.permit = row.permit
        elif row.outcome == Outcome.EMPTY:
            denied = Denied(row.wait_ms / 1000, row.room_ms / 1000, row.usage / 100)
            ask.promise.resolve(denied)
        else:
            ask.promise.resolve(NotHolder())

    def _forget_old(self) -> None:
        until_s = self.clock() - GIVE_BACK_S
        while self.pending:
            number = next(iter(self.pending))
            if self.pending[number].sent_s > until_s:
                return
            del self.pending[number]


def _to_ms(time_s: float) -> int:
    return int(min(time_s * 1000 + 1, MAX_WAIT_MS))
