"""heathwell: a query aggregator over replicated shards that reports the completeness of each answer."""

from heathwell.policy import Settings
from heathwell.policy.aggregator import Aggregator

__version__ = "0.2.0"
__all__ = ["Aggregator", "Settings", "__version__"]
