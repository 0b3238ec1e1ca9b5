"""Generic data structures of the decision module.

They are sans-I/O and contain no tuned parameters: the caller passes each time constant, limit and gain, and
nothing here chooses between servers or queries. Times are integers in microseconds on the caller's clock.
Standard library only.
"""

from heathwell.datastructures.decaying import DecayingAverage, DecayingSum, RunningMean
from heathwell.datastructures.grouped_ranking import GroupRank, drain_by_rank
from heathwell.datastructures.rate_limited_topics import RateLimitedTopics
from heathwell.datastructures.recent_rank import RecentRank
from heathwell.datastructures.sliding_window import SlidingWindowCounter, SlidingWindowSamples
from heathwell.datastructures.timer_queue import TimerQueue
from heathwell.datastructures.token_bucket import TokenBucket

__all__ = [
    "DecayingAverage",
    "DecayingSum",
    "GroupRank",
    "RateLimitedTopics",
    "RecentRank",
    "RunningMean",
    "SlidingWindowCounter",
    "SlidingWindowSamples",
    "TimerQueue",
    "TokenBucket",
    "drain_by_rank",
]
