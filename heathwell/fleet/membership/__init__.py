"""Who is a member of a fleet of brokers: pure, clock handed in. Numbers only grow: a broker that starts
again, or finds itself taken for dead, is a new incarnation, and what an old one held is not its own.
"""

from heathwell.fleet.membership.member import Lived, Self
from heathwell.fleet.membership.roll import (
    ALIVE,
    DEAD,
    JOINING,
    LEFT,
    SUSPECT,
    Entry,
    Report,
    Roll,
    Timing,
    Word,
)

__all__ = [
    "ALIVE",
    "DEAD",
    "JOINING",
    "LEFT",
    "SUSPECT",
    "Entry",
    "Lived",
    "Report",
    "Roll",
    "Self",
    "Timing",
    "Word",
]
