"""Decides whether an answer is fresh enough to be used, is treated as missing, or is requested elsewhere.

A verdict has no effect by itself. A rejected answer is reported to the decision module as an error of its
endpoint. The module sends the part to another replica if its own rules allow that, and ejects an endpoint
whose answers are rejected repeatedly. While all replicas are fresh, every answer is used.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from heathwell.service.freshness.freshness_records import (
    FreshnessPolicy,
    FreshnessVerdict,
    StaleAction,
    StaleReason,
    Watermark,
)
from heathwell.service.freshness.replica_lag import AgeEvidence, ReplicaLagTracker
from heathwell.service.freshness.source_clock import SourceClock

RETRY_TIME_FACTOR = 2  # Another attempt needs more time left than this times the attempt's duration.


class FreshnessDecider:
    """The verdicts of one broker. ``replicas_of`` returns the nodes that hold a shard."""

    def __init__(self, clock: SourceClock, replicas_of: Callable[[int], Iterable[str]]) -> None:
        self.lag_tracker = ReplicaLagTracker(clock, replicas_of)
        self._clock = clock
        self._replicas_of = replicas_of

    def decide(
        self,
        now_us: int,
        shard: int,
        node: str,
        watermark: Watermark,
        policy: FreshnessPolicy,
        *,
        attempted_nodes: Iterable[str],
        rejected_count: int,
        time_left_us: int,
        duration_us: int,
        minimum_position: int = 0,
    ) -> FreshnessVerdict:
        """Decide on an answer, and record its watermark.

        ``attempted_nodes`` are the nodes that the part was sent to, ``rejected_count`` is the number of its
        rejected answers, ``time_left_us`` the time until the query's latency objective, and ``duration_us``
        the duration of the attempt. ``minimum_position`` is the position up to which the client or the first
        step of the query has already read.
        """
        evidence = self.lag_tracker.observe(now_us, shard, node, watermark)
        age_us = (
            self._clock.maximum_age_us(now_us, watermark.source_us)
            if evidence == AgeEvidence.MEASURED
            else None
        )
        reason = _find_reason(evidence, age_us, watermark, policy, minimum_position)
        if reason is None:
            return FreshnessVerdict(is_accepted=True, age_us=age_us)
        if policy.stale_action == StaleAction.TREAT_AS_MISSING:
            is_rejected = evidence == AgeEvidence.FROM_THE_FUTURE or _exceeds(policy.maximum_age_us, age_us)
        elif policy.stale_action == StaleAction.ASK_ANOTHER:
            has_time = not rejected_count and time_left_us > RETRY_TIME_FACTOR * duration_us
            excluded_nodes = {node, *attempted_nodes}
            is_rejected = has_time and self._has_fresher_replica(
                now_us, shard, excluded_nodes, age_us, policy, minimum_position
            )
        else:
            is_rejected = False
        return FreshnessVerdict(is_accepted=not is_rejected, age_us=age_us, reason=reason)

    def _has_fresher_replica(
        self,
        now_us: int,
        shard: int,
        excluded_nodes: Collection[str],
        age_us: int | None,
        policy: FreshnessPolicy,
        minimum_position: int,
    ) -> bool:
        """Return whether another replica is expected to answer with fresher data within the target age."""
        for node in self._replicas_of(shard):
            if node in excluded_nodes or not self.lag_tracker.has_reached(shard, node, minimum_position):
                continue
            expected_age_us = self.lag_tracker.expected_age_us(now_us, shard, node)
            if expected_age_us is None or _exceeds(policy.target_age_us, expected_age_us):
                continue
            if age_us is None or expected_age_us < age_us:
                return True
        return False


def _find_reason(
    evidence: AgeEvidence,
    age_us: int | None,
    watermark: Watermark,
    policy: FreshnessPolicy,
    minimum_position: int,
) -> StaleReason | None:
    if evidence == AgeEvidence.FROM_THE_FUTURE:
        return StaleReason.FROM_THE_FUTURE
    if watermark.position < minimum_position:
        return StaleReason.BEHIND
    if _exceeds(policy.maximum_age_us, age_us):
        return StaleReason.OVER_MAXIMUM_AGE
    if _exceeds(policy.target_age_us, age_us):
        return StaleReason.OVER_TARGET_AGE
    return None


def _exceeds(limit_us: int, age_us: int | None) -> bool:
    """Return whether an age exceeds a limit, if there is one; an unknown age exceeds every limit."""
    return bool(limit_us) and (age_us is None or age_us > limit_us)
