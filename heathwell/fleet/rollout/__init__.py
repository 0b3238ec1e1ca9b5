"""Rolling change: a new program or new settings in stages, each judged against the brokers that still run the
old one.

Pure: what brokers did is handed in a window at a time, the clock with it; what each broker is to run comes
out. Steps are wishes ("this broker runs that version"), not deeds, so repeating one has no effect, and what
was done is seen from what brokers run.
"""

from heathwell.fleet.rollout.course import (
    CHECKING,
    DONE,
    HELD,
    JUDGING,
    PLANNED,
    STAGING,
    UNDOING,
    UNDONE,
    Course,
)
from heathwell.fleet.rollout.judge import (
    FINE,
    GOING_ON,
    TOO_LITTLE,
    TROUBLED,
    WORSE,
    Judge,
    Limits,
    Ruling,
    Tally,
    Window,
)
from heathwell.fleet.rollout.plan import Plan, Stage, chosen

__all__ = [
    "CHECKING",
    "DONE",
    "FINE",
    "GOING_ON",
    "HELD",
    "JUDGING",
    "PLANNED",
    "STAGING",
    "TOO_LITTLE",
    "TROUBLED",
    "UNDOING",
    "UNDONE",
    "WORSE",
    "Course",
    "Judge",
    "Limits",
    "Plan",
    "Ruling",
    "Stage",
    "Tally",
    "Window",
    "chosen",
]
