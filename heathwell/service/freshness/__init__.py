"""The age of answers and the decision which answers are fresh enough, without I/O; callers pass the time."""

from heathwell.service.freshness.consistency_token import TokenPositions, make_token, read_token
from heathwell.service.freshness.errors import (
    FreshnessError,
    SampleOrderError,
    TokenError,
    UnknownSourceTimeError,
)
from heathwell.service.freshness.freshness_decider import FreshnessDecider
from heathwell.service.freshness.freshness_records import (
    FreshnessPolicy,
    FreshnessVerdict,
    StaleAction,
    StaleReason,
    Watermark,
)
from heathwell.service.freshness.replica_lag import ReplicaLagTracker
from heathwell.service.freshness.source_clock import SourceClock

__all__ = [
    "FreshnessDecider",
    "FreshnessError",
    "FreshnessPolicy",
    "FreshnessVerdict",
    "ReplicaLagTracker",
    "SampleOrderError",
    "SourceClock",
    "StaleAction",
    "StaleReason",
    "TokenError",
    "TokenPositions",
    "UnknownSourceTimeError",
    "Watermark",
    "make_token",
    "read_token",
]
