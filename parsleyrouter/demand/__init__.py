"""Forecast of online demand that comes in steps."""

from parsleyrouter.demand.forecasts import DemandForecasts
from parsleyrouter.demand.step_forecast import StepForecast, StepOutlook

__all__ = ["DemandForecasts", "StepForecast", "StepOutlook"]
