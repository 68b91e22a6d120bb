"""Tell other nodes what is seen of the speed of endpoints, in the rest of a load report."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from parsleyrouter.ids import EndpointId

__all__ = ["MAX_ROWS", "SpeedNews", "decode_speeds", "encode_speeds"]

MAX_ROWS = 16
"""Endpoints in one load report."""

START_MASK = 0xFFFF
"""Part of an endpoint's start that tells two starts apart."""


@dataclass(frozen=True)
class SpeedNews:
    """What a node saw of an endpoint; monotonic times, here."""

    endpoint: EndpointId
    start: int
    """The low bits of when the endpoint started."""
    reported: float = 0.0
    """The endpoint's own figure, 0 if it gave none."""
    reported_s: float = 0.0
    observed: float = 0.0
    """Mean time of work as a multiple of the typical one, 0 if none was seen."""
    weight: float = 0.0
    observed_s: float = 0.0


Row = tuple[str, int, int, int, int, int, int]
"""Endpoint, start, then percent and age in ms of the report, and percent, weight in percent and age
of what was observed."""


def encode_speeds(news: Iterable[SpeedNews], now: float) -> bytes:
    """Encode news; no bytes without any."""
    rows: list[Row] = [
        (
            one.endpoint,
            one.start,
            round(one.reported * 100),
            _age_ms(one.reported_s, now) if one.reported else 0,
            round(one.observed * 100),
            round(one.weight * 100),
            _age_ms(one.observed_s, now) if one.observed else 0,
        )
        for one in list(news)[:MAX_ROWS]
    ]
    return msgspec.msgpack.encode(rows) if rows else b""


def decode_speeds(data: bytes, received_s: float) -> tuple[SpeedNews, ...]:
    """Decode news; raise ``msgspec.DecodeError`` or ``msgspec.ValidationError`` if that fails."""
    if not data:
        return ()
    rows = msgspec.msgpack.decode(data, type=list[Row])
    return tuple(
        SpeedNews(
            endpoint=EndpointId(endpoint),
            start=start,
            reported=reported / 100,
            reported_s=received_s - max(0, reported_ms) / 1000,
            observed=observed / 100,
            weight=min(1.0, weight / 100),
            observed_s=received_s - max(0, observed_ms) / 1000,
        )
        for endpoint, start, reported, reported_ms, observed, weight, observed_ms in rows[:MAX_ROWS]
    )


def _age_ms(at_s: float, now: float) -> int:
    return math.floor(max(0.0, now - at_s) * 1000)
