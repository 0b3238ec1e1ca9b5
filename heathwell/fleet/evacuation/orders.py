"""What an operator can order for a zone. Imports nothing of heathwell."""

from __future__ import annotations

from enum import StrEnum


class OperatorAction(StrEnum):
    """Actions by an operator on one zone; the values are those of the command line and of the wire."""

    EVACUATE = "leave"
    """Evacuate the zone, and pin it."""
    RESTORE = "return"
    """Restore the zone step by step, and unpin it."""
    PIN = "pin"
    """Leave the zone as it is until it is unpinned."""
    UNPIN = "unpin"
    """Leave the zone to the controller again."""
