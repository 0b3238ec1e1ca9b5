"""States and kinds of the endpoint list, as the inner protocol names them."""

from __future__ import annotations

from enum import StrEnum


class EndpointState(StrEnum):
    """The state of a listed endpoint."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(StrEnum):
    """Whether a message holds the full list or changed entries."""

    FULL = "full"
    INCREMENTAL = "update"
