"""heathwell: decisions of an aggregator of queries over replicated shards."""

from heathwell.interface import Settings
from heathwell.logic import Aggregator

__all__ = ["Aggregator", "Settings"]
