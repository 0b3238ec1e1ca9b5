"""Detects link faults: correlated failures of a region's endpoints, and answers that all take longer.

If many endpoints behind one link fail together, the link is at fault. A single failed endpoint is left to the
decision module.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from heathwell.service.regions.link_state import EndpointActivity, LinkState, RegionLink

MINIMUM_FAILED_ENDPOINTS = 3  # Two endpoints may fail together because they share a rack.
MINIMUM_FAILED_FRACTION = 0.6  # Of the endpoints used recently.
# An endpoint without a result is silent after this many mean latencies of the home region, within the bounds.
SILENCE_HOME_LATENCIES = 5.0
MINIMUM_SILENCE_US = 150_000
MAXIMUM_SILENCE_US = 1_000_000
FLAPPING_SILENCE_US = 3_000_000  # After this much silence a flapping link counts as down.
EVIDENCE_WINDOW_US = 5_000_000  # How long the last result of an endpoint is evidence.


@dataclass(frozen=True, slots=True)
class HomeHealth:
    """The mean latency of the home region (us) and the time of its last answer."""

    latency_us: float
    last_ok_at_us: int

    def is_answering(self, now_us: int) -> bool:
        """Return whether the home region answered recently."""
        return self.last_ok_at_us >= 0 and now_us - self.last_ok_at_us < EVIDENCE_WINDOW_US


@dataclass(frozen=True, slots=True)
class CorrelatedFailure:
    """A failure of several endpoints of one region; with ``is_silence`` most of them returned no result."""

    evidence: str
    is_silence: bool


def find_correlated_failure(
    now_us: int, link: RegionLink, endpoints: Iterable[EndpointActivity], home: HomeHealth
) -> CorrelatedFailure | None:
    """Return the correlated failure of a link's endpoints, or None.

    Results from before the link's last change of state belong to an earlier fault and are ignored.
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
    # If the home region does not answer either, the fault is not the link's but this broker's or global.
    if not home.is_answering(now_us):
        return None
    evidence = (
        f"{failed_count} of {used_count} hosts tried gone bad together, {silent_count} of them silent, "
        "while home answers"
    )
    return CorrelatedFailure(evidence, 2 * silent_count > failed_count)


def _silence_limit_us(now_us: int, link: RegionLink, home: HomeHealth) -> float:
    """Return after how long without a result an endpoint of the region is silent."""
    if link.state != LinkState.SLOW:
        limit_us = max(SILENCE_HOME_LATENCIES * home.latency_us, MINIMUM_SILENCE_US)
        return min(limit_us, MAXIMUM_SILENCE_US) + link.route.round_trip_us
    # Answers over a slow link take longer, and over a flapping link even longer.
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
    """Return the first decile, which is mostly the delay of the route and little of the endpoints' work."""
    return sorted(latencies_us)[len(latencies_us) // 10]
