"""The outcomes of parts at a host, as the inner protocol and the event logs name them."""

from __future__ import annotations

from enum import StrEnum


class PartOutcome(StrEnum):
    """The outcome of a part at a host; a rejected part was never executed."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
