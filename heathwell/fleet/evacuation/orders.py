"""The actions that an operator can order for a zone. Imports no other package of heathwell."""

from __future__ import annotations

from enum import StrEnum


class OperatorAction(StrEnum):
    """Actions of an operator on one zone; the values are used on the command line and on the wire."""

    EVACUATE = "leave"
    """Evacuate the zone, and pin it."""
    RESTORE = "return"
    """Restore the zone step by step, and unpin it."""
    PIN = "pin"
    """Keep the zone's state until it is unpinned."""
    UNPIN = "unpin"
    """Let the controller decide on the zone again."""
