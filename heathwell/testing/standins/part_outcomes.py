"""The outcomes of parts at a host, as the inner protocol and the event logs name them."""

from __future__ import annotations

from enum import StrEnum


class PartOutcome(StrEnum):
    """How a host ended a part; a rejected one never began."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
