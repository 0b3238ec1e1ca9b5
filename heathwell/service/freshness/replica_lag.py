"""Estimates the lag of each replica from the watermarks of its answers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from heathwell.service.freshness.freshness_records import Watermark
from heathwell.service.freshness.source_clock import SourceClock

LAG_GAIN = 0.25  # The weight of one observation; large, as a replica can fall behind within seconds.
EXPECTED_DEVIATIONS = 2.0  # The expected age is this many mean deviations above the estimated lag.
INITIAL_DEVIATION_DIVISOR = 4  # The initial deviation is the first age divided by this.
STUCK_US = 2_000_000  # A replica is stuck if its watermark stands this long and is this far behind others.


class AgeEvidence(StrEnum):
    """What is known about the age of an answer."""

    MEASURED = "measured"
    UNKNOWN = "unknown"  # There is no sample of the source clock.
    FROM_THE_FUTURE = "future"  # The watermark is ahead of the source.


@dataclass(slots=True)
class _Replica:
    watermark: Watermark
    advanced_at_us: int
    lag_us: float
    deviation_us: float
    is_restored: bool = False


class ReplicaLagTracker:
    """The lags of all replicas as observed by one broker.

    ``replicas_of`` returns the nodes that hold a shard.
    """

    def __init__(self, clock: SourceClock, replicas_of: Callable[[int], Iterable[str]]) -> None:
        self.stuck: set[tuple[int, str]] = set()
        self.restored_count = 0
        self.future_watermark_count = 0
        self._clock = clock
        self._replicas_of = replicas_of
        self._replicas: dict[tuple[int, str], _Replica] = {}

    def observe(self, now_us: int, shard: int, node: str, watermark: Watermark) -> AgeEvidence:
        """Record the watermark of an answer, and return what is known about its age."""
        if not self._clock.is_known:
            return AgeEvidence.UNKNOWN
        age_us = self._clock.upper_bound_us(now_us) - watermark.source_us
        if age_us < 0:
            self.future_watermark_count += 1
            self._replicas.pop((shard, node), None)
            return AgeEvidence.FROM_THE_FUTURE
        replica = self._replicas.get((shard, node))
        if replica is None:
            deviation_us = age_us / INITIAL_DEVIATION_DIVISOR
            self._replicas[shard, node] = _Replica(watermark, now_us, float(age_us), deviation_us)
            return AgeEvidence.MEASURED
        self._track_progress(now_us, shard, node, replica, watermark, age_us)
        error_us = age_us - replica.lag_us
        replica.lag_us += LAG_GAIN * error_us
        replica.deviation_us += LAG_GAIN * (abs(error_us) - replica.deviation_us)
        replica.watermark = watermark
        return AgeEvidence.MEASURED

    def _track_progress(
        self, now_us: int, shard: int, node: str, replica: _Replica, watermark: Watermark, age_us: int
    ) -> None:
        former = replica.watermark
        if watermark.position < former.position or watermark.source_us < former.source_us:
            # The replica was restored from an older copy: the estimate of its lag is reset.
            self.restored_count += 1
            replica.is_restored = True
            replica.lag_us = float(age_us)
            replica.deviation_us = age_us / INITIAL_DEVIATION_DIVISOR
        elif watermark.source_us > former.source_us:
            replica.is_restored = False
            replica.advanced_at_us = now_us
            self.stuck.discard((shard, node))
        elif now_us - replica.advanced_at_us > STUCK_US:
            self._mark_if_stuck(shard, node, watermark)

    def _mark_if_stuck(self, shard: int, node: str, watermark: Watermark) -> None:
        """Mark a replica as stuck if its watermark stands while another replica's has advanced."""
        replicas = (self._replicas.get((shard, other)) for other in self._replicas_of(shard))
        newest_us = max(
            (replica.watermark.source_us for replica in replicas if replica is not None), default=0
        )
        if newest_us - watermark.source_us > STUCK_US:
            self.stuck.add((shard, node))

    def expected_age_us(self, now_us: int, shard: int, node: str) -> int | None:
        """Return the expected age of a replica's answer; None if nothing is known about the replica."""
        replica = self._replicas.get((shard, node))
        if replica is None:
            return None
        if (shard, node) in self.stuck:
            return self._clock.maximum_age_us(now_us, replica.watermark.source_us)
        return int(replica.lag_us + EXPECTED_DEVIATIONS * replica.deviation_us)

    def has_reached(self, shard: int, node: str, position: int) -> bool:
        """Return whether a replica is known to have reached a position and was not restored since."""
        replica = self._replicas.get((shard, node))
        return replica is not None and not replica.is_restored and replica.watermark.position >= position
