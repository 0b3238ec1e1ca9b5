"""States of endpoints and kinds of endpoint lists, as the inner protocol names them."""

from __future__ import annotations

from enum import StrEnum


class EndpointState(StrEnum):
    """The state of a listed endpoint."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(StrEnum):
    """Whether a message contains the full list or only changed entries."""

    FULL = "full"
    INCREMENTAL = "update"
