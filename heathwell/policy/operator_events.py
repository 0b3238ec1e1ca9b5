"""Events of the decision module that tell operators what it decided and why.

Types only. Brokers log them under these field names; the bench adapter writes them as sentences.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EjectionReason(StrEnum):
    """Why an endpoint was ejected."""

    NO_CONNECTION = "no_connection"
    PROBE_FAILED = "probe_failed"
    NO_RESPONSE = "no_response"
    REJECTS_ALL = "rejects_all"
    CONSECUTIVE_ERRORS = "consecutive_errors"


@dataclass(frozen=True, slots=True)
class EndpointEjected:
    """An endpoint gets no attempts of a class for ``duration_us``; ``query_class`` None means all classes."""

    node: str
    query_class: int | None
    reason: EjectionReason
    duration_us: int


@dataclass(frozen=True, slots=True)
class EndpointReadmitted:
    """An endpoint that was ejected for all classes has responded and gets attempts again."""

    node: str


@dataclass(frozen=True, slots=True)
class DiscoveryDegraded:
    """A call to discovery failed or a watch broke; the next call is made after ``retry_after_us``."""

    retry_after_us: int


OperatorEvent = EndpointEjected | EndpointReadmitted | DiscoveryDegraded
