"""Leaving a zone that fails, as a fleet, and coming back at a pace its hosts bear. Pure; the clock is handed
in.

Each broker sums up what it saw of each zone; the deciding keeper weighs these, and one numbered decision goes
to all.
"""

from heathwell.fleet.evacuation.capacity import Capacity, Load
from heathwell.fleet.evacuation.decider import (
    DOUBTED,
    LEAVING,
    LEFT,
    RETURNING,
    SERVED,
    STEPS,
    Decider,
    Decision,
    Figures,
    ZoneWord,
)
from heathwell.fleet.evacuation.drill import Drill
from heathwell.fleet.evacuation.evidence import PROBE, Evidence, Seen, Summary

__all__ = [
    "DOUBTED",
    "LEAVING",
    "LEFT",
    "PROBE",
    "RETURNING",
    "SERVED",
    "STEPS",
    "Capacity",
    "Decider",
    "Decision",
    "Drill",
    "Evidence",
    "Figures",
    "Load",
    "Seen",
    "Summary",
    "ZoneWord",
]
