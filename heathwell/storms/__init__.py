"""Retry and reconnect storms: seen early, damped at the broker, told to clients. Pure."""

from heathwell.storms.advice import Calendar
from heathwell.storms.decider import BUILDING, CALM, DRAINING, STORM, Limits, Storms, Verdict
from heathwell.storms.doors import Doors
from heathwell.storms.sketch import Recent, Sketch

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
