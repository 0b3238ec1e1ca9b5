"""Retry and reconnect storms: seen early, damped at the broker, told to clients. Pure."""

from heathwell.service.retry_storms.advice import Calendar
from heathwell.service.retry_storms.decider import BUILDING, CALM, DRAINING, STORM, Limits, Storms, Verdict
from heathwell.service.retry_storms.doors import Doors
from heathwell.service.retry_storms.sketch import Recent, Sketch

__all__ = [
    "BUILDING",
    "CALM",
    "DRAINING",
    "STORM",
    "Calendar",
    "Doors",
    "Limits",
    "Recent",
    "Sketch",
    "Storms",
    "Verdict",
]
