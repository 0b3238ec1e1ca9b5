"""The requests of a run with an outage, and what they show of the service before and after it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final

from heathwell.testing.simulation.simulated_scenario import QueryOutcome
from heathwell.testing.standins.units import US_PER_SECOND

USUAL_SERVICE_US: Final = 8_000_000
"""The time before the outage that recovery is measured against."""
RECOVERY_WINDOW_SECONDS: Final = 3
RECOVERY_TOLERANCE: Final = 0.1


class ClientBehavior(enum.StrEnum):
    """When a client sends a request again that was refused."""

    OBEYS_RETRY_AFTER = "heeds"
    """After the time that the refusal states."""
    IGNORES_RETRY_AFTER = "ignores"
    """After a short fixed time."""
    FIXED_BACKOFF = "fixed"
    """After a longer fixed time."""


@dataclass(slots=True)
class ClientRequest:
    """One request with all its attempts; ``outcome`` is None until an answer, and where it is abandoned."""

    started_at_us: int
    query_class: str
    behavior: ClientBehavior
    outcome: QueryOutcome | None = None
    duration_us: int = 0
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """How some requests ended: fractions of them between 0 and 1, and their number."""

    on_time_fraction: float
    answered_fraction: float
    request_count: int


@dataclass(slots=True)
class OutageRecord:
    """The requests of a run, in the order of their start, and the outage during it; times are the loop's."""

    requests: list[ClientRequest] = field(default_factory=list)
    outage_started_at_us: int = 0
    outage_ended_at_us: int = 0

    def requests_started(self, since_us: int, until_us: int) -> list[ClientRequest]:
        """Return the requests that were started between two times."""
        return [request for request in self.requests if since_us <= request.started_at_us < until_us]

    def service_level(
        self, since_us: int, until_us: int, behavior: ClientBehavior | None = None
    ) -> ServiceLevel:
        """Return how the requests ended that clients (of one behavior) started between two times."""
        requests = [
            request
            for request in self.requests_started(since_us, until_us)
            if behavior is None or request.behavior is behavior
        ]
        divisor = max(1, len(requests))
        on_time = sum(request.outcome is QueryOutcome.ON_TIME for request in requests)
        answered = sum(request.outcome is not None for request in requests)
        return ServiceLevel(on_time / divisor, answered / divisor, len(requests))

    def recovery_seconds(self) -> float | None:
        """Return the seconds from the outage's end until the service is usual again, None where it isn't.

        It is when the requests of three seconds in a row are on time as often as before the outage, within a
        tenth.
        """
        usual_since_us = self.outage_started_at_us - USUAL_SERVICE_US
        usual = self.service_level(usual_since_us, self.outage_started_at_us).on_time_fraction
        last_started_at_us = max((request.started_at_us for request in self.requests), default=0)
        seconds_after = (last_started_at_us - self.outage_ended_at_us) // US_PER_SECOND
        for second in range(max(0, seconds_after - RECOVERY_WINDOW_SECONDS)):
            since_us = self.outage_ended_at_us + second * US_PER_SECOND
            until_us = since_us + RECOVERY_WINDOW_SECONDS * US_PER_SECOND
            if self.service_level(since_us, until_us).on_time_fraction >= usual - RECOVERY_TOLERANCE:
                return float(second)
        return None
