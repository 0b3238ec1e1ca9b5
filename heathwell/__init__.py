"""heathwell: an aggregator of queries over replicated shards that degrades honestly."""

from heathwell.policy import Settings
from heathwell.policy.aggregator import Aggregator

__version__ = "0.2.0"
__all__ = ["Aggregator", "Settings", "__version__"]
