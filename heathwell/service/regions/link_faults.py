"""Detection of link faults: endpoints of a region that fail together, and answers that all take longer.

Many endpoints behind one link that fail together indicate a fault of the link; a single one is left to the
decision module.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from heathwell.service.regions.link_state import EndpointActivity, LinkState, RegionLink

MINIMUM_FAILED_ENDPOINTS = 3  # two may share a rack
MINIMUM_FAILED_FRACTION = 0.6  # of the endpoints used lately
SILENCE_HOME_LATENCIES = 5.0  # usual latencies at home after which an endpoint without a result is silent
MINIMUM_SILENCE_US = 150_000
MAXIMUM_SILENCE_US = 1_000_000
FLAPPING_SILENCE_US = 3_000_000  # silence over a flapping link that makes it a cut
EVIDENCE_WINDOW_US = 5_000_000  # how long the last result of an endpoint counts


@dataclass(frozen=True, slots=True)
class HomeHealth:
    """The usual latency of the home region (us) and the instant of its last answer."""

    latency_us: float
    last_ok_at_us: int

    def is_answering(self, now_us: int) -> bool:
        """Return whether the home region answered lately."""
        return self.last_ok_at_us >= 0 and now_us - self.last_ok_at_us < EVIDENCE_WINDOW_US


@dataclass(frozen=True, slots=True)
class CorrelatedFailure:
    """Endpoints of one region that failed together; ``is_silence``: most of them without any result."""

    evidence: str
    is_silence: bool


def find_correlated_failure(
    now_us: int, link: RegionLink, endpoints: Iterable[EndpointActivity], home: HomeHealth
) -> CorrelatedFailure | None:
    """Return the fault of a link that its endpoints show, or None.

    Results from before the link's last change of state belong to an earlier fault and don't count.
    """
    silence_limit_us = _silence_limit_us(now_us, link, home)
    used_count = failed_count = silent_count = 0
    for endpoint in endpoints:
        oldest_us = min(
            (sent_us for sent_us in endpoint.pending_since_us.values() if sent_us >= link.since_us),
            default=now_us,
        )
        is_silent = now_us - oldest_us > silence_limit_us and endpoint.last_ok_at_us < oldest_us
        has_failed = _has_failed_lately(now_us, endpoint, link.since_us)
        if not is_silent and not has_failed and not _was_ok_lately(now_us, endpoint):
            continue
        used_count += 1
        failed_count += is_silent or has_failed
        silent_count += is_silent
    if failed_count < MINIMUM_FAILED_ENDPOINTS or failed_count < MINIMUM_FAILED_FRACTION * used_count:
        return None
    # With home as silent the fault is this broker's, or everybody's, and not the link's.
    if not home.is_answering(now_us):
        return None
    evidence = (
        f"{failed_count} of {used_count} hosts tried gone bad together, {silent_count} of them silent, "
        "while home answers"
    )
    return CorrelatedFailure(evidence, 2 * silent_count > failed_count)


def _silence_limit_us(now_us: int, link: RegionLink, home: HomeHealth) -> float:
    """After how long without a result an endpoint of the region is silent."""
    if link.state != LinkState.SLOW:
        limit_us = max(SILENCE_HOME_LATENCIES * home.latency_us, MINIMUM_SILENCE_US)
        return min(limit_us, MAXIMUM_SILENCE_US) + link.route.round_trip_us
    # Answers over a slow link are known to take long, and over a flapping one even longer.
    return FLAPPING_SILENCE_US if link.is_flapping(now_us) else MAXIMUM_SILENCE_US + home.latency_us


def _has_failed_lately(now_us: int, endpoint: EndpointActivity, since_us: int) -> bool:
    failed_at_us = endpoint.last_failed_at_us
    is_latest = failed_at_us > max(endpoint.last_ok_at_us, since_us)
    return is_latest and now_us - failed_at_us < EVIDENCE_WINDOW_US


def _was_ok_lately(now_us: int, endpoint: EndpointActivity) -> bool:
    return endpoint.last_ok_at_us >= 0 and now_us - endpoint.last_ok_at_us <= EVIDENCE_WINDOW_US


def has_silent_endpoint(now_us: int, endpoints: Iterable[EndpointActivity]) -> bool:
    """Return whether an endpoint has had no result since its oldest pending attempt."""
    return any(
        endpoint.pending_since_us
        and now_us - (oldest_us := min(endpoint.pending_since_us.values())) > MINIMUM_SILENCE_US
        and endpoint.last_ok_at_us < oldest_us
        for endpoint in endpoints
    )


def first_decile_us(latencies_us: Sequence[int]) -> int:
    """Return the first decile: the delay of the route, with little of the endpoints' own work in it."""
    return sorted(latencies_us)[len(latencies_us) // 10]
