"""How long work takes at each endpoint now, compared with the usual one of its service."""

from parsleyrouter.endpoint_speed.load_report import LoadReport, parse_load_report
from parsleyrouter.endpoint_speed.reporting_services import ReportingServices
from parsleyrouter.endpoint_speed.speed_estimate import MAX_SLOWNESS, MIN_SLOWNESS, SpeedEstimate
from parsleyrouter.endpoint_speed.speed_news import SpeedNews, decode_speeds, encode_speeds
from parsleyrouter.endpoint_speed.speeds import EndpointSpeeds
from parsleyrouter.endpoint_speed.typical_work import Measure, TypicalWork, WorkClass

__all__ = [
    "MAX_SLOWNESS",
    "MIN_SLOWNESS",
    "EndpointSpeeds",
    "LoadReport",
    "Measure",
    "ReportingServices",
    "SpeedEstimate",
    "SpeedNews",
    "TypicalWork",
    "WorkClass",
    "decode_speeds",
    "encode_speeds",
    "parse_load_report",
]
